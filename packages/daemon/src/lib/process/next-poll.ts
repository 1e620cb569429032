/**
 * Runs callbacks after the event loop has polled all sockets once more. What had
 * arrived on a connection before the current turn, for example a reset after
 * the request that is being handled, has been read by then.
 *
 * All callbacks of a turn run in one batch.
 */
export class NextPoll {
  private readonly _afterBatch: () => void;
  private _callbacks: (() => void)[] = [];

  /** @param afterBatch - Called after the callbacks of a turn. */
  constructor(afterBatch: () => void) {
    this._afterBatch = afterBatch;
  }

  /** @param callback - Runs after the next poll. */
  schedule(callback: () => void): void {
    this._callbacks.push(callback);
    if (this._callbacks.length > 1) {
      return;
    }
    // The first immediate runs in this turn, after the current poll; only the
    // one that it sets runs after the next.
    setImmediate(() => {
      const callbacks = this._callbacks;
      this._callbacks = [];
      setImmediate(() => {
        for (const run of callbacks) {
          run();
        }
        this._afterBatch();
      });
    });
  }
}
