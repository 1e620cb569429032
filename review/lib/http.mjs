import { Agent, createServer, request } from 'node:http';
import { URL } from 'node:url';
import { Buffer } from 'node:buffer';

const agent = new Agent({ keepAlive: true, maxSockets: 512 });

const readText = async (stream) => {
  const chunks = [];
  for await (const chunk of stream) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
};

/**
 * Starts an HTTP server with JSON bodies. The handler gets the request and
 * returns the response, `'reset'` to reset the connection or `undefined` to
 * leave the request without an answer.
 */
export const serveJson = (handler, { host, port = 0 }) =>
  new Promise((resolve, reject) => {
    const server = createServer((req, res) => {
      void (async () => {
        const text = await readText(req);
        const url = new URL(req.url ?? '/', 'http://standin');
        const reply = await handler({
          method: req.method ?? 'GET',
          path: url.pathname,
          query: url.searchParams,
          headers: req.headers,
          body: text === '' ? undefined : JSON.parse(text),
        });
        if (reply === 'reset') {
          req.socket.resetAndDestroy();
        } else if (reply && !res.destroyed) {
          res.writeHead(reply.status, { 'content-type': 'application/json' });
          res.end(JSON.stringify(reply.body ?? {}));
        }
      })().catch(() => undefined);
    });
    server.keepAliveTimeout = 60_000;
    server.once('error', reject);
    server.listen(port, host, () => {
      resolve({
        host,
        port: server.address().port,
        /** Closes the port and all connections, as the end of a process does. */
        close: () =>
          new Promise((done) => {
            server.close(() => {
              done();
            });
            server.closeAllConnections();
          }),
      });
    });
  });

/** @returns The decoded body; a text that is no JSON counts as empty. */
const decode = (text) => {
  try {
    return JSON.parse(text);
  } catch {
    return {};
  }
};

/**
 * Sends a request and resolves to its status and body. The status is 0 if the
 * connection failed or no answer came in time.
 */
export const callJson = ({
  url,
  method = 'GET',
  headers = {},
  body,
  timeoutMs = 5000,
}) =>
  new Promise((resolve) => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const req = request(url, {
      method,
      agent,
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
    const fail = (detail) => {
      resolve({ status: 0, body: {}, detail });
      req.destroy();
    };
    req.setTimeout(timeoutMs, () => {
      fail('no answer');
    });
    req.on('error', (err) => {
      fail(err.code ?? err.message);
    });
    req.on('response', (res) => {
      readText(res).then(
        (answer) => {
          resolve({
            status: res.statusCode ?? 0,
            body: decode(answer),
            detail: '',
          });
        },
        (err) => {
          fail(err.message);
        },
      );
    });
    req.end(text);
  });
