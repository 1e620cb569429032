import { createServer } from 'node:http';
import type { Server } from 'node:http';

/** A call that a stand-in has received. */
export interface JsonCall {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: unknown;
}

/** Answer of a stand-in; nothing means that the call stays unanswered. */
export interface JsonAnswer {
  readonly status: number;
  readonly body?: unknown;
}

/** Serves one call. */
export type JsonHandler = (call: JsonCall) => Promise<JsonAnswer | undefined>;

/** A stand-in that listens. */
export interface JsonServer {
  readonly host: string;
  readonly port: number;
  close(): Promise<void>;
}

/**
 * Starts a small HTTP server with JSON bodies.
 *
 * @param handler - Serves each call.
 * @param address - Where to listen; port 0 takes a free one.
 * @returns The server, once it listens.
 */
export const startJsonServer = async (
  handler: JsonHandler,
  address: { readonly host: string; readonly port: number },
): Promise<JsonServer> => {
  const server = createServer((req, res) => {
    const chunks: Buffer[] = [];
    req.on('data', (chunk: Buffer) => chunks.push(chunk));
    req.on('end', () => {
      const url = new URL(req.url ?? '/', 'http://standin');
      const text = Buffer.concat(chunks).toString('utf8');
      void handler({
        method: req.method ?? 'GET',
        path: url.pathname,
        query: url.searchParams,
        headers: req.headers,
        body: text === '' ? undefined : (JSON.parse(text) as unknown),
      }).then((answer) => {
        if (answer) {
          res.writeHead(answer.status, { 'content-type': 'application/json' });
          res.end(JSON.stringify(answer.body ?? {}));
        }
      });
    });
  });
  await listen(server, address);
  const bound = server.address();
  return {
    host: address.host,
    port: typeof bound === 'object' && bound ? bound.port : address.port,
    close: async () => {
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    },
  };
};

const listen = (
  server: Server,
  address: { readonly host: string; readonly port: number },
): Promise<void> =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, resolve);
  });
