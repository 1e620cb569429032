/**
 * Runs something once at the end of a turn of the loop, so that everything
 * that happens in the turn shares one batch.
 */
export class TurnFlush {
  private readonly _run: () => void;
  private _isPlanned = false;

  /** @param run - What to do at the end of a turn. */
  constructor(run: () => void) {
    this._run = run;
  }

  /** Plans it for this turn, unless it is planned already. */
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
