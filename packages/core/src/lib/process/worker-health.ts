/** Smallest weight of one run in the averages of a worker. */
const WORKER_SMOOTHING = 0.15;
/** Smallest weight of one run in the average of a queue's estimate factor. */
const QUEUE_SMOOTHING = 0.03;
/**
 * Factor on the weight of a run of the same job as the run before it at the
 * worker. Tasks of one job share the error of its estimate, which is larger than
 * the differences between their run times.
 */
const SAME_JOB_WEIGHT = 0.25;
/** Weight of a failed or completed run in the failure share of a worker. */
const FAILURE_SMOOTHING = 0.2;
/** Share of failed runs at which a worker is ejected. */
const EJECTION_FAILURE_SHARE = 0.4;
/** A worker is ejected only if it fails this many times as often as others. */
const EJECTION_RATIO = 3;
/** How long a worker stays ejected before it is tried again. */
const EJECTION_MS = 2000;
/** Bounds of the ratio of one run time to the estimate. */
const MIN_RATIO = 0.05;
const MAX_RATIO = 40;
/** Bounds of slowness. */
const MIN_SLOWNESS = 0.4;
const MAX_SLOWNESS = 20;
/**
 * Completed runs of a worker at which the factor of a queue follows its runs
 * with half the weight: at first the error is more likely that of the worker.
 */
const HALF_TRUSTED_RUNS = 10;
/**
 * Largest ratio, or its inverse, of one run time to the expected one that the
 * averages take in full. Some tasks take seven times as long as usual at any
 * worker; a worker that is that slow is known after some more runs.
 */
const MAX_SURPRISE = Math.log(2);
/** Share of the fastest and of the slowest workers that the mean leaves out. */
const TRIMMED_SHARE = 0.25;
/** Number of completed runs after which the mean is computed again. */
const MEAN_INTERVAL_RUNS = 16;

interface WorkerStats {
  failureShare: number;
  ejectedUntilMs: number;
  /** Logarithm of the slowness, not normalised. */
  logSlowness: number;
  /** Number of completed runs with an estimate. */
  runs: number;
  lastJob: string | undefined;
}

interface QueueStats {
  /** Logarithm of the estimate factor, not normalised. */
  logFactor: number;
  /** Number of completed runs with an estimate. */
  runs: number;
}

/** A run that has completed its task. */
export interface CompletedRun {
  readonly queue: string;
  readonly worker: string;
  /** Id of the job. */
  readonly job?: string;
}

/**
 * Derives the health and speed of workers, and the accuracy of each queue's
 * estimates, from the ends of runs, and ejects workers that fail more runs than
 * their peers (outlier ejection).
 *
 * Load pattern: workers that report healthy but fail or stall their runs,
 * workers of different speeds, or slow for some seconds, estimates that are
 * wrong by a factor which differs between queues and jobs, and a few tasks that
 * take several times as long as others at any worker.
 *
 * The run time is modelled as the product of estimate, factor of the queue and
 * slowness of the worker, and the logarithms of the last two follow the error
 * of each run (stochastic gradient descent on an additive two-way model, with
 * the clipped residuals of Huber 1964, "Robust estimation of a location
 * parameter"). The data determine only the sum of the two logarithms. They are
 * therefore normalised when read, so that the mean over the middle half of the
 * workers is 1: a few very slow workers do not change what is typical, and a
 * common drift of both has no effect.
 */
export class WorkerHealth {
  private readonly _workers = new Map<string, WorkerStats>();
  private readonly _queues = new Map<string, QueueStats>();
  /** Mean of the logarithms of the slowness of measured workers. */
  private _logMean = 0;
  private _runsUntilMean = 0;

  /**
   * @param queue - Queue of the job.
   * @param estimateMs - Estimate given by the desk.
   * @returns Expected run time at a typical worker in milliseconds.
   */
  expectedMs(queue: string, estimateMs: number): number {
    const stats = this._queues.get(queue);
    return stats
      ? estimateMs * Math.exp(stats.logFactor + this._logMean)
      : estimateMs;
  }

  /**
   * @param worker - Name of the VM.
   * @returns Ratio of the run time at the worker to the typical one; 1 for a
   *   worker that has not completed a run.
   */
  slowness(worker: string): number {
    const stats = this._workers.get(worker);
    return stats && stats.runs > 0
      ? clamp(
          Math.exp(stats.logSlowness - this._logMean),
          MIN_SLOWNESS,
          MAX_SLOWNESS,
        )
      : 1;
  }

  /**
   * @param worker - Name of the VM.
   * @param now - Current time in milliseconds.
   * @returns Whether the worker is ejected, so that others are preferred.
   */
  isEjected(worker: string, now: number): boolean {
    return now < (this._workers.get(worker)?.ejectedUntilMs ?? 0);
  }

