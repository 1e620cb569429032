import type { ServerResponse } from 'node:http';

/** The connection of a caller that waits for a response. */
export interface Caller {
  /** Whether it is known that the caller no longer waits. */
  readonly isGone: boolean;
  /** Calls the listener once when the connection has closed. */
  readonly onGone: (listener: () => void) => void;
}

/**
 * @param res - Response that is not complete.
 * @returns The connection of its caller. A caller that has closed one direction
 *   only counts as gone, because Node.js then closes the other one.
 */
export const callerOf = (res: ServerResponse): Caller => ({
  get isGone() {
    // A response to a pipelined request has no socket of its own yet.
    const { socket } = res.req;
    // The event `close` follows only after the callbacks of the next poll.
    return socket.destroyed || socket.readableEnded;
  },
  onGone: (listener) => {
    res.once('close', listener);
  },
});
