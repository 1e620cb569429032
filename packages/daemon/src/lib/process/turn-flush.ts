import { now } from './clock.js';

/**
 * Runs a callback at most once per turn of the event loop. The hosts dispatch
 * their `flush` event in it, so that the messages that result from all events of
 * a turn are sent in one batch.
 */
export class TurnFlush {
  private readonly _run: (turnMs: number, pollAgeMs: number) => void;
  private _scheduled: NodeJS.Immediate | undefined;
  private _startedAtMs = 0;
  /** End of the last run. */
  private _ranAtMs = now();
  /** End of the last run before the last poll of the sockets. */
  private _pollAfterMs = now();
  /** Whether the scheduled run has to wait for a poll. */
  private _awaitsPoll = false;

  /**
   * @param run - Called at the end of the turn with the milliseconds since its
   *   first event, and with the milliseconds, at most, since the event loop began
   *   to poll the sockets. Messages that arrived in that time may not have been
   *   read.
   */
  constructor(run: (turnMs: number, pollAgeMs: number) => void) {
    this._run = run;
  }

  /** Schedules the callback for this turn, unless it is scheduled already. */
  schedule(): void {
    if (this._scheduled) {
      return;
    }
    this._startedAtMs = now();
    this._scheduled = setImmediate(() => {
      this._awaitsPoll = false;
      this.runScheduled();
    });
  }

  /**
   * Schedules the callback for the end of the next turn; to be called only during
   * a run.
   */
  scheduleAfterNextPoll(): void {
    this.schedule();
    this._awaitsPoll = true;
  }

  /**
   * Runs the callback now, in place of later, if it is scheduled and doesn't wait
   * for a poll.
   */
  runScheduled(): void {
    if (!this._scheduled || this._awaitsPoll) {
      return;
    }
    clearImmediate(this._scheduled);
    this._scheduled = undefined;
    // Runs after the next poll, before a run that is scheduled meanwhile. Without
    // a reference, it does not keep the event loop from waiting.
    setImmediate(() => {
      this._pollAfterMs = this._ranAtMs;
    }).unref();
    const startedAtMs = now();
    this._run(startedAtMs - this._startedAtMs, startedAtMs - this._pollAfterMs);
    this._ranAtMs = now();
  }
}
