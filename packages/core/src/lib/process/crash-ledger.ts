import type { WorkerCrash } from '../messages.js';
import type { TaskCrash } from '../request/batch-job.js';
import { jobIdOf } from '../request/run-key.js';

interface CrashRecord {
  readonly crashes: TaskCrash[];
  /** Crashes after the first that point to the task, or another of its job. */
  repeats: number;
}

/** Crashes after the first that have to point to a task before it is given up. */
const MIN_REPEATS = 1;
/**
 * The same for a recorded task that has crashed several workers. Its caller waits
 * however long it takes, and the crash that another attempt may cause ends no
 * other runs, since suspects are placed apart. If all crashes were at one worker,
 * no other could take the task, and another crash would delay all jobs there.
 */
const MAX_REPEATS = 2;

/**
 * Crashes under a task at which it is given up, whether or not it is the cause.
 * One less than the platform allows, because a crash may stay unknown if the
 * process beside the worker ends at the same time.
 */
const MAX_CRASHES = 4;
/** Differences between two run times at crashes that count as none. */
const SAME_TIME_MS = 50;
const SAME_TIME_SHARE = 0.25;
/**
 * A run time that is known less exactly says nothing about the cause. A poll of
 * the worker that times out and the next one, which is refused, tell it to
 * within 450 ms.
 */
const MAX_UNCERTAINTY_MS = 500;
/**
 * Time that a run has to outlast the one at a crash until it is taken to go on
 * without a crash, in milliseconds.
 */
const TRIAL_MARGIN_MS = 100;
/** Longest trial; sound runs that crashed late would delay each other more. */
const MAX_TRIAL_MS = 5000;
/** Tasks that are remembered; the ones that crashed longest ago go first. */
const MAX_TASKS = 20_000;

/**
 * Counts the worker crashes under each task, over the runs of all entries, and
 * decides which tasks are given up.
 *
 * Load pattern: jobs with a task that crashes each worker that starts it, among
 * sound tasks on the same workers. A crash ends up to a dozen runs, of which one
 * is the cause, and while such jobs come in, sound tasks see several crashes.
 * A crash points to a task if it is the only one there that had seen a crash
 * before, and if it may have been active for about as long at the last one.
 * Placement keeps such suspects apart to make the first condition likely. A sound
 * task can meet two such crashes by chance, so one that is recorded is given up
 * after three, if there are workers to choose from.
 *
 * A crash is identified by the worker and its incarnation, so a crash that is
 * reported again is not counted twice.
 */
export class CrashLedger {
  private readonly _records = new Map<string, CrashRecord>();

  /**
   * Records a crash.
   *
   * @param worker - VM of the worker.
   * @param crash - The crash, with the runs that may have been active then.
   * @returns The tasks for which this crash is new.
   */
  add(worker: string, crash: WorkerCrash): string[] {
    const key = `${worker}/${crash.life}`;
    const affected = crash.runs.filter(({ task }) => !this._has(task, key));
    const suspects = affected.filter(({ task }) => this.isSuspect(task));
    const suspectJobs = new Set(suspects.map(({ task }) => jobIdOf(task)));
    for (const { task, activeMs, uncertaintyMs } of affected) {
      const record = this._recordOf(task);
      const last = record.crashes.at(-1);
      const taskCrash = { key, activeMs, uncertaintyMs };
      if (last && suspectJobs.size === 1 && mayBeSameTime(last, taskCrash)) {
        record.repeats += 1;
      }
      record.crashes.push(taskCrash);
    }
    this._evict();
    return affected.map(({ task }) => task);
  }

  /**
   * Adds crashes that a previous owner of the job has recorded.
   *
   * @param task - The task.
   * @param crashes - Crashes under it.
   */
  restore(task: string, crashes: readonly TaskCrash[]): void {
    const isNew = ({ key }: TaskCrash): boolean => !this._has(task, key);
    const missing = crashes.filter(isNew);
    if (missing.length > 0) {
      this._recordOf(task).crashes.unshift(...missing);
    }
  }

  /** @returns The worker crashes under the task, earlier ones first. */
  crashesOf(task: string): readonly TaskCrash[] {
    return this._records.get(task)?.crashes ?? [];
  }

  /** @returns Whether a worker has crashed under the task. */
  isSuspect(task: string): boolean {
    return this._records.has(task);
  }

  /** @returns Whether the worker of a VM has crashed under the task. */
  hasCrashed(worker: string, task: string): boolean {
    return this.crashesOf(task).some((crash) => workerOf(crash) === worker);
  }

  /**
   * @param task - A task.
   * @returns Time after the start of a run until which it may crash its worker
   *   as before, in milliseconds; 0 if no worker has crashed under the task.
   */
  trialMs(task: string): number {
    const crashes = this.crashesOf(task);
    if (crashes.length === 0) {
      return 0;
    }
    const longestMs = Math.max(...crashes.map(({ activeMs }) => activeMs));
    return Math.min(MAX_TRIAL_MS, longestMs + TRIAL_MARGIN_MS);
  }

  /**
   * @param task - A task.
   * @param isVolatile - Whether its job is volatile.
   * @returns Whether the task must not be started again.
   */
  isGivenUp(task: string, isVolatile: boolean): boolean {
    const record = this._records.get(task);
    if (!record) {
      return false;
    }
    const { crashes, repeats } = record;
    const workers = new Set(crashes.map(workerOf));
    const limit = isVolatile || workers.size === 1 ? MIN_REPEATS : MAX_REPEATS;
    return repeats >= limit || crashes.length >= MAX_CRASHES;
  }

  private _has(task: string, key: string): boolean {
    return this.crashesOf(task).some((crash) => crash.key === key);
  }

  /** Returns the record of a task, as the last one in the eviction order. */
  private _recordOf(task: string): CrashRecord {
    const record = this._records.get(task) ?? { crashes: [], repeats: 0 };
    this._records.delete(task);
    this._records.set(task, record);
    return record;
  }

  private _evict(): void {
    for (const task of this._records.keys()) {
      if (this._records.size <= MAX_TASKS) {
        return;
      }
      this._records.delete(task);
    }
  }
}

/** Returns the VM of the worker that has crashed. */
const workerOf = ({ key }: TaskCrash): string =>
  key.slice(0, key.lastIndexOf('/'));

/**
 * Whether a task that crashed its workers at both times may have acted the same
 * way: the ranges of its possible run times overlap, or nearly so.
 */
const mayBeSameTime = (earlier: TaskCrash, later: TaskCrash): boolean => {
  const crashes = [earlier, later];
  const gapMs =
    Math.max(...crashes.map(leastActiveMs)) -
    Math.min(...crashes.map(({ activeMs }) => activeMs));
  const shorterMs = Math.min(earlier.activeMs, later.activeMs);
  return (
    crashes.every(isInformative) &&
    gapMs <= Math.max(SAME_TIME_MS, SAME_TIME_SHARE * shorterMs)
  );
};

/** Whether the run has begun for certain, and its time is known well enough. */
const isInformative = (crash: TaskCrash): boolean =>
  leastActiveMs(crash) >= 0 && uncertaintyOf(crash) <= MAX_UNCERTAINTY_MS;

const uncertaintyOf = ({ uncertaintyMs = 0 }: TaskCrash): number =>
  uncertaintyMs;

const leastActiveMs = (crash: TaskCrash): number =>
  crash.activeMs - uncertaintyOf(crash);
