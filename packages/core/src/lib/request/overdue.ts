/** What is known of a run that has not ended. */
export interface OpenRun {
  /** Expected run time at a usual worker; 0 when nothing is known. */
  readonly expectedMs: number;
  /** Run time at its worker against the usual one. */
  readonly slowness: number;
  /** Earlier runs of the task that were stopped for the same reason. */
  readonly earlierStops: number;
}

/**
 * A run this many times as long as expected stands still: estimates are off by
 * 40%, which one run in a thousand turns into a factor of 3.4.
 */
const OVERDUE_FACTOR = 4;
/** Covers the start, the look and a pause of the worker's process. */
const OVERDUE_SLACK_MS = 200;
/** Each further run of the task gets longer, in case the estimate is wrong. */
const PATIENCE_GROWTH = 2;

/**
 * Tells when a run counts as standing still, so that its task is better
 * started elsewhere.
 *
 * Load pattern: workers on which tasks stand still for seconds while their
 * heartbeats and answers look healthy.
 *
 * @param run - What is known of the run.
 * @returns Time after its start in milliseconds; infinite without an estimate.
 */
export const overdueAfterMs = (run: OpenRun): number => {
  if (run.expectedMs <= 0) {
    return Number.POSITIVE_INFINITY;
  }
  const usualMs = run.expectedMs * Math.max(1, run.slowness);
  const patience = OVERDUE_FACTOR * PATIENCE_GROWTH ** run.earlierStops;
  return usualMs * patience + OVERDUE_SLACK_MS;
};
