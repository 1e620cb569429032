import { createServer } from 'node:http';
import type { Server } from 'node:http';

/** A request that a fake has received. */
export interface JsonRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: unknown;
}

/** Response of a fake. */
export interface JsonResponse {
  readonly status: number;
  readonly body?: unknown;
}

/** Handles a request; `undefined` leaves the request unanswered. */
export type JsonHandler = (
  req: JsonRequest,
) => Promise<JsonResponse | undefined>;

/** A listening server. */
export interface JsonServer {
  readonly host: string;
  readonly port: number;
  /** Closes the server and all connections. */
  close(): Promise<void>;
}

/**
 * Starts an HTTP server with JSON bodies, on which the fakes are built.
 *
 * @param handler - Handles each request.
 * @param address - Address to listen at; port 0 selects a free port.
 * @returns The listening server.
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
      }).then((response) => {
        if (response) {
          res.writeHead(response.status, {
            'content-type': 'application/json',
          });
          res.end(JSON.stringify(response.body ?? {}));
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
