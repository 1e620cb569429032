import type { Caller } from '../connection/caller.js';
import { NextPoll } from './next-poll.js';

/** Options of {@link HeldCalls.hold}. */
export interface HoldOptions<R> {
  /** Connection of the caller. */
  readonly caller: Caller;
  /** Passes the call on; called unless the caller has disconnected. */
  readonly pass: () => R | Promise<R>;
  /** Called in place of `pass` when the caller has disconnected. */
  readonly onDropped: () => void;
}

/**
 * Holds calls until the sockets have been polled once more, and passes on those
 * whose callers are still connected. A busy process may read a call long after it
 * was sent, and the caller may have turned to another entry meanwhile.
 *
 * Every held call of a connected caller is passed on, also if a planned stop ends
 * or the incarnation is replaced in between: `pass` runs at the time at which it
 * has to decide who answers.
 */
export class HeldCalls {
  private readonly _nextPoll: NextPoll;
  private _count = 0;

  /** @param afterBatch - Called after the calls of a turn were passed on. */
  constructor(afterBatch: () => void) {
    this._nextPoll = new NextPoll(afterBatch);
  }

  /** Number of calls that are being held. */
  get count(): number {
    return this._count;
  }

  /**
   * @param options - The caller and what to do with the call.
   * @returns The reply; never settles when the caller disconnects first.
   */
  hold<R>({ caller, pass, onDropped }: HoldOptions<R>): Promise<R> {
    this._count += 1;
    return new Promise((resolve) => {
      this._nextPoll.schedule(() => {
        this._count -= 1;
        if (caller.isGone) {
          onDropped();
        } else {
          resolve(pass());
        }
      });
    });
  }
}
