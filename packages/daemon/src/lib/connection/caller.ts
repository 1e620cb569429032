import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** The connection of a caller that waits for a response. */
export interface Caller {
  /** Whether it is known that the caller no longer waits. */
  readonly isGone: boolean;
  /**
   * Calls the listener once: when the end of the connection has been read, or
   * when the response is complete.
   */
  readonly onGone: (listener: () => void) => void;
}

/** Listeners of the requests that wait on each connection. */
const waiting = new WeakMap<Socket, Set<() => void>>();

/**
 * @param res - Response that is not complete.
 * @returns The connection of its caller. A caller that has closed one direction
 *   only counts as gone, because Node.js then closes the other one.
 */
export const callerOf = (res: ServerResponse): Caller => ({
  get isGone() {
    // A response to a pipelined request has no socket of its own yet.
    const { socket } = res.req;
    return socket.destroyed || socket.readableEnded;
  },
  onGone: (listener) => {
    const listeners = listenersOf(res.req.socket);
    const callOnce = (): void => {
      if (listeners.delete(callOnce)) {
        listener();
      }
    };
    listeners.add(callOnce);
    res.once('close', callOnce);
  },
});

/** Returns the listeners of a connection, which are called at its end. */
const listenersOf = (socket: Socket): Set<() => void> => {
  const known = waiting.get(socket);
  if (known) {
    return known;
  }
  const listeners = new Set<() => void>();
  const callAll = (): void => {
    for (const listener of [...listeners]) {
      listener();
    }
  };
  // The event `close` follows only after the immediates of the turn.
  socket.once('error', callAll);
  socket.once('end', callAll);
  waiting.set(socket, listeners);
  return listeners;
};
