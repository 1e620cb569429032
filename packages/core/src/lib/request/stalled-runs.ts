/** Timing of a run that has not ended. */
export interface RunTiming {
  /** Expected run time at a typical worker; 0 without an estimate. */
  readonly expectedMs: number;
  /** Ratio of the run time at its worker to the typical one. */
  readonly slowness: number;
  /** Number of earlier runs of the task that were stopped as stalled. */
  readonly earlierStops: number;
}

/**
 * A run that takes this many times the expected time counts as stalled.
 * Estimates are off by 40%, so one run in a thousand takes 3.4 times as long as
 * estimated.
 */
const STALL_FACTOR = 4;
/** Covers the start, the poll and a pause of the worker's process. */
const STALL_MARGIN_MS = 200;
/** Growth of the limit per earlier stop, in case the estimate is wrong. */
const LIMIT_GROWTH = 2;

/**
 * Computes the time after which a run counts as stalled and its task is better
 * started on another worker.
 *
 * Load pattern: workers on which tasks stall for seconds while heartbeats and
 * replies look healthy.
 *
 * @param run - Timing of the run.
 * @returns Time after its start in milliseconds; infinite without an estimate.
 */
export const stalledAfterMs = (run: RunTiming): number => {
  if (run.expectedMs <= 0) {
    return Number.POSITIVE_INFINITY;
  }
  const typicalMs = run.expectedMs * Math.max(1, run.slowness);
  const factor = STALL_FACTOR * LIMIT_GROWTH ** run.earlierStops;
  return typicalMs * factor + STALL_MARGIN_MS;
};