  /**
   * Records a run that has completed its task.
   *
   * @param run - Queue, worker and job of the run.
   * @param estimateMs - Estimate given by the desk for a run with the same
   *   access to its data, local or remote; 0 without an estimate.
   * @param tookMs - Run time.
   */
  onDone(run: CompletedRun, estimateMs: number, tookMs: number): void {
    const worker = this._statsOf(run.worker);
    worker.failureShare *= 1 - FAILURE_SMOOTHING;
    if (estimateMs <= 0) {
      return;
    }
    let queue = this._queues.get(run.queue);
    if (!queue) {
      queue = { logFactor: -this._logMean, runs: 0 };
      this._queues.set(run.queue, queue);
    }
    if (worker.runs === 0) {
      worker.logSlowness = this._logMean;
      this._runsUntilMean = 0;
    }
    const observed = Math.log(clamp(tookMs / estimateMs, MIN_RATIO, MAX_RATIO));
    const surprise = clamp(
      observed - queue.logFactor - worker.logSlowness,
      -MAX_SURPRISE,
      MAX_SURPRISE,
    );
    const isSameJob = run.job !== undefined && run.job === worker.lastJob;
    const weight = isSameJob ? SAME_JOB_WEIGHT : 1;
    worker.logSlowness +=
      weight * surprise * smoothing(worker.runs, WORKER_SMOOTHING);
    const trust = worker.runs / (worker.runs + HALF_TRUSTED_RUNS);
    queue.logFactor +=
      weight * trust * surprise * smoothing(queue.runs, QUEUE_SMOOTHING);
    worker.lastJob = run.job;
    worker.runs += 1;
    queue.runs += 1;
    this._runsUntilMean -= 1;
    if (this._runsUntilMean <= 0) {
      this._computeMean();
    }
  }

  /**
   * Records a run that failed or stalled.
   *
   * @param worker - Name of the VM.
   * @param now - Current time in milliseconds.
   * @returns Whether this failure has ejected the worker.
   */
  onFailed(worker: string, now: number): boolean {
    const stats = this._statsOf(worker);
    stats.failureShare += FAILURE_SMOOTHING * (1 - stats.failureShare);
    const isOutlier =
      stats.failureShare >= EJECTION_FAILURE_SHARE &&
      stats.failureShare >=
        EJECTION_RATIO * this._meanFailureShareOfOthers(worker);
    if (!isOutlier) {
      return false;
    }
    stats.ejectedUntilMs = now + EJECTION_MS;
    return true;
  }

  /**
   * Discards the statistics of a worker that has been replaced.
   *
   * @param worker - Name of the VM.
   */
  reset(worker: string): void {
    this._workers.delete(worker);
    this._runsUntilMean = 0;
  }

  /** Computes the mean over the middle half of the measured workers. */
  private _computeMean(): void {
    this._runsUntilMean = MEAN_INTERVAL_RUNS;
    const logs: number[] = [];
    for (const stats of this._workers.values()) {
      if (stats.runs > 0) {
        logs.push(stats.logSlowness);
      }
    }
    logs.sort((a, b) => a - b);
    const trimmed = Math.floor(TRIMMED_SHARE * logs.length);
    let sum = 0;
    for (let i = trimmed; i < logs.length - trimmed; i += 1) {
      sum += logs[i] ?? 0;
    }
    const count = logs.length - 2 * trimmed;
    this._logMean = count > 0 ? sum / count : 0;
  }

  /**
   * Mean share of failed runs of the other workers. The share over all runs is
   * no substitute: a worker that fails its runs immediately is given more runs
   * than any other, so its own failures would dominate that share.
   */
  private _meanFailureShareOfOthers(worker: string): number {
    const others = [...this._workers].filter(([name]) => name !== worker);
    const sum = others.reduce(
      (total, [, stats]) => total + stats.failureShare,
      0,
    );
    return others.length === 0 ? 0 : sum / others.length;
  }

  private _statsOf(worker: string): WorkerStats {
    let stats = this._workers.get(worker);
    if (!stats) {
      stats = {
        failureShare: 0,
        ejectedUntilMs: 0,
        logSlowness: 0,
        runs: 0,
        lastJob: undefined,
      };
      this._workers.set(worker, stats);
    }
    return stats;
  }
}

/** Weight of the next run: the average starts as a mean with one prior run. */
const smoothing = (runs: number, least: number): number =>
  Math.max(least, 1 / (runs + 2));

const clamp = (value: number, min: number, max: number): number =>
  Math.min(max, Math.max(min, value));
