import type { BatchJob } from '../request/batch-job.js';

/**
 * Order in which waiting jobs are placed.
 *
 * Load pattern: bursts that leave more work than room for some seconds. Work
 * of a higher priority goes first; within one, the older job.
 *
 * @param jobs - Jobs with tasks to place.
 * @returns The same jobs, first one first.
 */
export const orderJobs = (jobs: Iterable<BatchJob>): BatchJob[] =>
  [...jobs].sort(
    (a, b) =>
      a.content.priority - b.content.priority ||
      a.acceptedAtMs - b.acceptedAtMs,
  );
