import type { BatchContent, BatchProgress } from '../request/batch-job.js';
import { BatchState } from '../request/batch-job.js';
import type { Write } from '../store.js';
import {
  JOB_PARTS,
  encodeJobRow,
  encodeProgress,
  fleetKeys,
  partName,
  partOf,
} from './fleet-rows.js';
import type { EndedJobRow, OpenJobRow, WithdrawnJobRow } from './fleet-rows.js';
import { maxProgressBytes } from './packed-rows.js';
import type { PartStores } from './part-stores.js';
import { SUSPECT_AFTER_MS } from './peer-monitor.js';
import { valueBytes } from './store-limits.js';
import type { ConditionalWrite, WriteOutcome } from './store-writer.js';

/** Options of {@link JobRecorder}. */
export interface JobRecorderOptions {
  readonly stores: PartStores;
  readonly incarnation: string;
  /** Limit of the store on the value of a row, in bytes. */
  readonly rowBytes: number;
  /**
   * Returns the last time at which this incarnation is known not to have been
   * fenced.
   */
  readonly confirmedAtMs: () => number;
  /** Called when the owner row is gone: this incarnation was replaced. */
  readonly onFenced: () => void;
}

/** A write that is delayed so that it can share a transaction. */
interface DeferredWrite {
  readonly dueMs: number;
  readonly part: number;
  readonly write: ConditionalWrite;
}

/** The owner row of a part, once it is known to have been created. */
interface OwnerPart {
  readonly part: number;
  readonly version: number;
  /** Time before which the row was created. */
  readonly createdByMs: number;
}

/** The row of a new job, or why the store can't hold the job. */
export type EncodedJob =
  | { readonly kind: 'row'; readonly value: string }
  | {
      readonly kind: 'too-large';
      readonly sizeBytes: number;
      readonly limitBytes: number;
    };

/** State of a job's rows, as its owner last wrote or read them. */
export interface RecordedJob {
  readonly id: string;
  /** Version of the job's row. */
  version: number;
  hasProgressRow: boolean;
  /** Version of the progress row; 0 until it is written. */
  progressVersion: number;
}

/**
 * Part of a row's limit that a new job leaves free: with each later owner of the
 * job its epoch and the name of its owner may grow.
 */
const OWNER_RESERVE_BYTES = 128;
/**
 * Maximum delay of a deferred write. It waits for a submission or another write
 * to the same part that can't be deferred, to share its transaction.
 */
const BATCH_DELAY_MS = 30;

/**
 * Time after the start of an entry in which no other entry fences it: it would
 * have to be unresponsive for {@link SUSPECT_AFTER_MS} first.
 */
const UNFENCED_MS = SUSPECT_AFTER_MS / 2;

/**
 * Writes the rows of an entry's jobs to the store.
 *
 * Every write is conditional on the entry's owner row in the same part of the
 * store. A successor fences the entry, deletes the owner rows and lists the open
 * jobs, so writes of a replaced owner that arrive later have no effect.
 *
 * The store may perform the creation of an owner row seconds late, when a
 * successor has already found no row to delete. A row that is created late is
 * therefore used only once the entry is known not to have been fenced since.
 */
export class JobRecorder {
  private readonly _options: JobRecorderOptions;
  private readonly _ownerVersions = new Map<number, number>();
  /** Owner rows that were created late, until they may be used. */
  private _unconfirmedParts: OwnerPart[] = [];
  private _deferred: DeferredWrite[] = [];
  private _awaitingOwnerRow: { part: number; start: () => void }[] = [];

  /** @param options - Store and incarnation of the owner. */
  constructor(options: JobRecorderOptions) {
    this._options = options;
  }

  /**
   * Writes the owner row of each part.
   *
   * @param now - Current time in milliseconds.
   */
  start(now: number): void {
    for (let part = 0; part < JOB_PARTS; part += 1) {
      this._writeOwner(part, now);
    }
  }

  /**
   * Serializes a new job, and checks that the store can hold it until it ends,
   * whatever the ends of its tasks.
   *
   * @param content - Content of the submission.
   * @returns The value of the row for {@link submit}, or the size and the limit
   *   that it exceeds.
   */
  encode(content: BatchContent): EncodedJob {
    const { incarnation, rowBytes } = this._options;
    const row: OpenJobRow = {
      kind: 'open',
      owner: incarnation,
      epoch: 0,
      content,
    };
    const progressBytes = maxProgressBytes(content);
    if (progressBytes > rowBytes) {
      return {
        kind: 'too-large',
        sizeBytes: progressBytes,
        limitBytes: rowBytes,
      };
    }
    const value = encodeJobRow(row, rowBytes - OWNER_RESERVE_BYTES);
    const sizeBytes = valueBytes(value) + OWNER_RESERVE_BYTES;
    return sizeBytes > rowBytes
      ? { kind: 'too-large', sizeBytes, limitBytes: rowBytes }
      : { kind: 'row', value };
  }

