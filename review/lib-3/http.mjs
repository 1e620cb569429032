import { Buffer } from 'node:buffer';
import { Agent, createServer, request } from 'node:http';
import { URL } from 'node:url';

/** An answer that leaves the request without one. */
export const SILENCE = { kind: 'silence' };

const readBody = async (req) => {
  const chunks = [];
  for await (const chunk of req) {
    chunks.push(chunk);
  }
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
};

/**
 * Starts an HTTP server with JSON bodies.
 *
 * @param host - Loopback address.
 * @param port - Port; 0 selects a free one.
 * @param handle - Maps a request to `{ status, body }` or {@link SILENCE}.
 * @returns The server, once it listens.
 */
export const serveJson = (host, port, handle) =>
  new Promise((resolve, reject) => {
    const server = createServer((req, res) => {
      const url = new URL(req.url, 'http://stand-in');
      readBody(req)
        .then((body) =>
          handle({
            method: req.method,
            path: url.pathname,
            query: url.searchParams,
            headers: req.headers,
            body,
          }),
        )
        .then((answer) => {
          if (answer === SILENCE) {
            return;
          }
          const text = JSON.stringify(answer.body ?? {});
          res.writeHead(answer.status, {
            'content-type': 'application/json',
            'content-length': Buffer.byteLength(text),
          });
          res.end(text);
        })
        .catch(() => res.destroy());
    });
    server.keepAliveTimeout = 60_000;
    server.once('error', reject);
    server.listen(port, host, () => {
      resolve(server);
    });
  });

/** Closes a server and resets its open connections. */
export const closeServer = (server) =>
  new Promise((resolve) => {
    server.close(resolve);
    server.closeAllConnections();
  });

/**
 * Sends one request with a JSON body.
 *
 * @returns `{ status, body }`; status 0 stands for no answer.
 */
export const callJson = ({
  host,
  port,
  method,
  path,
  headers = {},
  body,
  timeoutMs,
  agent,
}) =>
  new Promise((resolve) => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const req = request({
      host,
      port,
      method,
      path,
      agent: agent ?? new Agent(),
      timeout: timeoutMs,
      headers: {
        ...headers,
        ...(text === undefined
          ? {}
          : {
              'content-type': 'application/json',
              'content-length': Buffer.byteLength(text),
            }),
      },
    });
    req.on('timeout', () => req.destroy(new Error('timed out')));
    req.on('error', (err) => {
      resolve({ status: 0, body: undefined, detail: err.message });
    });
    req.on('response', (res) => {
      readBody(res).then(
        (answer) => {
          resolve({ status: res.statusCode, body: answer, detail: '' });
        },
        (err) => {
          resolve({ status: 0, body: undefined, detail: err.message });
        },
      );
    });
    req.end(text);
  });
