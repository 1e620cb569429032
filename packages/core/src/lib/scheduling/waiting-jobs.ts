import type { BatchJob } from '../request/batch-job.js';
import {
  TaskPhase,
  criticalPathEstimateMs,
  pathMs,
} from '../request/batch-job.js';
import {
  CompletionEstimate,
  compareJobs,
  orderJobs,
  rankOf,
} from '../process/batch-order.js';
import type { RankedJob } from '../process/batch-order.js';
import type { OwnedJob } from '../process/owned-job.js';
import { JobValue } from './job-value.js';
import type { PolicyJob } from './overload-policy.js';

/** A job that may have tasks to place, with what its order depends on. */
export interface WaitingJob extends RankedJob<OwnedJob>, PolicyJob {
  /** Latency objective, from the acceptance of the job. */
  readonly objectiveMs: number;
  /**
   * Whether it is delayed or refused by priority: its service has queues of
   * different priorities, and all workers of the service may run it.
   */
  readonly isPrioritised: boolean;
  readonly isDeferred: boolean;
}

/** Options of {@link WaitingJobs}. */
export interface WaitingJobsOptions {
  /** @returns Expected run time of an estimated one of a queue. */
  readonly expectedMs: (queue: string, estimateMs: number) => number;
  readonly isPrioritised: (service: string) => boolean;
  /** @returns Weight of a job by its priority. */
  readonly weightOf: (priority: number) => number;
}

type MutableWaitingJob = {
  -readonly [K in keyof WaitingJob]: WaitingJob[K];
} & {
  /** Estimates as the desk gave them, for the tasks that have not ended. */
  readonly pathMs: number;
  readonly remainingPathMs: number;
};

/**
 * Holds the jobs that have tasks to place, in placement order. The order is kept
 * between rounds; only jobs that were added or whose rank has changed are sorted
 * and merged into it.
 */
export class WaitingJobs {
  private readonly _options: WaitingJobsOptions;
  private readonly _values = new JobValue();
  private readonly _jobs = new Map<OwnedJob, MutableWaitingJob>();
  private _ordered: MutableWaitingJob[] = [];
  /** Jobs that are not yet at their place in the order. */
  private readonly _moved = new Set<MutableWaitingJob>();
  private _hasDeleted = false;
  /** Time at which the rank of a job changes next. */
  private _nextChangeMs = Number.POSITIVE_INFINITY;

  /** @param options - Expected run times and priorities. */
  constructor(options: WaitingJobsOptions) {
    this._options = options;
  }

  /** Number of jobs. */
  get size(): number {
    return this._jobs.size;
  }

  /** @param ownedJob - A job that may have tasks to place. */
  add(ownedJob: OwnedJob): void {
    const { job } = ownedJob;
    const { content } = job;
    const isPrioritised =
      this._options.isPrioritised(content.service) &&
      content.steps.every(({ requires }) => requires === undefined);
    const fullPathMs = criticalPathEstimateMs(content);
    const known = this._jobs.get(ownedJob);
    const isBegun = job.tasks.some(({ phase }) => phase === TaskPhase.Done);
    const entry: MutableWaitingJob = {
      job: ownedJob,
      queue: content.queue,
      weight: isPrioritised ? this._weightOf(job) : 0,
      isPrioritised,
      isDeferred: known?.isDeferred ?? false,
      pathMs: fullPathMs,
      remainingPathMs:
        isPrioritised && isBegun ? remainingPathMs(job) : fullPathMs,
      // Set when the jobs are ordered.
      estimate: CompletionEstimate.OnTime,
      latestStartMs: 0,
      objectiveMs: 0,
      workCoreMs: 0,
    };
    this._hasDeleted ||= known !== undefined;
    this._jobs.set(ownedJob, entry);
    this._moved.add(entry);
  }

  /** @param ownedJob - A job that has no tasks to place. */
  delete(ownedJob: OwnedJob): void {
    this._hasDeleted = this._jobs.delete(ownedJob) || this._hasDeleted;
  }

  /** @returns The job with what its order depends on, if it waits. */
  get(ownedJob: OwnedJob): WaitingJob | undefined {
    return this._jobs.get(ownedJob);
  }

  /** @returns Whether the job may have tasks to place. */
  has(ownedJob: OwnedJob): boolean {
    return this._jobs.has(ownedJob);
  }