  /**
   * Records a new job.
   *
   * @param id - Id of the job.
   * @param value - Value of its row from {@link encode}.
   * @param abandonAtMs - When to stop retrying, unless an attempt may still take
   *   effect.
   * @param onDone - Receives the outcome.
   */
  submit(
    id: string,
    value: string,
    abandonAtMs: number,
    onDone: (outcome: WriteOutcome, now: number) => void,
  ): void {
    const { incarnation } = this._options;
    this._submitNow(partOf(id), {
      conditions: [{ key: fleetKeys.job(id), version: 0 }],
      writes: [
        { key: fleetKeys.job(id), value },
        { key: fleetKeys.open(incarnation, id), value: '' },
      ],
      readBackKey: fleetKeys.job(id),
      abandonAtMs,
      onDone,
    });
  }

  /**
   * Records that a job without a row was cancelled, so that an insert of it that
   * another entry or the store has yet to perform has no effect.
   *
   * @param id - Id of the job.
   * @param abandonAtMs - When to stop retrying, unless an attempt may still take
   *   effect.
   * @param onDone - Receives the outcome: a conflict if the job has a row.
   */
  withdraw(
    id: string,
    abandonAtMs: number,
    onDone: (outcome: WriteOutcome, now: number) => void,
  ): void {
    const key = fleetKeys.job(id);
    const row: WithdrawnJobRow = {
      kind: 'withdrawn',
      by: this._options.incarnation,
    };
    this._submitNow(partOf(id), {
      conditions: [{ key, version: 0 }],
      writes: [{ key, value: JSON.stringify(row) }],
      readBackKey: key,
      abandonAtMs,
      onDone,
    });
  }

  /**
   * Makes this entry the owner of a job of a fenced incarnation.
   *
   * @param job - The job and the version of its row.
   * @param from - Incarnation of the previous owner.
   * @param row - The new row.
   * @param onDone - Receives the outcome.
   */
  adopt(
    job: RecordedJob,
    from: string,
    row: OpenJobRow,
    onDone: (outcome: WriteOutcome, now: number) => void,
  ): void {
    const { incarnation, rowBytes } = this._options;
    this._submitNow(partOf(job.id), {
      conditions: [{ key: fleetKeys.job(job.id), version: job.version }],
      writes: [
        { key: fleetKeys.job(job.id), value: encodeJobRow(row, rowBytes) },
        { key: fleetKeys.open(incarnation, job.id), value: '' },
        { key: fleetKeys.open(from, job.id), value: null },
      ],
      readBackKey: fleetKeys.job(job.id),
      onDone,
    });
  }

  /**
   * Records the final state of a job.
   *
   * @param job - The job.
   * @param state - Its final state.
   * @param isUrgent - Whether a caller waits for the write.
   * @param now - Current time in milliseconds.
   * @param onDone - Receives the outcome.
   */
  finish(
    job: RecordedJob,
    state: BatchState,
    isUrgent: boolean,
    now: number,
    onDone: (outcome: WriteOutcome, now: number) => void,
  ): void {
    const row: EndedJobRow = { kind: 'ended', state };
    const writes: Write[] = [
      { key: fleetKeys.job(job.id), value: JSON.stringify(row) },
      { key: fleetKeys.open(this._options.incarnation, job.id), value: null },
    ];
    if (job.hasProgressRow) {
      writes.push({ key: fleetKeys.progress(job.id), value: null });
    }
    const write: ConditionalWrite = {
      conditions: [{ key: fleetKeys.job(job.id), version: job.version }],
      writes,
      readBackKey: fleetKeys.job(job.id),
      onDone,
    };
    const part = partOf(job.id);
    if (isUrgent) {
      this._submitNow(part, write);
    } else {
      this._deferred.push({ dueMs: now + BATCH_DELAY_MS, part, write });
    }
  }

