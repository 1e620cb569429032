/**
 * Runs a callback at most once per turn of the event loop, so that all events
 * of a turn share one batch.
 */
export class TurnFlush {
  private readonly _run: () => void;
  private _isPlanned = false;

  /** @param run - Called at the end of the turn. */
  constructor(run: () => void) {
    this._run = run;
  }

  /** Schedules the callback for this turn, unless it is scheduled already. */
  plan(): void {
    if (this._isPlanned) {
      return;
    }
    this._isPlanned = true;
    setImmediate(() => {
      this._isPlanned = false;
      this._run();
    });
  }
}
