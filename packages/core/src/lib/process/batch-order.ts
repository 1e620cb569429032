/** Estimated completion of a waiting job, if it starts now. */
export enum CompletionEstimate {
  /** The job can end within its latency objective. */
  OnTime,
  /** The job ends late, but early enough to be of use to its caller. */
  Late,
  /** The job ends too late to be of use to its caller. */
  TooLate,
}

/** Sort key of a waiting job. */
export interface CompletionRank {
  readonly estimate: CompletionEstimate;
  /**
   * Latest start at which the job still ends on time or, if that time has
   * passed, early enough to be of use to its caller.
   */
  readonly latestStartMs: number;
}

/** A waiting job with its sort key. */
export interface RankedJob<J> extends CompletionRank {
  readonly job: J;
  /** Whether it is placed after the others, because capacity is short. */
  readonly isDeferred?: boolean;
}

/** A job is of use to its caller up to this multiple of its objective. */
export const MAX_USEFUL_FACTOR = 3;
/** Position of deferred jobs among the estimates. */
const DEFERRED_TURN =
  (CompletionEstimate.Late + CompletionEstimate.TooLate) / 2;

/** Times from which the estimated completion of a job is derived. */
export interface JobTimes {
  readonly acceptedAtMs: number;
  /** Expected run time of the job's critical path. */
  readonly criticalPathMs: number;
  /** Expected run time of the remaining part of the critical path. */
  readonly remainingMs: number;
  /** Factor on `criticalPathMs` in the objective. */
  readonly stretch: number;
  /** Constant part of the objective. */
  readonly slackMs: number;
}

/**
 * Estimates whether a job that starts now meets its latency objective, which is
 * `stretch * criticalPathMs + slackMs` after its acceptance.
 *
 * @param times - Times of the job.
 * @param now - Current time in milliseconds.
 * @returns The estimate and the latest start, see {@link CompletionRank}.
 */
export const rankOf = (times: JobTimes, now: number): CompletionRank => {
  const objectiveMs = times.stretch * times.criticalPathMs + times.slackMs;
  const onTimeStartMs = times.acceptedAtMs + objectiveMs - times.remainingMs;
  if (now <= onTimeStartMs) {
    return {
      estimate: CompletionEstimate.OnTime,
      latestStartMs: onTimeStartMs,
    };
  }
  const usefulStartMs =
    times.acceptedAtMs + MAX_USEFUL_FACTOR * objectiveMs - times.remainingMs;
  return {
    estimate:
      now <= usefulStartMs
        ? CompletionEstimate.Late
        : CompletionEstimate.TooLate,
    latestStartMs: usefulStartMs,
  };
};

/**
 * Sorts waiting jobs into the order in which they are placed.
 *
 * Bursts, lost workers and restarts cause a backlog for some seconds.
 * First come, first served would make every job late while there is a backlog.
 * Therefore jobs that can still meet their objective go first, the one with the
 * earliest latest start ahead, and late jobs get the remaining capacity. Deferred
 * jobs follow, and jobs that are too late to be of use come last.
 *
 * @param jobs - Waiting jobs.
 * @returns The same jobs in placement order.
 */
export const orderJobs = <R extends RankedJob<unknown>>(
  jobs: readonly R[],
): R[] => [...jobs].sort(compareJobs);

/** @returns Negative if the first job is placed before the second one. */
export const compareJobs = (
  a: RankedJob<unknown>,
  b: RankedJob<unknown>,
): number => turnOf(a) - turnOf(b) || a.latestStartMs - b.latestStartMs;

const turnOf = ({ estimate, isDeferred }: RankedJob<unknown>): number =>
  isDeferred === true && estimate !== CompletionEstimate.TooLate
    ? DEFERRED_TURN
    : estimate;

/** Share of a worker's capacity that late jobs leave free. */
const RESERVED_SHARE = 0.2;
/**
 * Wait after which a late job may use the reserve. An accepted recorded job is
 * never refused, so it must get capacity in the end.
 */
const RESERVE_TIMEOUT_MS = 5000;

/**
 * Returns the capacity of a worker that a job must leave free.
 *
 * After an outage several entries have a backlog, and each one orders only its
 * own jobs. Without a reserve, an entry that has only late jobs takes the
 * capacity that another entry needs for jobs that can still end in time. The same
 * holds for jobs of lower priorities (trunk reservation, from telephony).
 *
 * @param estimate - Estimated completion of the job.
 * @param waitedMs - How long the job has waited.
 * @param capacityMilli - CPU capacity of the worker, in millicores.
 * @param priorityShare - Share of the capacity that the job leaves to jobs of
 *   higher priorities.
 * @returns CPU capacity to leave free, in millicores.
 */
export const reservedCapacity = (
  estimate: CompletionEstimate,
  waitedMs: number,
  capacityMilli: number,
  priorityShare = 0,
): number => {
  if (waitedMs >= RESERVE_TIMEOUT_MS) {
    return 0;
  }
  const lateShare = estimate === CompletionEstimate.OnTime ? 0 : RESERVED_SHARE;
  return Math.max(lateShare, priorityShare) * capacityMilli;
};

/** Share of its caller's timeout after which a late job is refused. */
const MAX_WAIT_SHARE = 0.4;

/**
 * Returns whether a job that has not begun is to be refused.
 *
 * During a lasting overload, a late job gets only the capacity that other jobs
 * leave. An early refusal gives its caller time to retry, where a longer wait
 * would probably end in a timeout.
 *
 * @param estimate - Estimated completion of the job.
 * @param wait - How long the job has waited, and the timeout of its caller.
 * @returns Whether to refuse the job.
 */
export const shouldRefuse = (
  estimate: CompletionEstimate,
  wait: { readonly waitedMs: number; readonly timeoutMs: number },
): boolean => {
  switch (estimate) {
    case CompletionEstimate.OnTime:
      return false;
    case CompletionEstimate.Late:
      return wait.waitedMs > MAX_WAIT_SHARE * wait.timeoutMs;
    case CompletionEstimate.TooLate:
      return true;
  }
};
