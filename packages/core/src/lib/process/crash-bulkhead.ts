import { groupBy } from '../group-by.js';
import { HashRanks } from '../hash-ranks.js';
import type { BatchContent } from '../request/batch-job.js';

/** A worker that may be part of a bulkhead. */
export interface BulkheadCandidate {
  readonly name: string;
  /** Service that it serves. */
  readonly service: string;
}

/** Time without crashes under a confined queue after which it is released. */
const CONFINEMENT_MS = 5000;
/** A run this young at a crash may be its cause. */
const YOUNG_MS = 60;
/** Crashes from which the cause is inferred: the latest ones, of this time. */
const SAMPLE_SIZE = 6;
const SAMPLE_WINDOW_MS = 8000;
/** Crashes at which a queue had a young run, at least, before it is confined. */
const MIN_HITS = 5;
/** Crashes at which it had one and the next queue had none, at least. */
const MIN_LEAD = 2;
/** Share of the workers of a service that each confined queue adds. */
const SHARE_PER_QUEUE = 0.3;

/**
 * Confines the volatile jobs of queues with tasks that crash workers to some of
 * the workers (bulkhead).
 *
 * Load pattern: for some seconds, every few hundred milliseconds a queue gets a
 * job with a task that crashes the worker that starts it. Each of these jobs
 * takes a worker away before anything is known about it, with a dozen runs of
 * all queues. The task is the one that started last, or nearly so; a queue that
 * had such a run at almost every crash, unlike the others, gets a part of the
 * workers, and the other queues keep away from these. They lose neither runs nor
 * most of their capacity. The queue is released when no worker has crashed under
 * it for a while.
 *
 * All entries choose the same workers, by a hash of their names.
 */
export class CrashBulkhead {
  private readonly _releaseAtMs = new Map<string, number>();
  private readonly _ranks = new HashRanks();
  /** Queues with young runs at each of the latest crashes. */
  private _samples: {
    readonly atMs: number;
    readonly queues: ReadonlySet<string>;
  }[] = [];

  /**
   * Records a crash. Confines a queue if it stands out for young runs at the
   * latest crashes, and prolongs the confinement of queues that had runs there.
   *
   * @param runs - Runs that were active at the crash, those of jobs that are not
   *   volatile without a queue.
   * @param now - Current time in milliseconds.
   * @returns The queue that has been confined now, if any.
   */
  onCrash(
    runs: readonly {
      readonly queue: string;
      readonly activeMs: number;
    }[],
    now: number,
  ): string | undefined {
    for (const { queue } of runs) {
      if (this.isConfined(queue)) {
        this._releaseAtMs.set(queue, now + CONFINEMENT_MS);
      }
    }
    const young = runs.filter(({ activeMs }) => activeMs < YOUNG_MS);
    const queues = new Set(young.map(({ queue }) => queue));
    this._samples = [...this._samples, { atMs: now, queues }]
      .filter(({ atMs }) => now - atMs < SAMPLE_WINDOW_MS)
      .slice(-SAMPLE_SIZE);
    const suspect = this._outstandingQueue();
    if (suspect === undefined || this.isConfined(suspect)) {
      return undefined;
    }
    this._releaseAtMs.set(suspect, now + CONFINEMENT_MS);
    return suspect;
  }

  /** Returns the queue that had young runs at far more crashes than others. */
  private _outstandingQueue(): string | undefined {
    const hits = new Map<string, number>();
    for (const { queues } of this._samples) {
      for (const queue of queues) {
        hits.set(queue, (hits.get(queue) ?? 0) + 1);
      }
    }
    const [first, second] = [...hits].sort((a, b) => b[1] - a[1]);
    const [queue, count] = first ?? ['', 0];
    const isOutstanding =
      queue !== '' &&
      count >= MIN_HITS &&
      count - (second?.[1] ?? 0) >= MIN_LEAD;
    return isOutstanding ? queue : undefined;
  }

  /**
   * @param now - Current time in milliseconds.
   * @returns The queues that are no longer confined.
   */
  release(now: number): string[] {
    const released = [...this._releaseAtMs]
      .filter(([, atMs]) => now >= atMs)
      .map(([queue]) => queue);
    released.forEach((queue) => this._releaseAtMs.delete(queue));
    return released;
  }

  /**
   * @param queue - A queue.
   * @returns Whether its volatile jobs may use the workers of the bulkhead only.
   */
  isConfined(queue: string): boolean {
    return this._releaseAtMs.has(queue);
  }

  /**
   * Jobs that are not volatile are never confined, because they have to run
   * however long it takes.
   *
   * @param job - A job.
   * @returns Whether the job may use the workers of the bulkhead only.
   */
  confines({
    queue,
    isVolatile,
  }: Pick<BatchContent, 'queue' | 'isVolatile'>): boolean {
    return isVolatile && this.isConfined(queue);
  }

  /**
   * @param workers - All workers that have a row.
   * @returns Names of the workers that confined queues use.
   */
  workers(workers: readonly BulkheadCandidate[]): ReadonlySet<string> {
    if (this._releaseAtMs.size === 0) {
      return NO_WORKERS;
    }
    const share = Math.min(1, SHARE_PER_QUEUE * this._releaseAtMs.size);
    const chosen = [...groupBy(workers, ({ service }) => service).values()]
      .map((group) =>
        [...group].sort(
          (a, b) => this._ranks.of(a.name) - this._ranks.of(b.name),
        ),
      )
      .flatMap((group) => group.slice(0, Math.ceil(share * group.length)));
    return new Set(chosen.map(({ name }) => name));
  }
}

const NO_WORKERS: ReadonlySet<string> = new Set();
