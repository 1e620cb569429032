import {
  MEMBER_PART,
  OwnedRow,
  WorkerDriver,
  fleetKeys,
  toDataCentreRead,
} from '@sapphiremux/core';
import type {
  RunLimits,
  WorkerAction,
  WorkerEvent,
  WorkerHeartbeat,
  WorkerReport,
  WorkerRow,
} from '@sapphiremux/core';
import type { EventQueue } from '../sim/event-queue.js';
import { SimProcess } from '../sim/sim-process.js';
import { EVACUATION_PREFIX, OPERATOR_TABLE } from './sim-batch-entry.js';
import type { SimTable } from './sim-table.js';
import type { SimWorker } from './sim-worker.js';

/** Options of {@link SimDriver}. */
export interface SimDriverOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly queue: EventQueue;
  readonly store: SimTable;
  readonly isDisconnectedFromStore: () => boolean;
  readonly worker: () => SimWorker;
  /** Time limits of runs. */
  readonly limits: RunLimits;
  /** Uniform random numbers from 0 to 1. */
  readonly random: () => number;
  /** Receives the kind of each action that the process carries out. */
  readonly onAction: (kind: string) => void;
  /** Receives the task of each start that the process sends to the worker. */
  readonly onStartSent: (task: string) => void;
  readonly onReport: (linkId: number, report: WorkerReport) => void;
  readonly onCloseLink: (linkId: number) => void;
}

const TICK_MS = 100;

/**
 * A simulated worker driver process: drives a `WorkerDriver` with events in
 * virtual time, passes its calls to the simulated worker and registers the
 * worker in the store.
 */
export class SimDriver extends SimProcess {
  private readonly _options: SimDriverOptions;
  private _driver!: WorkerDriver;
  private _incarnation = '';
  /** Last heartbeat of the worker that answers. */
  private _lastHeartbeat: WorkerHeartbeat | undefined;
  private _dueTickAtMs = Number.POSITIVE_INFINITY;
  private _row!: OwnedRow;

  /** @param options - Names, store, worker and receiver of reports. */
  constructor(options: SimDriverOptions) {
    super(options.name, options.queue, 0);
    this._options = options;
    this.boot();
  }

  /**
   * Receives a heartbeat of the worker. A paused or busy process handles it later.
   *
   * @param worker - The heartbeat.
   * @returns Whether the heartbeat is acknowledged immediately.
   */
  heartbeat(worker: WorkerHeartbeat): boolean {
    const isAcknowledged = this.isAlive && !this.isPaused && !this.isBusy;
    this.post(() => {
      this.dispatch({ kind: 'announce', worker });
    });
    return isAcknowledged;
  }

  /**
   * Receives the planned end of the worker, and deletes its row.
   *
   * @param id - Incarnation of the worker.
   */
  leave(id: string): void {
    this.post(() => {
      this.dispatch({ kind: 'leave', id });
      if (this._lastHeartbeat?.id === id) {
        this._row.set(null);
        this._pumpRow();
      }
    });
  }

  /**
   * Passes an event to the state machine and executes the resulting actions.
   *
   * @param event - The event.
   */
  dispatch(event: WorkerEvent): void {
    if (
      event.kind === 'order' &&
      event.order.registrationVersion !== undefined
    ) {
      this._row.onSeen(event.order.registrationVersion);
      this._pumpRow();
    }
    for (const action of this._driver.handle(event, this.nowMs)) {
      this._execute(action);
    }
    if (event.kind !== 'flush') {
      this.requestFlush();
    }
  }

  protected override flush(): void {
    this.dispatch({ kind: 'flush' });
    this._scheduleDueTick();
  }

  protected boot(): void {
    this._dueTickAtMs = Number.POSITIVE_INFINITY;
    this._incarnation = `${this.name}.${String(this.generation)}`;
    this._lastHeartbeat = undefined;
    const { random } = this._options;
    const key = fleetKeys.worker(this.name);
    this._row = new OwnedRow({ key, random }, this.nowMs);
    this._driver = new WorkerDriver({
      name: this.name,
      incarnation: this._incarnation,
      // Initial fencing token; higher than those of earlier processes.
      token: Math.floor(this.queue.nowMs) + 1,
      limits: this._options.limits,
    });
    this.schedule(0, () => {
      this._tick();
    });
    this._register();
  }

  private _tick(): void {
    this.dispatch({ kind: 'tick' });
    this._pumpRow();
    this.schedule(TICK_MS, () => {
      this._tick();
    });
  }

  /** Sends a tick when the next poll or the end of a start's wait is due. */
  private _scheduleDueTick(): void {
    const dueMs = this._driver.nextDueAtMs;
    if (dueMs === undefined || dueMs >= this._dueTickAtMs) {
      return;
    }
    this._dueTickAtMs = dueMs;
    this.schedule(Math.max(1, dueMs - this.nowMs), () => {
      this._dueTickAtMs = Number.POSITIVE_INFINITY;
      this.dispatch({ kind: 'tick' });
    });
  }

  private _onConfirmed(worker: WorkerHeartbeat): void {
    const previous = this._lastHeartbeat;
    this._lastHeartbeat = worker;
    if (previous?.id !== worker.id || previous.accepting !== worker.accepting) {
      this._register();
    }
  }

  private _register(): void {
    const { dataCentre, name } = this._options;
    const row: WorkerRow = {
      address: name,
      dataCentre,
      incarnation: this._incarnation,
      ...(this._lastHeartbeat ? { worker: this._lastHeartbeat } : {}),
    };
    this._row.set(JSON.stringify(row));
    this._pumpRow();
  }

  private _pumpRow(): void {
    const { store, isDisconnectedFromStore } = this._options;
    const { generation } = this;
    const row = this._row;
    const req = row.next(this.nowMs);
    if (!req) {
      return;
    }
    store.call(MEMBER_PART, req, isDisconnectedFromStore(), (reply) => {
      if (this.generation === generation) {
        this.post(() => {
          row.onReply(reply, this.nowMs);
          this._pumpRow();
        });
      }
    });
  }

  private _readDataCentre(dataCentre: string): void {
    const { store, isDisconnectedFromStore } = this._options;
    const { generation } = this;
    // The keys of the rows are relative to their table.
    const prefix = EVACUATION_PREFIX.slice(OPERATOR_TABLE.length + 1);
    const key = prefix + dataCentre;
    const req = { kind: 'table', table: OPERATOR_TABLE } as const;
    store.follow(req, isDisconnectedFromStore(), (reply) => {
      if (this.generation !== generation) {
        return;
      }
      const read = toDataCentreRead(reply, key);
      this.post(() => {
        this.dispatch({ kind: 'data-centre-read', read });
      });
    });
  }

  private _execute(action: WorkerAction): void {
    this._options.onAction(
      action.kind === 'call' ? `call ${action.call.kind}` : action.kind,
    );
    switch (action.kind) {
      case 'call': {
        const { callId, call } = action;
        const { generation } = this;
        if (call.kind === 'start') {
          this._options.onStartSent(call.task);
        }
        this._options.worker().call(call, (reply) => {
          if (this.generation === generation) {
            this.post(() => {
              this.dispatch({ kind: 'reply', callId, reply });
            });
          }
        });
        return;
      }
      case 'report':
        this._options.onReport(action.linkId, action.report);
        return;
      case 'close-link':
        this._options.onCloseLink(action.linkId);
        return;
      case 'confirmed':
        this._onConfirmed(action.worker);
        return;
      case 'read-data-centre':
        this._readDataCentre(action.dataCentre);
        return;
      case 'stopped':
        this.kill();
        return;
      case 'log':
    }
  }
}
