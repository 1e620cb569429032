/** What the policy considers of a waiting job. */
export interface PolicyJob {
  readonly queue: string;
  readonly weight: number;
  /** Work that has yet to start, in core-milliseconds. */
  readonly workCoreMs: number;
  /** Latest start at which the job still ends on time. */
  readonly latestStartMs: number;
}

/** Conditions under which jobs are selected. */
export interface PolicyConditions {
  readonly now: number;
  /** Work started per millisecond, in core-milliseconds. */
  readonly serviceRate: number;
  /** @returns How many jobs of a queue may be removed. */
  readonly removable: (queue: string) => number;
}

/**
 * Selects the jobs to remove so that the others start in time.
 *
 * Load pattern: bursts and lost workers, so that for some seconds more work
 * arrives than can start. In order of their latest start, jobs are added to a
 * set. When the last task of a job would start too late after the work up to it,
 * the job with the lowest weight per unit of work is removed from the set. Source: Moore 1968,
 * "An n job, one machine sequencing algorithm for minimizing the number of late
 * jobs", in its weighted greedy variant.
 *
 * @param jobs - Waiting jobs, the earliest latest start first.
 * @param conditions - Time, service rate and guaranteed minimum of each queue.
 * @returns The removed jobs.
 */
export const selectRemovals = <J extends PolicyJob>(
  jobs: readonly J[],
  conditions: PolicyConditions,
): ReadonlySet<J> => {
  const { now, serviceRate, removable } = conditions;
  const removed = new Set<J>();
  const left = new Map<string, number>();
  /** Jobs in the set that may be removed, the lowest weight per work last. */
  const byValue: { readonly job: J; readonly value: number }[] = [];
  let keptWork = 0;
  for (const job of jobs) {
    insert(byValue, job);
    keptWork += job.workCoreMs;
    const isTooLate = (): boolean =>
      !removed.has(job) && now + keptWork / serviceRate > job.latestStartMs;
    while (isTooLate()) {
      const least = byValue.pop()?.job;
      if (!least) {
        break;
      }
      const { queue } = least;
      const allowed = left.get(queue) ?? removable(queue);
      if (allowed >= 1) {
        left.set(queue, allowed - 1);
        removed.add(least);
        keptWork -= least.workCoreMs;
      } else {
        // Its queue has reached the minimum, so all of its jobs stay.
        left.set(queue, 0);
      }
    }
  }
  return removed;
};

/** Inserts a job; among equal jobs, the one that was added last is removed first. */
const insert = <J extends PolicyJob>(
  byValue: { readonly job: J; readonly value: number }[],
  job: J,
): void => {
  const value = job.weight / Math.max(1, job.workCoreMs);
  let low = 0;
  let high = byValue.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if ((byValue[middle]?.value ?? 0) >= value) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  byValue.splice(low, 0, { job, value });
};
