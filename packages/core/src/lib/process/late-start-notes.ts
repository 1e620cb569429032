import type { BatchTask } from '../request/batch-job.js';
import { runKey } from '../request/run-key.js';
import type { BatchAction, LateStartNote, LogFields } from './batch-events.js';
import type { EntryRow } from './fleet-rows.js';
import type { ResendWindows } from './resend-windows.js';
import type { RunLimits } from './run-limits.js';
import type { StoppingRun } from './stopping-runs.js';
import type { WorkerView } from './worker-view.js';

/** Jobs of which notes are kept; the oldest note makes room for another. */
const MAX_NOTED_JOBS = 10_000;
/**
 * Interval between two calls to each entry. A data centre that loses its drivers
 * yields notes for 1.5 s, until the deadlines of the callers; more calls would
 * cost 100 entries several times as much.
 */
const SEND_INTERVAL_MS = 250;
/** Interval at which notes whose time has passed are discarded. */
const CLEANUP_INTERVAL_MS = 1000;
/** Notes that fit into one call, so that a call stays below 64 KiB. */
const MAX_NOTES_PER_CALL = 500;

/** A volatile job that this entry has given up. */
interface AbandonedJob {
  readonly runs: readonly StoppingRun[];
  readonly sinceMs: number;
  /** Workers of which the other entries have been told. */
  readonly notedWorkers: Set<string>;
}

/** What another entry has told about a job at one worker. */
interface ReceivedNote {
  readonly atMs: number;
  readonly untilMs: number;
}

/** What the entry knows of a worker. */
type NotedWorker = Pick<
  WorkerView,
  'linkId' | 'mayBeginLate' | 'provesNoLateStarts'
> & {
  readonly placed: Pick<ReadonlySet<string>, 'has'>;
};

/** Options of {@link LateStartNotes}. */
export interface LateStartNotesOptions {
  readonly limits: Pick<RunLimits, 'resendMs' | 'lateRunExpiryMs'>;
  /** @returns What is known of a worker, by the name of its VM. */
  readonly workerOf: (name: string) => NotedWorker | undefined;
  /**
   * @returns VMs of the workers that may hold starts of an entry that is lost,
   *   see {@link WorkerView.mayHoldUnknownStarts}.
   */
  readonly silentWorkers: (now: number) => readonly string[];
  /** When callers of lost entries may send their jobs again. */
  readonly resends: Pick<ResendWindows, 'isOpen'>;
  /** @returns Rows of the entries that are told. */
  readonly peers: (now: number) => readonly EntryRow[];
  readonly emit: (action: BatchAction) => void;
  readonly log: (message: string, fields: LogFields) => void;
}

/**
 * Exchanges notes about volatile jobs of which a worker may still begin a run.
 *
 * A worker may carry out a start seconds after the driver process that has sent
 * it was killed, when the caller has long sent the job to another entry. The
 * entry that gave the job up tells the others in time, unless the end of the run
 * is confirmed first, as it is within milliseconds while drivers answer. Notes
 * are sent once and may be lost; the time limits of runs don't rely on them.
 *
 * If that entry is killed as well, nobody knows its jobs. The others then take
 * each job that is submitted when its callers may return for one of them, as long
 * as the driver of a worker is silent, and tell each other.
 */
export class LateStartNotes {
  private readonly _options: LateStartNotesOptions;
  /** Jobs given up by this entry with runs that may not have ended, by id. */
  private readonly _abandoned = new Map<string, AbandonedJob>();
  /** Notes of other entries by the id of the job, then by worker. */
  private readonly _received = new Map<string, Map<string, ReceivedNote>>();
  /** Notes about jobs of lost entries that have not been sent yet. */
  private _unsent: LateStartNote[] = [];
  private _nextSendAtMs = Number.NEGATIVE_INFINITY;
  private _nextCleanupAtMs = Number.NEGATIVE_INFINITY;

  /** @param options - Limits, workers and callbacks. */
  constructor(options: LateStartNotesOptions) {
    this._options = options;
  }

  /**
   * @param job - Id of a volatile job that the entry gives up.
   * @param placed - Its tasks with runs that are being stopped.
   * @param now - Current time in milliseconds.
   */
  onAbandoned(
    job: string,
    placed: readonly Pick<BatchTask, 'name' | 'run' | 'worker'>[],
    now: number,
  ): void {
    if (placed.length === 0) {
      return;
    }
    const runs = placed.map(({ name, run, worker }) => ({
      key: runKey({ task: name, run }),
      worker,
    }));
    const known = this._abandoned.get(job)?.runs ?? [];
    this._abandoned.set(job, {
      runs: [...known, ...runs],
      sinceMs: now,
      notedWorkers: new Set(),
    });
  }

  /**
   * Sends the notes that are due, and forgets what has passed.
   *
   * @param now - Current time in milliseconds.
   * @param isLast - Whether this incarnation ends, so that all notes are due.
   */
  pump(now: number, isLast = false): void {
    this._deleteExpired(now);
    if (now < this._nextSendAtMs && !isLast) {
      return;
    }
    const notes = this._unsent.splice(0, MAX_NOTES_PER_CALL);
    for (const [id, job] of this._abandoned) {
      if (notes.length >= MAX_NOTES_PER_CALL) {
        break;
      }
      const note = this._noteOf(id, job, now, isLast);
      if (note) {
        notes.push(note);
      }
    }
    if (notes.length > 0) {
      this._nextSendAtMs = now + SEND_INTERVAL_MS;
      this._send(notes, now);
    }
  }

