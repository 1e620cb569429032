/**
 * A timeout that expires only after the input that was pending at that time has
 * been processed.
 *
 * The event loop runs timers before it reads from sockets. A process that was
 * not scheduled for a while would otherwise take a peer for unresponsive whose
 * messages have arrived and are just not read yet.
 */
export class IoTimeout {
  private _timer: NodeJS.Timeout | undefined;
  private _immediate: NodeJS.Immediate | undefined;

  /**
   * @param run - Called when the timeout expires.
   * @param ms - Delay in milliseconds.
   */
  constructor(run: () => void, ms: number) {
    this._timer = setTimeout(() => {
      this._immediate = setImmediate(run);
    }, ms);
  }

  /** Cancels the timeout. */
  clear(): void {
    clearTimeout(this._timer);
    clearImmediate(this._immediate);
  }
}
