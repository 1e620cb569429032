import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { MessageSocket } from './message-socket.js';
import type { MessageFormat, MessageHandlers } from './message-socket.js';

/** Options of {@link startMessageServer}. */
export interface MessageServerOptions<Out, In> {
  readonly host: string;
  readonly port: number;
  readonly format: MessageFormat<Out, In>;
  /** @returns Callbacks for a new connection. */
  readonly accept: () => MessageHandlers<Out, In>;
}

/** A server that accepts {@link MessageSocket} connections. */
export interface MessageServer {
  /** Port on which it listens. */
  readonly port: number;
  /** Stops listening and closes all connections immediately. */
  close(): Promise<void>;
}

/**
 * @param options - Address, format and callbacks.
 * @returns The server, once it listens; rejects if it can't.
 */
export const startMessageServer = async <Out, In>(
  options: MessageServerOptions<Out, In>,
): Promise<MessageServer> => {
  const connections = new Set<MessageSocket<Out, In>>();
  const server = createServer({ noDelay: true }, (socket) => {
    const connection = MessageSocket.accept(
      socket,
      options.format,
      options.accept(),
    );
    connections.add(connection);
    socket.on('close', () => connections.delete(connection));
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    close: async () => {
      const closed = new Promise((resolve) => server.close(resolve));
      for (const connection of connections) {
        connection.close();
      }
      await closed;
    },
  };
};