  /**
   * @param notes - Notes of another entry.
   * @param now - Current time in milliseconds.
   */
  onNotes(notes: readonly LateStartNote[], now: number): void {
    const { log } = this._options;
    for (const note of notes) {
      const { job, workers, forMs } = note;
      log('late starts noted by another entry', {
        job,
        workers: workers.join(' '),
        forMs,
      });
      this._receive(note, now);
    }
    this._evictOldest();
  }

  private _receive({ job, workers, forMs }: LateStartNote, now: number): void {
    const { limits } = this._options;
    const known = this._received.get(job) ?? new Map<string, ReceivedNote>();
    this._received.delete(job);
    const untilMs = now + Math.min(forMs, limits.lateRunExpiryMs);
    for (const worker of workers) {
      if (forMs > 0) {
        known.set(worker, { atMs: now, untilMs });
      } else {
        known.delete(worker);
      }
    }
    if (known.size > 0) {
      this._received.set(job, known);
    }
  }

  /**
   * @param job - Id of a job that is not known here.
   * @param now - Current time in milliseconds.
   * @returns The workers at which another entry's runs of the job may still begin
   *   or be active; a worker that has been reached since the note is not among
   *   them.
   */
  workersOf(job: string, now: number): readonly string[] {
    const { workerOf } = this._options;
    return [...(this._received.get(job) ?? [])]
      .filter(
        ([worker, { atMs, untilMs }]) =>
          now < untilMs && !workerOf(worker)?.provesNoLateStarts(atMs),
      )
      .map(([worker]) => worker);
  }

  /**
   * @param job - Id of a submitted job that is not known here.
   * @param now - Current time in milliseconds.
   * @returns The workers at which earlier runs of the job may still begin or be
   *   active, at another entry or one that is lost.
   */
  onSubmitted(job: string, now: number): readonly string[] {
    const { limits, log, resends, silentWorkers } = this._options;
    if (!this._received.has(job) && resends.isOpen(now)) {
      const workers = silentWorkers(now);
      if (workers.length > 0) {
        log('job may be that of a lost entry', {
          job,
          workers: workers.join(' '),
        });
        const forMs = Math.ceil(limits.lateRunExpiryMs);
        const note: LateStartNote = { job, workers, forMs };
        this._unsent.push(note);
        this._receive(note, now);
        this._evictOldest();
      }
    }
    return this.workersOf(job, now);
  }

  private _noteOf(
    id: string,
    job: AbandonedJob,
    now: number,
    isLast: boolean,
  ): LateStartNote | undefined {
    const { limits, workerOf } = this._options;
    const { runs, sinceMs, notedWorkers } = job;
    const remainingMs = limits.lateRunExpiryMs - (now - sinceMs);
    const open = runs.filter(({ key, worker }) =>
      workerOf(worker)?.placed.has(key),
    );
    if (open.length === 0 || remainingMs <= 0) {
      this._abandoned.delete(id);
      const isWithdrawn = notedWorkers.size > 0 && remainingMs > 0;
      return isWithdrawn
        ? { job: id, workers: namesOf(runs), forMs: 0 }
        : undefined;
    }
    const late = open.filter(
      ({ key, worker }) =>
        !notedWorkers.has(worker) && workerOf(worker)?.mayBeginLate(key, now),
    );
    // While drivers answer, half of the time leaves a call and its delays until
    // the job is sent again. A lost driver confirms nothing.
    const isDue =
      isLast ||
      now - sinceMs >= limits.resendMs / 2 ||
      late.some(({ worker }) => workerOf(worker)?.linkId === undefined);
    if (late.length === 0 || !isDue) {
      return undefined;
    }
    for (const { worker } of late) {
      notedWorkers.add(worker);
    }
    const forMs = Math.ceil(remainingMs);
    return { job: id, workers: namesOf(late), forMs };
  }

  private _send(notes: readonly LateStartNote[], now: number): void {
    const { emit, log, peers } = this._options;
    const rows = peers(now);
    for (const { address } of rows) {
      emit({ kind: 'note-late-starts', address, notes });
    }
    const entries = rows.length;
    for (const { job, workers, forMs } of notes) {
      const names = workers.join(' ');
      const message = forMs > 0 ? 'late starts noted' : 'late starts withdrawn';
      log(message, { job, workers: names, forMs, entries });
    }
  }

  private _deleteExpired(now: number): void {
    if (now < this._nextCleanupAtMs) {
      return;
    }
    this._nextCleanupAtMs = now + CLEANUP_INTERVAL_MS;
    for (const [job, workers] of this._received) {
      for (const [worker, { untilMs }] of workers) {
        if (now >= untilMs) {
          workers.delete(worker);
        }
      }
      if (workers.size === 0) {
        this._received.delete(job);
      }
    }
  }

  private _evictOldest(): void {
    for (const job of this._received.keys()) {
      if (this._received.size <= MAX_NOTED_JOBS) {
        return;
      }
      this._received.delete(job);
      this._options.log('note of late starts evicted', { job });
    }
  }
}

/** VMs of the workers of these runs. */
const namesOf = (runs: readonly StoppingRun[]): string[] => [
  ...new Set(runs.map(({ worker }) => worker)),
];
