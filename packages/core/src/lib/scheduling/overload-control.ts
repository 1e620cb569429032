import type { BatchContent } from '../request/batch-job.js';
import type { RouteTable } from '../version/route-table.js';
import {
  CompletionEstimate,
  MAX_USEFUL_FACTOR,
} from '../process/batch-order.js';
import { OfferedLoad } from './offered-load.js';
import { selectRemovals } from './overload-policy.js';
import { OVERLOAD_DEFAULTS, valueOf } from './overload-options.js';
import type { OverloadOptions } from './overload-options.js';
import { retryDelayMs } from './retry-delay.js';
import { ServiceRate } from './service-rate.js';
import type { ServiceRound } from './service-rate.js';
import type { WaitingJob, WaitingJobs } from './waiting-jobs.js';

/** Part of its objective within which a removed job is refused. */
const REFUSAL_SHARE = 0.25;
/** Longest interval between two selections while no job was added. */
const SELECTION_INTERVAL_MS = 50;
/**
 * Part of the service rate that waiting jobs are expected to get. Jobs that arrive
 * later and have an earlier latest start get the rest. In a replay at 1.7 times
 * the capacity, 12% of the refusals of the upper queues came late with 0.7, less
 * than 10% with 0.65 and below.
 */
const PLANNED_SHARE = 0.6;
/** Retry delay of a refusal while the service rate is unknown. */
const DEFAULT_RETRY_AFTER_MS = 2000;

/** Backlog of one service and how fast it is started. */
export interface ServiceLoad {
  /** Work that waits, in core-milliseconds. */
  readonly backlog: number;
  /** The same by priority. */
  readonly byPriority: ReadonlyMap<number, number>;
  /** Work started per millisecond in core-milliseconds, if known. */
  readonly serviceRate: number | undefined;
}

/** Options of {@link OverloadControl}. */
export interface OverloadControlOptions {
  readonly waiting: WaitingJobs;
  readonly routes: RouteTable;
  /** @returns Whether the job may use some workers of its service only. */
  readonly isConfined: (content: BatchContent) => boolean;
  /** Returns uniform random numbers from 0 to 1. */
  readonly random: () => number;
  readonly settings?: Partial<OverloadOptions> | undefined;
}

/**
 * Decides which jobs are delayed or refused while capacity is short. Only jobs of
 * services whose queues differ in priority are concerned.
 */
export class OverloadControl {
  private readonly _waiting: WaitingJobs;
  private readonly _routes: RouteTable;
  private readonly _isConfined: (content: BatchContent) => boolean;
  private readonly _settings: OverloadOptions;
  private readonly _random: () => number;
  private readonly _offered = new OfferedLoad();
  private readonly _rates = new Map<string, ServiceRate>();
  private _selectedAtMs = Number.NEGATIVE_INFINITY;
  private _hasNewJobs = false;

  /** @param options - Waiting jobs, priorities, settings and random numbers. */
  constructor(options: OverloadControlOptions) {
    this._waiting = options.waiting;
    this._routes = options.routes;
    this._isConfined = options.isConfined;
    this._random = options.random;
    this._settings = { ...OVERLOAD_DEFAULTS, ...options.settings };
  }

  /** @returns Weight of a job of the priority. */
  weightOf(priority: number): number {
    return valueOf(this._settings.weights, priority);
  }

  /**
   * @param content - A job that was submitted.
   * @param now - Current time in milliseconds.
   */
  onSubmitted(content: BatchContent, now: number): void {
    if (this._routes.hasPriorities(content.service)) {
      this._offered.onOffered(content, now);
      this._hasNewJobs = true;
    }
  }

  /**
   * @param content - A job that was refused because of overload.
   * @param now - Current time in milliseconds.
   */
  onRefused(content: BatchContent, now: number): void {
    this._offered.onRefused(content.queue, now);
  }

  /**
   * @param content - A job.
   * @param now - Current time in milliseconds.
   * @returns Share of each worker's capacity that it leaves to jobs of higher
   *   priorities.
   */
  reservedShare(content: BatchContent, now: number): number {
    const isReserved =
      this._routes.hasPriorities(content.service) &&
      this._offered.isHigherOffered(content, now);
    return isReserved ? valueOf(this._settings.reserved, content.priority) : 0;
  }

