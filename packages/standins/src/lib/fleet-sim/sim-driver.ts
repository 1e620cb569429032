import { MEMBER_PART, WorkerDriver, fleetKeys } from '@sapphiremux/core';
import type {
  WorkerAction,
  WorkerEvent,
  WorkerHeartbeat,
  WorkerReport,
  WorkerRow,
} from '@sapphiremux/core';
import type { EventQueue } from '../sim/event-queue.js';
import { SimProcess } from '../sim/sim-process.js';
import type { SimTable } from './sim-table.js';
import type { SimWorker } from './sim-worker.js';

/** Options of {@link SimDriver}. */
export interface SimDriverOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly queue: EventQueue;
  readonly store: SimTable;
  readonly isCutFromStore: () => boolean;
  readonly worker: () => SimWorker;
  readonly onReport: (linkId: number, report: WorkerReport) => void;
}

const TICK_MS = 100;
const REGISTER_RETRY_MS = 300;

/**
 * A simulated worker driver process: drives a `WorkerDriver` with events in
 * virtual time, passes its calls to the simulated worker and registers the
 * worker in the store.
 */
export class SimDriver extends SimProcess {
  private readonly _options: SimDriverOptions;
  private _driver!: WorkerDriver;
  private _incarnation = '';
  private _heard: WorkerHeartbeat | undefined;
  private _flushPlanned = false;
  private _lookPlanned = false;

  /** @param options - Names, store, worker and receiver of reports. */
  constructor(options: SimDriverOptions) {
    super(options.name, options.queue, 0);
    this._options = options;
    this.boot();
  }

  /**
   * Receives a heartbeat of the worker. A paused process handles it on resume.
   *
   * @param worker - The heartbeat.
   * @returns Whether the heartbeat is acknowledged immediately.
   */
  heartbeat(worker: WorkerHeartbeat): boolean {
    const isServed = this.isAlive && !this.isPaused;
    this.post(() => {
      const known = this._heard;
      this._heard = worker;
      this.dispatch({ kind: 'announce', worker });
      if (known?.id !== worker.id || known.accepting !== worker.accepting) {
        this._register();
      }
    });
    return isServed;
  }

  /**
   * Passes an event to the state machine and executes the resulting actions.
   *
   * @param event - The event.
   */
  dispatch(event: WorkerEvent): void {
    for (const action of this._driver.handle(event, this.now)) {
      this._perform(action);
    }
    if (!this._flushPlanned && event.kind !== 'flush') {
      this._flushPlanned = true;
      this.later(0, () => {
        this._flushPlanned = false;
        this.dispatch({ kind: 'flush' });
        this._planLook();
      });
    }
  }

  protected boot(): void {
    this._flushPlanned = false;
    this._lookPlanned = false;
    this._incarnation = `${this.name}.${String(this.generation)}`;
    this._heard = undefined;
    this._driver = new WorkerDriver({
      name: this.name,
      incarnation: this._incarnation,
      token: Math.floor(this.queue.nowMs) + 1,
    });
    this.later(0, () => {
      this._tick();
    });
    this._register();
  }

  private _tick(): void {
    this.dispatch({ kind: 'tick' });
    this.later(TICK_MS, () => {
      this._tick();
    });
  }

  private _planLook(): void {
    const dueMs = this._driver.nextLookAtMs;
    if (dueMs === undefined || this._lookPlanned) {
      return;
    }
    this._lookPlanned = true;
    this.later(Math.max(1, dueMs - this.now), () => {
      this._lookPlanned = false;
      this.dispatch({ kind: 'tick' });
    });
  }

  private _register(): void {
    const { store, isCutFromStore, dataCentre, name } = this._options;
    const row: WorkerRow = {
      address: name,
      dataCentre,
      incarnation: this._incarnation,
      ...(this._heard ? { worker: this._heard } : {}),
    };
    const key = fleetKeys.worker(name);
    const value = JSON.stringify(row);
    const { generation } = this;
    store.call(
      MEMBER_PART,
      { kind: 'transact', conditions: [], writes: [{ key, value }] },
      isCutFromStore(),
      (reply) => {
        if (reply.kind !== 'committed' && this.generation === generation) {
          this.later(REGISTER_RETRY_MS, () => {
            this._register();
          });
        }
      },
    );
  }

  private _perform(action: WorkerAction): void {
    switch (action.kind) {
      case 'call': {
        const { callId, call } = action;
        const { generation } = this;
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
      case 'stopped':
        this.kill();
        return;
      case 'log':
    }
  }
}
