/** Minimum duration of a planned stop, in which callers notice the stop. */
const MIN_STOP_MS = 2500;
/**
 * Part of the grace that remains when the entry stops waiting for its jobs.
 * Recorded jobs that are open then are left to the other entries; volatile jobs
 * are answered as in doubt.
 */
const DRAIN_MARGIN_MS = 1200;
/**
 * Part of the grace that remains when all calls have been answered. Turns of the
 * event loop of a busy process take up to 300 ms, and the signal, the end of the
 * stop and the close of the connections may each wait for one.
 */
const END_MARGIN_MS = 900;

/**
 * Times of a planned stop. All of them follow from the grace after which the
 * process is killed. Times are in milliseconds.
 */
export class StopSchedule {
  readonly sinceMs: number;
  private readonly _graceMs: number;

  /**
   * @param sinceMs - Time at which the stop began.
   * @param graceMs - Time from then until the process is killed.
   */
  constructor(sinceMs: number, graceMs: number) {
    this.sinceMs = sinceMs;
    this._graceMs = graceMs;
  }

  /** Time until which the entry waits for its jobs. */
  get drainsUntilMs(): number {
    return this.sinceMs + this._graceMs - DRAIN_MARGIN_MS;
  }

  /** Time by which all calls are answered. */
  get endsByMs(): number {
    return this.sinceMs + this._graceMs - END_MARGIN_MS;
  }

  /** @returns How long the stop has taken, in whole milliseconds. */
  elapsedMs(now: number): number {
    return Math.round(now - this.sinceMs);
  }

  /**
   * @param isIdle - Whether the entry has no jobs or calls left.
   * @param now - Current time.
   * @returns Whether the entry may stop waiting and leave.
   */
  mayLeave(isIdle: boolean, now: number): boolean {
    const isNoticed = now - this.sinceMs >= MIN_STOP_MS;
    return (isIdle && isNoticed) || now >= this.drainsUntilMs;
  }
}
