/** Weight of one run in what is known of a worker. */
const WORKER_WEIGHT = 0.2;
/** Weight of one run in what is known of a queue's estimates. */
const QUEUE_WEIGHT = 0.03;
/** Share of failed runs at which a worker is set aside. */
const SET_ASIDE_SHARE = 0.4;
/** A worker is set aside only if it fails this many times as often as others. */
const SET_ASIDE_RATIO = 3;
/** How long a worker stays set aside before it is tried again. */
const SET_ASIDE_MS = 2000;
/** Bounds of the ratio of one run time to the expected one. */
const MIN_RATIO = 0.2;
const MAX_RATIO = 20;
/** A ratio within this of the usual one says nothing about the worker. */
const SLOWNESS_FLOOR = 0.9;

interface WorkerRecord {
  failureShare: number;
  slowness: number;
  asideUntilMs: number;
}

/**
 * What the ends of runs tell about workers and estimates.
 *
 * Load pattern: workers that fail or stall what they start while they look
 * healthy, workers that turn slow for seconds, and estimates that are off by
 * a factor which differs between queues.
 */
export class WorkerHealth {
  private readonly _workers = new Map<string, WorkerRecord>();
  private readonly _factors = new Map<string, number>();

  /**
   * @param queue - Queue of the job.
   * @param estimateMs - Estimate given by the desk.
   * @returns Expected run time at a usual worker.
   */
  expectedMs(queue: string, estimateMs: number): number {
    return estimateMs * (this._factors.get(queue) ?? 1);
  }

  /** @returns Run time at the worker against the usual one. */
  slowness(worker: string): number {
    return this._workers.get(worker)?.slowness ?? 1;
  }

  /**
   * @param worker - Name of the VM.
   * @param now - Current time in milliseconds.
   * @returns Whether other workers are to be preferred.
   */
  isSetAside(worker: string, now: number): boolean {
    return now < (this._workers.get(worker)?.asideUntilMs ?? 0);
  }

  /**
   * Takes note of a run that was done.
   *
   * @param run - Queue and worker of the run.
   * @param estimateMs - Estimate given by the desk.
   * @param tookMs - Its run time.
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
   * Takes note of a run that failed or stood still.
   *
   * @param worker - Name of the VM.
   * @param now - Current time in milliseconds.
   * @returns Whether the worker has been set aside by this.
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

  /** @param worker - A VM whose worker has begun anew. */
  reset(worker: string): void {
    this._workers.delete(worker);
  }

  /**
   * Mean share of failures of the other workers. A worker that fails at once
   * is given more runs than any other, so a share of all ends would mostly be
   * its own.
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
