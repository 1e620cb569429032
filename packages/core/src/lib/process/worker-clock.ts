/** Slowest rate of a worker's clock relative to real time. */
export const WORKER_CLOCK_MIN_RATE = 0.98;

/**
 * Computes a lower bound of a worker's clock from its last reading.
 *
 * If this process pauses before it takes in a reading, the bound is too low,
 * never too high.
 */
export class WorkerClock {
  private _readingMs: number | undefined;
  private _readAtMs = 0;

  /** Last reading in milliseconds, or `undefined` before the first. */
  get reading(): number | undefined {
    return this._readingMs;
  }

  /** Local time of the last reading, in milliseconds. */
  get readAtMs(): number {
    return this._readAtMs;
  }

  /** Discards the readings of an earlier incarnation. */
  reset(): void {
    this._readingMs = undefined;
  }

  /**
   * Takes in a reading; one that is lower than the last is ignored.
   *
   * @param readingMs - The worker's clock in a reply, in milliseconds.
   * @param now - Current time in milliseconds.
   */
  observe(readingMs: number, now: number): void {
    if (this._readingMs === undefined || readingMs >= this._readingMs) {
      this._readingMs = readingMs;
      this._readAtMs = now;
    }
  }

  /**
   * @param now - Current time in milliseconds.
   * @returns A time that the worker's clock has reached, in milliseconds; 0
   * before the first reading.
   */
  atLeast(now: number): number {
    if (this._readingMs === undefined) {
      return 0;
    }
    const elapsedMs = Math.max(0, now - this._readAtMs);
    return this._readingMs + WORKER_CLOCK_MIN_RATE * elapsedMs;
  }
}
