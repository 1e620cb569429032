/**
 * Runs a callback at most once per turn of the event loop. The hosts dispatch
 * their `flush` event in it, so that the messages that result from all events of
 * a turn are sent in one batch.
 */
export class TurnFlush {
  private readonly _run: () => void;
  private _isScheduled = false;

  /** @param run - Called at the end of the turn. */
  constructor(run: () => void) {
    this._run = run;
  }

  /** Schedules the callback for this turn, unless it is scheduled already. */
  schedule(): void {
    if (this._isScheduled) {
      return;
    }
    this._isScheduled = true;
    setImmediate(() => {
      this._isScheduled = false;
      this._run();
    });
  }
}
