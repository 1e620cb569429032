import type { BatchProgress } from '../request/batch-job.js';
import type { Row, StoreReply } from '../store.js';
import type { LogFields } from './batch-events.js';
import {
  JOB_PARTS,
  decodeJobRow,
  decodeProgress,
  fleetKeys,
  partName,
} from './fleet-rows.js';
import type { EntryRow, OpenJobRow } from './fleet-rows.js';
import type { JobRecorder, RecordedJob } from './job-recorder.js';
import { MEMBER_PART } from './part-stores.js';
import type { PartStores } from './part-stores.js';
import { ENTRY_LEASE_MS } from './peer-monitor.js';

/** A job that has been taken over. */
export interface AdoptedJob {
  readonly record: RecordedJob;
  readonly row: OpenJobRow;
  readonly progress: BatchProgress;
}

/** Options of {@link EntryTakeover}. */
export interface EntryTakeoverOptions {
  readonly stores: PartStores;
  readonly recorder: JobRecorder;
  /** Incarnation of this entry, the successor. */
  readonly incarnation: string;
  /** Time limit {@link RunLimits.runExpiryMs} of runs. */
  readonly runExpiryMs: number;
  /** The incarnation whose jobs are taken over. */
  readonly predecessor: {
    readonly incarnation: string;
    readonly row: EntryRow;
    readonly version: number;
    /** Whether its process is known to have ended. */
    readonly isGone: boolean;
  };
  readonly onAdopted: (job: AdoptedJob, now: number) => void;
  /** Called when all jobs are adopted, so that workers may be queried. */
  readonly onLoaded: (jobs: number, now: number) => void;
  /** Called when the row was not marked, e.g. since another entry marked it. */
  readonly onLost: () => void;
  readonly log: (message: string, fields: LogFields) => void;
}

/** Rows per page of the list of open jobs. */
const PAGE_SIZE = 200;
/** Delay before a failed call to the store is retried. */
const RETRY_DELAY_MS = 150;

/**
 * Takes over the jobs of an entry that has ended or is partitioned.
 *
 * The predecessor's member row is marked first by compare-and-set, so that only
 * one successor proceeds and the predecessor learns that it is fenced. Then its
 * owner rows are deleted, which invalidates all its later writes, and its open
 * jobs are adopted one by one.
 */
export class EntryTakeover {
  private readonly _options: EntryTakeoverOptions;
  private _rowVersion: number;
  private _retries: { atMs: number; run: (now: number) => void }[] = [];
  /** Lists of open jobs that are being read, and jobs that are being adopted. */
  private _pendingOperations = 0;
  private _adopted = 0;
  private _fencedAtMs = Number.POSITIVE_INFINITY;
  private _isDone = false;

  /** @param options - The predecessor, the store and callbacks. */
  constructor(options: EntryTakeoverOptions) {
    this._options = options;
    this._rowVersion = options.predecessor.version;
  }

  /** Time after which the predecessor has sent no order. */
  get sentUntilMs(): number {
    const leaseMs = this._options.predecessor.isGone ? 0 : ENTRY_LEASE_MS;
    return this._fencedAtMs + leaseMs;
  }

  /**
   * Time after which no run of the predecessor can be active, even at a worker
   * that has not reported since, unless its start is carried out late.
   */
  get allRunsEndedAtMs(): number {
    return this.sentUntilMs + this._options.runExpiryMs;
  }

  /**
   * Starts the takeover by marking the predecessor's member row.
   *
   * @param now - Current time in milliseconds.
   */
  start(now: number): void {
    const { stores, incarnation, predecessor } = this._options;
    if (predecessor.row.fencedBy === incarnation) {
      this._onFenced(now);
      return;
    }
    const key = fleetKeys.entry(predecessor.incarnation);
    const row: EntryRow = { ...predecessor.row, fencedBy: incarnation };
    stores.writer(MEMBER_PART).submit({
      conditions: [{ key, version: this._rowVersion }],
      writes: [{ key, value: JSON.stringify(row) }],
      readBackKey: key,
      abandonAtMs: now + ENTRY_LEASE_MS,
      onDone: (outcome, doneAtMs) => {
        if (outcome.kind === 'committed') {
          this._rowVersion = outcome.version;
          this._onFenced(doneAtMs);
        } else {
          this._options.onLost();
        }
      },
    });
  }

  /**
   * Retries failed calls that are due.
   *
   * @param now - Current time in milliseconds.
   */
  pump(now: number): void {
    const due = this._retries.filter((retry) => retry.atMs <= now);
    this._retries = this._retries.filter((retry) => retry.atMs > now);
    for (const retry of due) {
      retry.run(now);
    }
  }

