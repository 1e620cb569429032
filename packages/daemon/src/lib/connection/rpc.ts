import { createServer, createSecureServer } from 'node:http2';
import type {
  ClientHttp2Stream,
  Http2SecureServer,
  Http2Server,
  Http2Session,
} from 'node:http2';
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
} from '@sapphiremux/wire';
import type { TlsContext } from './tls.js';

/** An RPC server for the other processes of the system. */
export interface RpcServer {
  /** Stops the server and closes all of its connections. */
  close(): Promise<void>;
}

/** Options of {@link startRpcServer}. */
export interface RpcServerOptions {
  readonly host: string;
  readonly port: number;
  readonly tls?: TlsContext;
  readonly routes: (router: ConnectRouter) => void;
}

/** An RPC client that has its own connection. */
export interface RpcClient<S> {
  readonly client: S;
  /** Closes the connection immediately, without waiting for open calls. */
  close(): void;
}

/** Options of an RPC client. */
export interface RpcClientOptions {
  /** Host and port. */
  readonly address: string;
  readonly tls?: TlsContext;
}

/**
 * Starts an HTTP/2 server for RPC services. With certificates, clients must
 * present one that the same authority has signed.
 *
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

/** @returns A client of another entry on the platform, over a new connection. */
export const connectPeer = (
  options: RpcClientOptions,
): RpcClient<Client<typeof EntryPeerService>> => {
  const { transport, close } = connect(options);
  return { client: createClient(EntryPeerService, transport), close };
};

/**
 * Keeps an error listener on each session. The base class removes its own when a
 * session is aborted; one that is being destroyed because of a GOAWAY still
 * emits an error afterwards, which would end the process.
 */
class GuardedSessionManager extends Http2SessionManager {
  private readonly _guarded = new WeakSet<Http2Session>();

  override async request(
    ...args: Parameters<Http2SessionManager['request']>
  ): Promise<ClientHttp2Stream> {
    const stream = await super.request(...args);
    const { session } = stream;
    if (session && !this._guarded.has(session)) {
      this._guarded.add(session);
      session.on('error', () => {
        session.destroy();
      });
    }
    return stream;
  }
}

const connect = (options: RpcClientOptions) => {
  const baseUrl = `${options.tls ? 'https' : 'http'}://${options.address}`;
  const nodeOptions = options.tls ?? {};
  // Each client has its own session: the replacement of an unresponsive
  // connection must not reuse that connection.
  const sessionManager = new GuardedSessionManager(baseUrl, {}, nodeOptions);
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
