import { createServer, createSecureServer } from 'node:http2';
import type { Http2SecureServer, Http2Server } from 'node:http2';
import { createClient } from '@connectrpc/connect';
import type { Client, ConnectRouter } from '@connectrpc/connect';
import {
  Http2SessionManager,
  connectNodeAdapter,
  createConnectTransport,
} from '@connectrpc/connect-node';
import {
  EntryPeerService,
  EntryService,
  RunnerService,
  WorkerService,
} from '@sapphiremux/wire';
import type { TlsContext } from './tls.js';

/** A server for the other processes of the system. */
export interface RpcServer {
  /** Ends the server and all of its connections. */
  close(): Promise<void>;
}

/** Options of {@link startRpcServer}. */
export interface RpcServerOptions {
  readonly host: string;
  readonly port: number;
  readonly tls?: TlsContext;
  readonly routes: (router: ConnectRouter) => void;
}

/** A client over a connection of its own. */
export interface RpcClient<S> {
  readonly client: S;
  /** Ends the connection at once. */
  close(): void;
}

/** Options of a client. */
export interface RpcClientOptions {
  /** Host and port. */
  readonly address: string;
  readonly tls?: TlsContext;
}

/**
 * @param options - Address, certificates and services.
 * @returns The server, once it listens.
 */
export const startRpcServer = async (
  options: RpcServerOptions,
): Promise<RpcServer> => {
  const handler = connectNodeAdapter({ routes: options.routes });
  const server: Http2Server | Http2SecureServer = options.tls
    ? createSecureServer(
        { ...options.tls, requestCert: true, rejectUnauthorized: true },
        handler,
      )
    : createServer(handler);
  const sessions = new Set<{ destroy(): void }>();
  server.on('session', (session) => {
    sessions.add(session);
    session.on('close', () => sessions.delete(session));
    session.on('error', () => {
      session.destroy();
    });
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, resolve);
  });
  return {
    close: async () => {
      const closed = new Promise((resolve) => server.close(resolve));
      sessions.forEach((session) => {
        session.destroy();
      });
      await closed;
    },
  };
};

/** @returns A client of a runner, over a new connection. */
export const connectRunner = (
  options: RpcClientOptions,
): RpcClient<Client<typeof RunnerService>> => {
  const { transport, close } = connect(options);
  return { client: createClient(RunnerService, transport), close };
};

/** @returns A client of an entry, over a new connection. */
export const connectEntry = (
  options: RpcClientOptions,
): RpcClient<Client<typeof EntryService>> => {
  const { transport, close } = connect(options);
  return { client: createClient(EntryService, transport), close };
};

/** @returns A client of the process beside a worker. */
export const connectWorker = (
  options: RpcClientOptions,
): RpcClient<Client<typeof WorkerService>> => {
  const { transport, close } = connect(options);
  return { client: createClient(WorkerService, transport), close };
};

/** @returns A client of another entry on the platform. */
export const connectPeer = (
  options: RpcClientOptions,
): RpcClient<Client<typeof EntryPeerService>> => {
  const { transport, close } = connect(options);
  return { client: createClient(EntryPeerService, transport), close };
};

const connect = (options: RpcClientOptions) => {
  const baseUrl = `${options.tls ? 'https' : 'http'}://${options.address}`;
  const nodeOptions = options.tls ?? {};
  // A session of its own for each client: a connection that has gone silent
  // must not be shared with the one that replaces it.
  const sessionManager = new Http2SessionManager(baseUrl, {}, nodeOptions);
  const transport = createConnectTransport({
    httpVersion: '2',
    baseUrl,
    nodeOptions,
    sessionManager,
  });
  return {
    transport,
    close: () => {
      sessionManager.abort();
    },
  };
};