  /**
   * Sets which jobs are placed after the others.
   *
   * @param job - One of the jobs.
   * @param isDeferred - Whether it is deferred.
   */
  defer(job: WaitingJob, isDeferred: boolean): void {
    const entry = this._jobs.get(job.job);
    if (entry && entry.isDeferred !== isDeferred) {
      entry.isDeferred = isDeferred;
      this._moved.add(entry);
    }
  }

  /**
   * Updates the work of a job after some of its tasks were placed.
   *
   * @param ownedJob - One of the jobs.
   */
  onPlaced(ownedJob: OwnedJob): void {
    const entry = this._jobs.get(ownedJob);
    if (entry) {
      entry.workCoreMs = this._workOf(entry);
    }
  }

  /**
   * @param now - Current time in milliseconds.
   * @returns The jobs in placement order.
   */
  ordered(now: number): readonly WaitingJob[] {
    if (this._moved.size > 0 || this._hasDeleted || now > this._nextChangeMs) {
      this._update(now);
    }
    return this._ordered;
  }

  private _update(now: number): void {
    const kept = this._ordered.filter((entry) => {
      if (hasOutdatedRank(entry, now)) {
        this._moved.add(entry);
      }
      return this._isHeld(entry) && !this._moved.has(entry);
    });
    const moved = [...this._moved].filter((entry) => this._isHeld(entry));
    for (const entry of moved) {
      this._rank(entry, now);
    }
    this._moved.clear();
    this._hasDeleted = false;
    this._ordered = merge(kept, orderJobs(moved));
    this._nextChangeMs = Number.POSITIVE_INFINITY;
    for (const { estimate, latestStartMs } of this._ordered) {
      if (estimate !== CompletionEstimate.TooLate) {
        this._nextChangeMs = Math.min(this._nextChangeMs, latestStartMs);
      }
    }
  }

  private _isHeld(entry: WaitingJob): boolean {
    return this._jobs.get(entry.job) === entry;
  }

  private _rank(entry: MutableWaitingJob, now: number): void {
    const { job } = entry.job;
    const { queue, stretch, slackMs } = job.content;
    const criticalPathMs = this._options.expectedMs(queue, entry.pathMs);
    const remainingMs = this._options.expectedMs(queue, entry.remainingPathMs);
    const { acceptedAtMs } = job;
    const times = {
      acceptedAtMs,
      criticalPathMs,
      remainingMs,
      stretch,
      slackMs,
    };
    const { estimate, latestStartMs } = rankOf(times, now);
    entry.estimate = estimate;
    entry.latestStartMs = latestStartMs;
    entry.objectiveMs = stretch * criticalPathMs + slackMs;
    entry.workCoreMs = this._workOf(entry);
  }

  private _weightOf(job: BatchJob): number {
    const { queue, priority } = job.content;
    const work = estimatedWork(job);
    if (!job.mayHaveBegun) {
      // The tasks of a job that has begun are not all left.
      this._values.observe(queue, work);
    }
    const weight = this._options.weightOf(priority);
    return this._values.valueOf(queue, weight, work);
  }

  private _workOf({ job: { job }, isPrioritised }: WaitingJob): number {
    return isPrioritised
      ? this._options.expectedMs(job.content.queue, estimatedWork(job))
      : 0;
  }
}

const hasOutdatedRank = (
  { estimate, latestStartMs }: WaitingJob,
  now: number,
): boolean => estimate !== CompletionEstimate.TooLate && now > latestStartMs;

/** Merges two lists that are in placement order. */
const merge = (
  a: readonly MutableWaitingJob[],
  b: readonly MutableWaitingJob[],
): MutableWaitingJob[] => {
  const merged: MutableWaitingJob[] = [];
  let next = 0;
  for (const entry of a) {
    for (
      let other = b[next];
      other && compareJobs(other, entry) < 0;
      other = b[next]
    ) {
      merged.push(other);
      next += 1;
    }
    merged.push(entry);
  }
  return merged.concat(b.slice(next));
};

const MILLI = 1000;

/** Estimated work of the tasks that have yet to start, in core-milliseconds. */
const estimatedWork = (job: BatchJob): number => {
  let work = 0;
  for (const task of job.tasks) {
    if (task.phase === TaskPhase.Ready || task.phase === TaskPhase.Blocked) {
      const { needs, estimateMs } = job.stepOf(task);
      work += (needs.cpuMilli / MILLI) * estimateMs;
    }
  }
  return work;
};

/** Estimated critical path over the steps that are not done. */
const remainingPathMs = (job: BatchJob): number =>
  pathMs(job.content, (step) =>
    job.tasks.some(
      (task) => task.step === step && task.phase !== TaskPhase.Done,
    ),
  );
