/** Weight of one run in the moving averages of a worker. */
const WORKER_SMOOTHING = 0.2;
/** Weight of one run in the moving average of a queue's estimate factor. */
const QUEUE_SMOOTHING = 0.03;
/** Share of failed runs at which a worker is ejected. */
const EJECTION_FAILURE_SHARE = 0.4;
/** A worker is ejected only if it fails this many times as often as others. */
const EJECTION_RATIO = 3;
/** How long a worker stays ejected before it is tried again. */
const EJECTION_MS = 2000;
/** Bounds of the ratio of one run time to the expected one. */
const MIN_RATIO = 0.2;
const MAX_RATIO = 20;
/** Lower bound of slowness; smaller ratios say nothing about the worker. */
const MIN_SLOWNESS = 0.9;

interface WorkerStats {
  failureShare: number;
  slowness: number;
  ejectedUntilMs: number;
}

/**
 * Derives the health and speed of workers, and the accuracy of each queue's
 * estimates, from the ends of runs, and ejects workers that fail more runs than
 * their peers (outlier ejection).
 *
 * Load pattern: workers that report healthy but fail or stall their runs,
 * workers that are slow for some seconds, and estimates that are wrong by a
 * factor which differs between queues.
 */
export class WorkerHealth {
  private readonly _workers = new Map<string, WorkerStats>();
  private readonly _estimateFactors = new Map<string, number>();

  /**
   * @param queue - Queue of the job.
   * @param estimateMs - Estimate given by the desk.
   * @returns Expected run time at a typical worker in milliseconds.
   */
  expectedMs(queue: string, estimateMs: number): number {
    return estimateMs * (this._estimateFactors.get(queue) ?? 1);
  }

  /** @returns Ratio of the run time at the worker to the typical one. */
  slowness(worker: string): number {
    return this._workers.get(worker)?.slowness ?? 1;
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
   * @param run - Queue and worker of the run.
   * @param estimateMs - Estimate given by the desk.
   * @param tookMs - Run time.
   */
  onDone(
    run: { readonly queue: string; readonly worker: string },
    estimateMs: number,
    tookMs: number,
  ): void {
    const stats = this._statsOf(run.worker);
    stats.failureShare *= 1 - WORKER_SMOOTHING;
    if (estimateMs <= 0) {
      return;
    }
    const factor = this._estimateFactors.get(run.queue) ?? 1;
    const observed = clamp(tookMs / estimateMs);
    const next =
      factor + QUEUE_SMOOTHING * (observed / stats.slowness - factor);
    this._estimateFactors.set(run.queue, next);
    const ratio = clamp(observed / factor);
    const smoothed =
      stats.slowness + WORKER_SMOOTHING * (ratio - stats.slowness);
    stats.slowness = Math.max(MIN_SLOWNESS, smoothed);
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
    stats.failureShare += WORKER_SMOOTHING * (1 - stats.failureShare);
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
      stats = { failureShare: 0, slowness: 1, ejectedUntilMs: 0 };
      this._workers.set(worker, stats);
    }
    return stats;
  }
}

const clamp = (ratio: number): number =>
  Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio));
