/** Shortest interval between two lines of a limit. */
const LOG_INTERVAL_MS = 10_000;

/**
 * Limits the log lines about invalid input, which others may send at any rate.
 * It reads no clock; callers pass the time.
 */
export class LogLimit {
  private _loggedAtMs = Number.NEGATIVE_INFINITY;
  private _suppressed = 0;

  /**
   * @param now - Current time in milliseconds.
   * @returns Number of lines left out since the last one, if a line may be
   *   written now; otherwise `undefined`.
   */
  take(now: number): number | undefined {
    if (now - this._loggedAtMs < LOG_INTERVAL_MS) {
      this._suppressed += 1;
      return undefined;
    }
    const suppressed = this._suppressed;
    this._suppressed = 0;
    this._loggedAtMs = now;
    return suppressed;
  }
}
