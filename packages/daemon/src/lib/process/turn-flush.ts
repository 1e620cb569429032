import { now } from './clock.js';

/**
 * Runs a callback at most once per turn of the event loop. The hosts dispatch
 * their `flush` event in it, so that the messages that result from all events of
 * a turn are sent in one batch.
 */
export class TurnFlush {
  private readonly _run: (turnMs: number) => void;
  private _scheduled: NodeJS.Immediate | undefined;
  private _startedAtMs = 0;

  /**
   * @param run - Called at the end of the turn with the milliseconds since its
   *   first event. Messages that arrived in that time have not been read yet.
   */
  constructor(run: (turnMs: number) => void) {
    this._run = run;
  }

  /** Schedules the callback for this turn, unless it is scheduled already. */
  schedule(): void {
    if (this._scheduled) {
      return;
    }
    this._startedAtMs = now();
    this._scheduled = setImmediate(() => {
      this.runScheduled();
    });
  }

  /** Runs the callback now if it is scheduled, in place of later. */
  runScheduled(): void {
    if (!this._scheduled) {
      return;
    }
    clearImmediate(this._scheduled);
    this._scheduled = undefined;
    this._run(now() - this._startedAtMs);
  }
}
