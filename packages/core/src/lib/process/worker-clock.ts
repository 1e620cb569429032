/** Slowest rate of a worker's clock relative to real time. */
export const WORKER_CLOCK_MIN_RATE = 0.98;

/**
 * Computes a lower bound of a worker's clock from its last reading. The clock is
 * assumed to run at least at the rate {@link WORKER_CLOCK_MIN_RATE}.
 *
 * If this process pauses before it processes a reading, the bound is lower than
 * necessary, never too high.
 */
export class WorkerClock {
  private _lastReadingMs: number | undefined;
  private _lastReadingAtMs = 0;

  /** Last reading in milliseconds, or `undefined` before the first. */
  get lastReadingMs(): number | undefined {
    return this._lastReadingMs;
  }

  /** Local time of the last reading, in milliseconds. */
  get lastReadingAtMs(): number {
    return this._lastReadingAtMs;
  }

  /** Discards the readings of an earlier incarnation. */
  reset(): void {
    this._lastReadingMs = undefined;
  }

  /**
   * Stores a reading; one that is lower than the last is ignored.
   *
   * @param readingMs - The worker's clock in a reply, in milliseconds.
   * @param now - Current time in milliseconds.
   */
  observe(readingMs: number, now: number): void {
    if (this._lastReadingMs === undefined || readingMs >= this._lastReadingMs) {
      this._lastReadingMs = readingMs;
      this._lastReadingAtMs = now;
    }
  }

  /**
   * @param now - Current time in milliseconds.
   * @returns A time that the worker's clock has reached, in milliseconds; 0
   * before the first reading.
   */
  lowerBound(now: number): number {
    if (this._lastReadingMs === undefined) {
      return 0;
    }
    const elapsedMs = Math.max(0, now - this._lastReadingAtMs);
    return this._lastReadingMs + WORKER_CLOCK_MIN_RATE * elapsedMs;
  }
}
