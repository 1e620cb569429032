/** Slowest rate of a worker's clock against a true one. */
export const WORKER_CLOCK_MIN_RATE = 0.98;

/**
 * Lower bound of a worker's clock, from the last reading.
 *
 * A pause of this process makes the bound too low, never too high.
 */
export class WorkerClock {
  private _readingMs: number | undefined;
  private _readAtMs = 0;

  /** Last reading, or `undefined` before the first. */
  get reading(): number | undefined {
    return this._readingMs;
  }

  /** Local time of the last reading. */
  get readAtMs(): number {
    return this._readAtMs;
  }

  /** Forgets the readings of an earlier incarnation. */
  reset(): void {
    this._readingMs = undefined;
  }

  /**
   * @param readingMs - The worker's clock in an answer.
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
   * @returns A time that the worker's clock has passed.
   */
  atLeast(now: number): number {
    if (this._readingMs === undefined) {
      return 0;
    }
    const elapsedMs = Math.max(0, now - this._readAtMs);
    return this._readingMs + WORKER_CLOCK_MIN_RATE * elapsedMs;
  }
}
