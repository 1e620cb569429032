import { setTimeout as delay } from 'node:timers/promises';
import {
  MEMBER_PART,
  decodeWorkerRow,
  fleetKeys,
  isOutdatedHeartbeat,
  isSameRoom,
} from '@sapphiremux/core';
import type { WorkerHeartbeat, WorkerRow } from '@sapphiremux/core';
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

/** Backoff before a failed write of the row is retried. */
const BACKOFF_MS = 300;

/**
 * Maintains the store row through which entries discover this process.
 *
 * The row also holds the last registered state of the worker for the next
 * process on this VM, because the worker continues to run when this process is
 * replaced.
 */
export class WorkerRegistration {
  private readonly _options: WorkerRegistrationOptions;
  private readonly _key: string;
  private _registeredWorker: WorkerHeartbeat | undefined;
  /** Incarnation that has left last, by the time of its start. */
  private _leftBornMs = Number.NEGATIVE_INFINITY;
  /** Id that has deregistered last. */
  private _leftId: string | undefined;
  /**
   * Value that the row should have: empty before the first update, `null` after
   * the worker has left.
   */
  private _desiredValue: string | null = '';
  /** Value last read or written: empty without a row, `null` after a deletion. */
  private _storedValue: string | null = '';
  /** Settles when the row has its value; absent while no write is pending. */
  private _writing: Promise<void> | undefined;

  /** @param options - Identity of the process, the store and the log. */
  constructor(options: WorkerRegistrationOptions) {
    this._options = options;
    this._key = fleetKeys.worker(options.name);
  }

  /**
   * Loads the row of the previous process and replaces it.
   *
   * @returns The state of the worker that the row holds, if there is one.
   */
  async restore(): Promise<WorkerHeartbeat | undefined> {
    const reply = await this._options.store.call(MEMBER_PART, {
      kind: 'read',
      keys: [this._key],
    });
    const value = reply.kind === 'rows' ? reply.rows[0]?.value : undefined;
    const row = value === undefined ? undefined : decodeWorkerRow(value);
    this._storedValue = value ?? '';
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
   * Waits until the row has its value, at the end of a planned stop. The row of a
   * worker that has left would otherwise remain if the process ended first.
   *
   * @param timeoutMs - Maximum wait in milliseconds.
   */
  async settle(timeoutMs: number): Promise<void> {
    await Promise.race([this._writing, delay(timeoutMs)]);
  }

  private _deleteRow(): void {
    this._desiredValue = null;
    this._startWriting();
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
    this._desiredValue = JSON.stringify(row);
    this._startWriting();
  }

  private _startWriting(): void {
    if (!this._writing && this._desiredValue !== this._storedValue) {
      this._writing = this._writeRow();
    }
  }

  private async _writeRow(): Promise<void> {
    while (this._desiredValue !== this._storedValue) {
      const value = this._desiredValue;
      const reply = await this._options.store.call(MEMBER_PART, {
        kind: 'transact',
        conditions: [],
        writes: [{ key: this._key, value }],
      });
      if (reply.kind === 'committed') {
        this._storedValue = value;
        const message =
          value === null ? 'registration row deleted' : 'registered';
        this._options.log.info(message, { row: this._key });
      } else {
        this._options.log.warn('registration failed, retrying', {
          outcome: reply.kind,
        });
        await delay(BACKOFF_MS);
      }
    }
    this._writing = undefined;
  }
}