  /**
   * @param service - A service.
   * @param round - What a placement round has done for its jobs.
   * @param now - Current time in milliseconds.
   */
  observe(service: string, round: ServiceRound, now: number): void {
    if (!this._routes.hasPriorities(service)) {
      this._rates.delete(service);
      return;
    }
    let rate = this._rates.get(service);
    if (!rate) {
      rate = new ServiceRate();
      this._rates.set(service, rate);
    }
    rate.observe(round, now);
  }

  /**
   * @param service - A service.
   * @param work - Work of a task that a worker has refused to start, in
   *   core-milliseconds.
   */
  onStartRefused(service: string, work: number): void {
    this._rates.get(service)?.onStartRefused(work);
  }

  /** Services whose rate is being observed. */
  get services(): Iterable<string> {
    return this._rates.keys();
  }

  /**
   * @param service - A service.
   * @param now - Current time in milliseconds.
   * @returns Its backlog at this entry and how fast it is started.
   */
  loadOf(service: string, now: number): ServiceLoad {
    const byPriority = new Map<number, number>();
    let backlog = 0;
    for (const { job, workCoreMs } of this._waiting.ordered(now)) {
      const { content } = job.job;
      if (content.service === service) {
        const sum = byPriority.get(content.priority) ?? 0;
        byPriority.set(content.priority, sum + workCoreMs);
        backlog += workCoreMs;
      }
    }
    const serviceRate = this._rates.get(service)?.rate;
    return { backlog, byPriority, serviceRate };
  }

  /**
   * @param now - Current time in milliseconds.
   * @returns Load of each service that is treated by priority.
   */
  loads(now: number): ReadonlyMap<string, ServiceLoad> {
    return new Map(
      [...this._rates.keys()].map((service) => [
        service,
        this.loadOf(service, now),
      ]),
    );
  }

  /**
   * @param load - Load of the service of a refused job.
   * @returns When its caller may come back, in milliseconds.
   */
  retryAfterMs({ backlog, serviceRate }: ServiceLoad): number {
    return serviceRate === undefined
      ? DEFAULT_RETRY_AFTER_MS
      : retryDelayMs({ backlog, serviceRate }, this._random);
  }

  /**
   * Selects the jobs that are refused or placed after all others, so that more
   * valuable ones start in time; called after the tasks that fit were placed.
   *
   * @param now - Current time in milliseconds.
   * @returns Volatile jobs to refuse.
   */
  select(now: number): readonly WaitingJob[] {
    const isDue =
      this._hasNewJobs || now - this._selectedAtMs >= SELECTION_INTERVAL_MS;
    if (!isDue) {
      return [];
    }
    this._selectedAtMs = now;
    this._hasNewJobs = false;
    return [...this._rates].flatMap(([service, { rate }]) =>
      this._selectFrom(service, rate, now),
    );
  }

  private _selectFrom(
    service: string,
    serviceRate: number | undefined,
    now: number,
  ): readonly WaitingJob[] {
    const jobs = this._waiting
      .ordered(now)
      .filter(
        (job) =>
          job.isPrioritised &&
          job.estimate === CompletionEstimate.OnTime &&
          job.job.job.content.service === service &&
          !this._isConfined(job.job.job.content),
      );
    if (serviceRate === undefined) {
      for (const job of jobs) {
        this._waiting.defer(job, false);
      }
      return [];
    }
    // Deferred jobs are considered again, since capacity may have become free.
    jobs.sort((a, b) => a.latestStartMs - b.latestStartMs);
    const { floor } = this._settings;
    const removed = selectRemovals(jobs, {
      now,
      serviceRate: PLANNED_SHARE * serviceRate,
      removable: (queue) => this._offered.removable(queue, floor, now),
    });
    const refused: WaitingJob[] = [];
    for (const job of jobs) {
      if (removed.has(job) && isRefusable(job, now)) {
        refused.push(job);
      } else {
        this._waiting.defer(job, removed.has(job));
      }
    }
    return refused;
  }
}

/** Whether a removed job is refused, rather than placed after all others. */
const isRefusable = (waiting: WaitingJob, now: number): boolean => {
  const { job } = waiting.job;
  return (
    job.content.isVolatile &&
    now - job.acceptedAtMs <= REFUSAL_SHARE * waiting.objectiveMs &&
    !job.mayHaveBegun
  );
};

/**
 * @param waiting - A waiting job.
 * @param now - Current time in milliseconds.
 * @returns Whether its result can no longer be of use to its caller, even if its
 *   remaining tasks took no time.
 */
export const isUseless = (waiting: WaitingJob, now: number): boolean =>
  now - waiting.job.job.acceptedAtMs > MAX_USEFUL_FACTOR * waiting.objectiveMs;
