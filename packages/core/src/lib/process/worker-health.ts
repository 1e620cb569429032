/** Weight of one run in the moving averages of a worker. */
const WORKER_WEIGHT = 0.2;
/** Weight of one run in the moving average of a queue's estimate factor. */
const QUEUE_WEIGHT = 0.03;
/** Share of failed runs at which a worker is ejected. */
const SET_ASIDE_SHARE = 0.4;
/** A worker is ejected only if it fails this many times as often as others. */
const SET_ASIDE_RATIO = 3;
/** How long a worker stays ejected before it is tried again. */
const SET_ASIDE_MS = 2000;
/** Bounds of the ratio of one run time to the expected one. */
const MIN_RATIO = 0.2;
const MAX_RATIO = 20;
/** Lower bound of slowness; smaller ratios say nothing about the worker. */
const SLOWNESS_FLOOR = 0.9;

interface WorkerRecord {
  failureShare: number;
  slowness: number;
  asideUntilMs: number;
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
  private readonly _workers = new Map<string, WorkerRecord>();
  private readonly _factors = new Map<string, number>();

  /**
   * @param queue - Queue of the job.
   * @param estimateMs - Estimate given by the desk.
   * @returns Expected run time at a typical worker in milliseconds.
   */
  expectedMs(queue: string, estimateMs: number): number {
    return estimateMs * (this._factors.get(queue) ?? 1);
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
  isSetAside(worker: string, now: number): boolean {
    return now < (this._workers.get(worker)?.asideUntilMs ?? 0);
  }

  /**
   * Records a run that was done.
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
    const record = this._record(run.worker);
    record.failureShare *= 1 - WORKER_WEIGHT;
    if (estimateMs <= 0) {
      return;
    }
    const factor = this._factors.get(run.queue) ?? 1;
    const observed = clamp(tookMs / estimateMs);
    const next = factor + QUEUE_WEIGHT * (observed / record.slowness - factor);
    this._factors.set(run.queue, next);
    const ratio = clamp(observed / factor);
    const moved = record.slowness + WORKER_WEIGHT * (ratio - record.slowness);
    record.slowness = Math.max(SLOWNESS_FLOOR, moved);
  }

  /**
   * Records a run that failed or stalled.
   *
   * @param worker - Name of the VM.
   * @param now - Current time in milliseconds.
   * @returns Whether this failure has ejected the worker.
   */
  onFailed(worker: string, now: number): boolean {
    const record = this._record(worker);
    record.failureShare += WORKER_WEIGHT * (1 - record.failureShare);
    const isBad =
      record.failureShare >= SET_ASIDE_SHARE &&
      record.failureShare >= SET_ASIDE_RATIO * this._shareOfOthers(worker);
    if (!isBad) {
      return false;
    }
    record.asideUntilMs = now + SET_ASIDE_MS;
    return true;
  }

  /** @param worker - A VM whose worker has a new incarnation. */
  reset(worker: string): void {
    this._workers.delete(worker);
  }

  /**
   * Mean share of failed runs of the other workers. The share over all runs would
   * not do: a worker that fails its runs immediately is given more runs than any
   * other, so its own failures would dominate that share.
   */
  private _shareOfOthers(worker: string): number {
    const others = [...this._workers].filter(([name]) => name !== worker);
    const sum = others.reduce((total, [, o]) => total + o.failureShare, 0);
    return others.length === 0 ? 0 : sum / others.length;
  }

  private _record(worker: string): WorkerRecord {
    let record = this._workers.get(worker);
    if (!record) {
      record = { failureShare: 0, slowness: 1, asideUntilMs: 0 };
      this._workers.set(worker, record);
    }
    return record;
  }
}

const clamp = (ratio: number): number =>
  Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio));
