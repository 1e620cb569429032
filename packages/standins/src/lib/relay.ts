import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';

const LOCAL_HOST = '127.0.0.1';

/**
 * TCP relay that can stop forwarding on its current connections while they
 * stay open, as a network device does that drops its connection state. New
 * connections are forwarded.
 */
export class Relay {
  private readonly _server: Server;
  private readonly _sockets = new Set<Socket>();

  private constructor(targetPort: number) {
    this._server = createServer((socket) => {
      this._forward(socket, connect(targetPort, LOCAL_HOST));
    });
  }

  /**
   * @param port - Port on the local host to listen on.
   * @param targetPort - Port on the local host to forward to.
   * @returns The listening relay.
   */
  static start(port: number, targetPort: number): Promise<Relay> {
    const relay = new Relay(targetPort);
    return new Promise((resolve) => {
      relay._server.listen(port, LOCAL_HOST, () => {
        resolve(relay);
      });
    });
  }

  /** Number of open connections. */
  get openCount(): number {
    return this._sockets.size / 2;
  }

  /** Permanently stops forwarding on all open connections. */
  stopForwarding(): void {
    for (const socket of this._sockets) {
      socket.unpipe();
      socket.pause();
    }
  }

  /** Stops listening and closes all connections. */
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