  /** Deletes the predecessor's member row after the takeover has settled. */
  finish(): void {
    const key = fleetKeys.entry(this._options.predecessor.incarnation);
    this._options.stores.writer(MEMBER_PART).submit({
      conditions: [{ key, version: this._rowVersion }],
      writes: [{ key, value: null }],
      readBackKey: key,
      onDone: () => undefined,
    });
  }

  private _onFenced(now: number): void {
    this._fencedAtMs = now;
    this._options.log('takeover begun', {
      predecessor: this._options.predecessor.incarnation,
      name: this._options.predecessor.row.name,
      isGone: this._options.predecessor.isGone,
    });
    for (let part = 0; part < JOB_PARTS; part += 1) {
      this._beginOperation();
      this._deleteOwnerRow(part);
    }
  }

  private _deleteOwnerRow(part: number): void {
    const { stores, predecessor } = this._options;
    const key = fleetKeys.owner(predecessor.incarnation);
    const req = { kind: 'read', keys: [key] } as const;
    stores.caller(partName(part)).call(req, (reply, now) => {
      if (reply.kind !== 'rows') {
        this._retryLater(now, () => {
          this._deleteOwnerRow(part);
        });
        return;
      }
      const row = reply.rows[0];
      if (!row) {
        this._listOpenJobs(part, '');
        return;
      }
      stores.writer(partName(part)).submit({
        conditions: [{ key, version: row.version }],
        writes: [{ key, value: null }],
        readBackKey: key,
        onDone: () => {
          // Read back: the row must be gone before the open jobs are listed.
          this._deleteOwnerRow(part);
        },
      });
    });
  }

  private _listOpenJobs(part: number, after: string): void {
    const { stores, predecessor } = this._options;
    const prefix = fleetKeys.openPrefix(predecessor.incarnation);
    const req = { kind: 'scan', prefix, after, limit: PAGE_SIZE } as const;
    stores.caller(partName(part)).call(req, (reply, now) => {
      if (reply.kind !== 'rows') {
        this._retryLater(now, () => {
          this._listOpenJobs(part, after);
        });
        return;
      }
      for (const row of reply.rows) {
        this._beginOperation();
        this._loadJob(part, row.key.slice(prefix.length), row);
      }
      const last = reply.rows.at(-1);
      if (last && reply.rows.length === PAGE_SIZE) {
        this._listOpenJobs(part, last.key);
      } else {
        this._endOperation(now);
      }
    });
  }

  private _loadJob(part: number, id: string, openRow: Row): void {
    const keys = [fleetKeys.job(id), fleetKeys.progress(id)];
    const caller = this._options.stores.caller(partName(part));
    caller.call({ kind: 'read', keys }, (reply: StoreReply, now) => {
      if (reply.kind !== 'rows') {
        this._retryLater(now, () => {
          this._loadJob(part, id, openRow);
        });
        return;
      }
      const found = reply.rows.find((row) => row.key === fleetKeys.job(id));
      const row = found && decodeJobRow(found.value);
      if (
        row?.kind !== 'open' ||
        row.owner !== this._options.predecessor.incarnation ||
        !found
      ) {
        this._endOperation(now);
        return;
      }
      const saved = reply.rows.find((r) => r.key === fleetKeys.progress(id));
      const progress = saved && decodeProgress(saved.value);
      this._adopt({
        record: {
          id,
          version: found.version,
          hasProgressRow: saved !== undefined,
          progressVersion: saved?.version ?? 0,
        },
        row: {
          ...row,
          owner: this._options.incarnation,
          epoch: row.epoch + 1,
        },
        progress: progress ?? { done: [], failures: {} },
      });
    });
  }

  private _adopt(job: AdoptedJob): void {
    const { recorder, predecessor, onAdopted } = this._options;
    recorder.adopt(
      job.record,
      predecessor.incarnation,
      job.row,
      (outcome, now) => {
        if (outcome.kind === 'committed') {
          job.record.version = outcome.version;
          this._adopted += 1;
          onAdopted(job, now);
        }
        this._endOperation(now);
      },
    );
  }

  private _retryLater(now: number, run: (now: number) => void): void {
    this._retries.push({ atMs: now + RETRY_DELAY_MS, run });
  }

  private _beginOperation(): void {
    this._pendingOperations += 1;
  }

  private _endOperation(now: number): void {
    this._pendingOperations -= 1;
    if (this._pendingOperations === 0 && !this._isDone) {
      this._isDone = true;
      this._options.log('jobs taken over', {
        predecessor: this._options.predecessor.incarnation,
        jobs: this._adopted,
        afterMs: Math.round(now - this._fencedAtMs),
      });
      this._options.onLoaded(this._adopted, now);
    }
  }
}
