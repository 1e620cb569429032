import { setTimeout as delay } from 'node:timers/promises';
import {
  MEMBER_PART,
  OwnedRow,
  OwnedRowEvent,
  decodeWorkerRow,
  fleetKeys,
  isOutdatedHeartbeat,
  isSameRoom,
} from '@sapphiremux/core';
import type { StoreReply, WorkerHeartbeat, WorkerRow } from '@sapphiremux/core';
import { now } from './clock.js';
import type { StorePort } from './fleet-ports.js';
import type { Log } from './logger.js';

/** Options of {@link WorkerRegistration}. */
export interface WorkerRegistrationOptions {
  /** Name of the VM. */
  readonly name: string;
  /** Address at which entries reach the process. */
  readonly address: string;
  readonly dataCentre: string;
  readonly incarnation: string;
  readonly store: StorePort;
  readonly log: Log;
}

/**
 * Maintains the store row through which entries discover this process.
 *
 * The row also holds the last registered state of the worker for the next
 * process on this VM, because the worker continues to run when this process is
 * replaced.
 */
export class WorkerRegistration {
  private readonly _options: WorkerRegistrationOptions;
  private readonly _row: OwnedRow;
  private readonly _key: string;
  private _registeredWorker: WorkerHeartbeat | undefined;
  /** Incarnation that has left last, by the time of its start. */
  private _leftBornMs = Number.NEGATIVE_INFINITY;
  /** Id that has deregistered last. */
  private _leftId: string | undefined;
  /** Value of the row before this process wrote it, once it has been read. */
  private readonly _previous: Promise<string | null>;
  private _onPreviousRead: (value: string | null) => void = () => undefined;
  /** Functions to call when the row has its value. */
  private _onSettled: (() => void)[] = [];
  private _timer: NodeJS.Timeout | undefined;
  private _isClosed = false;

  /** @param options - Identity of the process, the store and the log. */
  constructor(options: WorkerRegistrationOptions) {
    this._options = options;
    this._key = fleetKeys.worker(options.name);
    this._row = new OwnedRow({ key: this._key, random: Math.random }, now());
    this._previous = new Promise((resolve) => {
      this._onPreviousRead = resolve;
    });
  }

  /**
   * Loads the row of the previous process and replaces it. While the store does
   * not answer, the call is repeated.
   *
   * @returns The state of the worker that the row holds, if there is one.
   */
  async restore(): Promise<WorkerHeartbeat | undefined> {
    this._pump();
    const value = await this._previous;
    const row = value === null ? undefined : decodeWorkerRow(value);
    const worker = row?.worker;
    if (worker && worker.id === this._leftId) {
      // It has left while the row was read.
      this._leftBornMs = Math.max(this._leftBornMs, worker.bornMs);
      if (this._registeredWorker) {
        this._updateRow();
      } else {
        this._deleteRow();
      }
      return undefined;
    }
    this._registeredWorker ??= worker;
    this._updateRow();
    return worker;
  }

  /**
   * Updates the row when a heartbeat shows a new incarnation, or a change of the
   * capacity or of whether the worker accepts runs. A heartbeat that arrives late
   * is ignored.
   *
   * @param worker - The heartbeat.
   */
  recordHeartbeat(worker: WorkerHeartbeat): void {
    const known = this._registeredWorker;
    if (
      worker.bornMs <= this._leftBornMs ||
      (known && isOutdatedHeartbeat(worker, known))
    ) {
      return;
    }
    this._registeredWorker = worker;
    if (
      known?.id !== worker.id ||
      known.bornMs !== worker.bornMs ||
      known.accepting !== worker.accepting ||
      !isSameRoom(known.capacity, worker.capacity)
    ) {
      this._updateRow();
    }
  }

  /**
   * Deletes the row if the registered worker is the one that deregistered, also
   * if the row is still being read.
   *
   * @param id - Incarnation of the worker that deregistered.
   */
  deregister(id: string): void {
    this._leftId = id;
    if (this._registeredWorker?.id === id) {
      this._leftBornMs = this._registeredWorker.bornMs;
      this._registeredWorker = undefined;
      this._deleteRow();
    }
  }

  /**
   * Has the row checked if an entry has read another version of it.
   *
   * @param version - Version that the entry has read; 0 if the row is absent
   *   there.
   */
  onSeen(version: number): void {
    this._row.onSeen(version);
    this._pump();
  }

  /**
   * Waits until the row has its value, at the end of a planned stop. The row of a
   * worker that has left would otherwise remain if the process ended first.
   *
   * @param timeoutMs - Maximum wait in milliseconds.
   */
  async settle(timeoutMs: number): Promise<void> {
    const settled = new Promise<void>((resolve) => {
      this._onSettled.push(resolve);
    });
    this._notifySettled();
    await Promise.race([settled, delay(timeoutMs)]);
  }

  /** Ends the checks of the row. A call in flight is not interrupted. */
  close(): void {
    this._isClosed = true;
    clearTimeout(this._timer);
  }

  private _deleteRow(): void {
    this._row.set(null);
    this._pump();
  }

  private _updateRow(): void {
    const { address, incarnation, dataCentre } = this._options;
    const row: WorkerRow = {
      address,
      incarnation,
      dataCentre,
      // With sequence 0, the state that the next process restores counts as
      // older than any heartbeat of the same incarnation.
      ...(this._registeredWorker
        ? { worker: { ...this._registeredWorker, sequence: 0 } }
        : {}),
    };
    this._row.set(JSON.stringify(row));
    this._pump();
  }

  /** Sends the next call if it is due, or sets a timer for it. */
  private _pump(): void {
    if (this._isClosed) {
      return;
    }
    clearTimeout(this._timer);
    const req = this._row.next(now());
    if (req) {
      void this._options.store.call(MEMBER_PART, req).then((reply) => {
        this._onReply(reply);
        this._pump();
      });
      return;
    }
    const dueAtMs = this._row.nextDueAtMs;
    if (Number.isFinite(dueAtMs)) {
      this._timer = setTimeout(() => {
        this._pump();
      }, dueAtMs - now()).unref();
    }
  }

  private _onReply(reply: StoreReply): void {
    const { log } = this._options;
    const event = this._row.onReply(reply, now());
    const row = this._key;
    const value = this._row.storedValue;
    switch (event) {
      case OwnedRowEvent.Written:
        log.info(value === null ? 'registration row deleted' : 'registered', {
          row,
        });
        break;
      case OwnedRowEvent.Altered:
        log.warn('registration row changed by another write', { row });
        break;
      case OwnedRowEvent.Failed:
        log.warn('registration failed, retrying', { outcome: reply.kind });
        break;
      case undefined:
    }
    if (reply.kind === 'rows' && value !== undefined) {
      // Has an effect only after the first read.
      this._onPreviousRead(value);
    }
    this._notifySettled();
  }

  private _notifySettled(): void {
    if (!this._row.isSettled) {
      return;
    }
    const waiting = this._onSettled;
    this._onSettled = [];
    for (const onSettled of waiting) {
      onSettled();
    }
  }
}
