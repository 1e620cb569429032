/** Timing of a run that has not ended. */
export interface RunTiming {
  /** Expected run time at a typical worker; 0 without an estimate. */
  readonly expectedMs: number;
  /** Ratio of the run time at its worker to the typical one. */
  readonly slowness: number;
  /** Number of earlier runs of the task that were stopped as stalled. */
  readonly earlierStops: number;
}

/** Why a run takes far longer than expected. */
export enum OverdueReason {
  /** The run, or its whole worker, stands still. */
  Stalled = 'stalled',
  /** The task takes long at any worker. */
  Long = 'long',
}

/** The runs of this entry at one worker. */
export interface WorkerRuns {
  readonly worker: string;
  /** Number of runs that have not ended. */
  readonly active: number;
  /** How many of these have taken longer than {@link stalledAfterMs}. */
  readonly overdue: number;
}

/**
 * A run that takes this many times the expected time counts as overdue.
 * Estimates are off by 40%, so one run in a thousand takes 3.4 times as long as
 * estimated.
 */
const STALL_FACTOR = 4;
/**
 * A long run is stopped after this many times the expected time: seven times the
 * usual run time, with an estimate that is too low by 40%.
 */
const LONG_FACTOR = 12;
/** Covers the start, the poll and a pause of the worker's process. */
const STALL_MARGIN_MS = 200;
/** Growth of the limit per earlier stop, in case the estimate is wrong. */
const LIMIT_GROWTH = 2;
/**
 * Share of the runs at a worker that may be long at the same time. Of tasks of
 * which 3% take seven times as long, 8% of the active ones are past the limit.
 */
const MAX_LONG_SHARE = 0.25;
/** Long runs that a worker may have whatever their share. */
const MIN_LONG_RUNS = 1;
/**
 * Share of its own run time within which the worker of a long run must have
 * completed another run: a worker may begin to stall at any time.
 */
const RECENT_SHARE = 0.5;
/** Time for which the overdue runs at a worker count as stalled after one did. */
const SUSPICION_MS = 3000;

/**
 * Computes the time after which a run is overdue.
 *
 * @param run - Timing of the run.
 * @returns Time after its start in milliseconds; infinite without an estimate.
 */
export const stalledAfterMs = (run: RunTiming): number =>
  limitMs(run, STALL_FACTOR * LIMIT_GROWTH ** run.earlierStops);

/**
 * Computes the time after which a long run is stopped.
 *
 * @param run - Timing of the run.
 * @returns Time after its start in milliseconds; infinite without an estimate.
 */
export const longAfterMs = (run: RunTiming): number =>
  Math.max(stalledAfterMs(run), limitMs(run, LONG_FACTOR));

const limitMs = (run: RunTiming, factor: number): number => {
  if (run.expectedMs <= 0) {
    return Number.POSITIVE_INFINITY;
  }
  const typicalMs = run.expectedMs * Math.max(1, run.slowness);
  return typicalMs * factor + STALL_MARGIN_MS;
};

interface WorkerProgress {
  /** Latest start among the completed runs. */
  latestStartMs: number;
  lastDoneAtMs: number;
  lastStallAtMs: number;
}

/**
 * Distinguishes overdue runs that have stalled, so that their tasks are better
 * started on other workers, from tasks that take long at any worker and would
 * only lose the work done so far.
 *
 * Load pattern: a few tasks in a hundred that take several times as long as
 * usual; workers on which all tasks, or some of them, stand still for seconds
 * while heartbeats and replies look healthy.
 *
 * A run counts as long if its worker goes on completing runs that started after
 * it, and if only few of the runs there are overdue.
 */
export class StallDetector {
  private readonly _workers = new Map<string, WorkerProgress>();

  /**
   * Records a run that has completed its task.
   *
   * @param worker - Name of the VM.
   * @param sinceMs - Time at which the run was placed.
   * @param now - Current time in milliseconds.
   */
  onDone(worker: string, sinceMs: number, now: number): void {
    const progress = this._progressOf(worker);
    progress.latestStartMs = Math.max(progress.latestStartMs, sinceMs);
    progress.lastDoneAtMs = now;
  }

  /**
   * @param runs - Runs at the worker.
   * @param sinceMs - Time at which the overdue run was placed.
   * @param now - Current time in milliseconds.
   * @returns Why the run is overdue.
   */
  reasonOf(runs: WorkerRuns, sinceMs: number, now: number): OverdueReason {
    const progress = this._workers.get(runs.worker);
    const isLong =
      progress !== undefined &&
      progress.latestStartMs > sinceMs &&
      now - progress.lastDoneAtMs <= RECENT_SHARE * (now - sinceMs) &&
      now - progress.lastStallAtMs > SUSPICION_MS &&
      runs.overdue <= Math.max(MIN_LONG_RUNS, MAX_LONG_SHARE * runs.active);
    return isLong ? OverdueReason.Long : OverdueReason.Stalled;
  }

  /**
   * Records a run that was stopped as stalled.
   *
   * @param worker - Name of the VM.
   * @param now - Current time in milliseconds.
   */
  onStalled(worker: string, now: number): void {
    this._progressOf(worker).lastStallAtMs = now;
  }

  /**
   * Discards what is known of a worker that has been replaced.
   *
   * @param worker - Name of the VM.
   */
  reset(worker: string): void {
    this._workers.delete(worker);
  }

  private _progressOf(worker: string): WorkerProgress {
    let progress = this._workers.get(worker);
    if (!progress) {
      progress = {
        latestStartMs: Number.NEGATIVE_INFINITY,
        lastDoneAtMs: Number.NEGATIVE_INFINITY,
        lastStallAtMs: Number.NEGATIVE_INFINITY,
      };
      this._workers.set(worker, progress);
    }
    return progress;
  }
}
