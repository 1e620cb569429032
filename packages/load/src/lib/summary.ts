import { build } from 'hdr-histogram-js';

/** Statistics of a set of response times, in milliseconds. */
export interface Summary {
  readonly count: number;
  readonly meanMs: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

const MAX_TRACKABLE_MS = 600_000;
const SIGNIFICANT_DIGITS = 3;

/**
 * Computes count, mean and percentiles with an HDR histogram.
 *
 * @param responsesMs - Response times in milliseconds.
 * @returns The statistics.
 */
export const summarize = (responsesMs: readonly number[]): Summary => {
  const histogram = build({
    highestTrackableValue: MAX_TRACKABLE_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  for (const ms of responsesMs) {
    histogram.recordValue(Math.max(1, Math.round(ms)));
  }
  return {
    count: responsesMs.length,
    meanMs: histogram.mean,
    p50Ms: histogram.getValueAtPercentile(50),
    p99Ms: histogram.getValueAtPercentile(99),
  };
};
