const MS_PER_SECOND = 1000;
const MIN_DELAY_S = 1;
const MAX_DELAY_S = 30;
/** Largest part that the jitter adds. */
const JITTER = 0.5;

/** What the retry delay of a refusal is derived from. */
export interface RetryConditions {
  /** Work that waits, in core-milliseconds. */
  readonly backlog: number;
  /** Work started per millisecond, in core-milliseconds. */
  readonly serviceRate: number;
}

/**
 * Returns the time after which the present backlog will probably have started.
 *
 * Jitter keeps callers that were refused at the same time from returning at the
 * same time. Callers get whole seconds; the fraction is rounded at random, since
 * rounding up would remove the jitter of short delays.
 *
 * @param conditions - Backlog and service rate.
 * @param random - Uniform random numbers from 0 to 1.
 * @returns Delay in milliseconds, a whole number of seconds.
 */
export const retryDelayMs = (
  { backlog, serviceRate }: RetryConditions,
  random: () => number,
): number => {
  const seconds = Math.min(
    MAX_DELAY_S,
    Math.max(MIN_DELAY_S, backlog / serviceRate / MS_PER_SECOND),
  );
  const jittered = seconds * (1 + JITTER * random());
  return Math.floor(jittered + random()) * MS_PER_SECOND;
};
