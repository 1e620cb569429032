import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';

const LOCAL_HOST = '127.0.0.1';

/**
 * Forwards connections, and can lose track of those that are open: they stay
 * open and carry nothing any more, while new ones work.
 */
export class Relay {
  private readonly _server: Server;
  private readonly _sockets = new Set<Socket>();

  private constructor(target: number) {
    this._server = createServer((socket) => {
      this._forward(socket, connect(target, LOCAL_HOST));
    });
  }

  /**
   * @param port - Port on the local host to listen on.
   * @param target - Port on the local host to forward to.
   * @returns The relay, once it listens.
   */
  static start(port: number, target: number): Promise<Relay> {
    const relay = new Relay(target);
    return new Promise((resolve) => {
      relay._server.listen(port, LOCAL_HOST, () => {
        resolve(relay);
      });
    });
  }

  /** Number of connections that are forwarded. */
  get openCount(): number {
    return this._sockets.size / 2;
  }

  /** Makes every open connection silent for good. */
  silence(): void {
    for (const socket of this._sockets) {
      socket.unpipe();
      socket.pause();
    }
  }

  /** Ends the relay and all of its connections. */
  close(): void {
    this._server.close();
    for (const socket of this._sockets) {
      socket.destroy();
    }
  }

  private _forward(from: Socket, to: Socket): void {
    from.pipe(to);
    to.pipe(from);
    for (const [socket, other] of [
      [from, to],
      [to, from],
    ] as const) {
      this._sockets.add(socket);
      socket.on('error', () => {
        other.destroy();
      });
      socket.on('close', () => {
        this._sockets.delete(socket);
        other.destroy();
      });
    }
  }
}
