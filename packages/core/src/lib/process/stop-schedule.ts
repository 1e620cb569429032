/** Minimum duration of a planned stop, in which callers notice the stop. */
const MIN_STOP_MS = 2500;
/** Time to send the last replies and to close the connections. */
const CLOSE_MS = 300;
/** Duration up to which turns of the event loop of a busy process are usual. */
const USUAL_TURN_MS = 300;
/**
 * Turns from the end of the wait for jobs until the process exits. Leaving, the
 * end of the stop and the close of the connections may each wait for one.
 */
const TURNS_AFTER_DRAIN = 3;
/** Turns from the time at which all calls have been answered until the exit. */
const TURNS_AFTER_END = 2;
/** Ticks from which the duration of a turn is estimated. */
const OBSERVED_TICKS = 5;

/**
 * Times of a planned stop. All of them follow from the grace after which the
 * process is killed. Times are in milliseconds.
 */
export class StopSchedule {
  readonly sinceMs: number;
  private readonly _graceMs: number;
  private _lastTickAtMs: number;
  /** Times between the last ticks, oldest first. */
  private _tickGapsMs: number[] = [];

  /**
   * @param sinceMs - Time at which the stop began.
   * @param graceMs - Time from then until the process is killed.
   */
  constructor(sinceMs: number, graceMs: number) {
    this.sinceMs = sinceMs;
    this._graceMs = graceMs;
    this._lastTickAtMs = sinceMs;
  }

  /**
   * Observes how long turns of the event loop take; to be called at each tick.
   *
   * @param now - Current time.
   */
  observeTick(now: number): void {
    this._tickGapsMs = [
      ...this._tickGapsMs.slice(1 - OBSERVED_TICKS),
      now - this._lastTickAtMs,
    ];
    this._lastTickAtMs = now;
  }

  /**
   * Time until which the entry waits for its jobs. Recorded jobs that are open
   * then are left to the other entries; volatile jobs are answered as in doubt.
   */
  get drainsUntilMs(): number {
    const untilMs = this._latestBefore(TURNS_AFTER_DRAIN);
    return Math.max(untilMs, this.sinceMs + MIN_STOP_MS);
  }

  /** Time by which all calls are answered. */
  get endsByMs(): number {
    return this._latestBefore(TURNS_AFTER_END);
  }

  /** The time from which so many turns and the close fit into the grace. */
  private _latestBefore(turns: number): number {
    return this.sinceMs + this._graceMs - CLOSE_MS - turns * this._turnMs;
  }

  /**
   * Expected duration of a turn. The longest of the observed ones is left out: a
   * process that was frozen once is not slow.
   */
  private get _turnMs(): number {
    const [, second = 0] = this._tickGapsMs.toSorted((a, b) => b - a);
    return Math.max(USUAL_TURN_MS, second);
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