  /**
   * Records the progress of an unfinished job. Called again only when the last
   * write has ended. The progress row is a condition as well, so that an earlier
   * attempt that takes effect late does not revert a later write.
   *
   * @param job - The job.
   * @param progress - All run ends so far.
   * @param now - Current time in milliseconds.
   * @param onDone - Receives the outcome.
   */
  saveProgress(
    job: RecordedJob,
    progress: BatchProgress,
    now: number,
    onDone: (outcome: WriteOutcome, now: number) => void,
  ): void {
    job.hasProgressRow = true;
    const key = fleetKeys.progress(job.id);
    const value = encodeProgress(progress, this._options.rowBytes);
    this._deferred.push({
      dueMs: now + BATCH_DELAY_MS,
      part: partOf(job.id),
      write: {
        conditions: [
          { key: fleetKeys.job(job.id), version: job.version },
          { key, version: job.progressVersion },
        ],
        writes: [{ key, value }],
        readBackKey: key,
        onDone: (outcome, at) => {
          if (outcome.kind === 'committed') {
            job.progressVersion = outcome.version;
          }
          onDone(outcome, at);
        },
      },
    });
  }

  /**
   * Deletes the row of an ended or withdrawn job after its retention period.
   *
   * @param id - Id of the job.
   * @param version - Version of the job's row.
   * @param now - Current time in milliseconds.
   */
  deleteEnded(id: string, version: number, now: number): void {
    const key = fleetKeys.job(id);
    this._deferred.push({
      dueMs: now + BATCH_DELAY_MS,
      part: partOf(id),
      write: {
        conditions: [{ key, version }],
        writes: [{ key, value: null }],
        readBackKey: key,
        onDone: () => undefined,
      },
    });
  }

  /**
   * Submits the deferred writes that are due, and those for which an owner row
   * may now be used.
   *
   * @param now - Current time in milliseconds.
   */
  pump(now: number): void {
    const confirmedAtMs = this._options.confirmedAtMs();
    const confirmed = this._unconfirmedParts.filter(
      ({ createdByMs }) => createdByMs < confirmedAtMs,
    );
    this._unconfirmedParts = this._unconfirmedParts.filter(
      ({ createdByMs }) => createdByMs >= confirmedAtMs,
    );
    for (const owner of confirmed) {
      this._useOwnerRow(owner);
    }
    const due = this._deferred.filter((write) => write.dueMs <= now);
    if (due.length > 0) {
      this._deferred = this._deferred.filter((write) => write.dueMs > now);
      for (const { part, write } of due) {
        this._send(part, write);
      }
    }
  }

  private _writeOwner(part: number, startedAtMs: number): void {
    const key = fleetKeys.owner(this._options.incarnation);
    this._options.stores.writer(partName(part)).submit({
      conditions: [{ key, version: 0 }],
      writes: [{ key, value: this._options.incarnation }],
      readBackKey: key,
      onDone: (outcome, now) => {
        if (outcome.kind !== 'committed') {
          this._options.onFenced();
          return;
        }
        const owner = { part, version: outcome.version, createdByMs: now };
        if (now - startedAtMs < UNFENCED_MS) {
          this._useOwnerRow(owner);
        } else {
          this._unconfirmedParts.push(owner);
        }
      },
    });
  }

  /** Starts the writes that have waited for an owner row. */
  private _useOwnerRow({ part, version }: OwnerPart): void {
    this._ownerVersions.set(part, version);
    const ready = this._awaitingOwnerRow.filter(
      (waiting) => waiting.part === part,
    );
    this._awaitingOwnerRow = this._awaitingOwnerRow.filter(
      (waiting) => waiting.part !== part,
    );
    for (const waiting of ready) {
      waiting.start();
    }
  }

  /** Sends a write at once, together with deferred writes to the same part. */
  private _submitNow(part: number, write: ConditionalWrite): void {
    this._send(part, write);
    const ready = this._deferred.filter((other) => other.part === part);
    if (ready.length > 0) {
      this._deferred = this._deferred.filter((other) => other.part !== part);
      for (const other of ready) {
        this._send(part, other.write);
      }
    }
  }

  private _send(part: number, write: ConditionalWrite): void {
    const ownerKey = fleetKeys.owner(this._options.incarnation);
    const start = (): void => {
      const version = this._ownerVersions.get(part) ?? 0;
      this._options.stores.writer(partName(part)).submit({
        ...write,
        conditions: [{ key: ownerKey, version }, ...write.conditions],
        onDone: (outcome, now) => {
          write.onDone(outcome, now);
          if (outcome.kind === 'conflict' && outcome.keys.includes(ownerKey)) {
            this._options.onFenced();
          }
        },
      });
    };
    if (this._ownerVersions.has(part)) {
      start();
    } else {
      this._awaitingOwnerRow.push({ part, start });
    }
  }
}
