import { Agent, request } from 'node:http';

const agent = new Agent({ keepAlive: true });

/** Status that stands for a call whose connection failed. */
export const CONNECTION_FAILED = 0;

/**
 * Sends a request with a JSON body, as a desk does to submit a job.
 *
 * @param url - URL of the request.
 * @param host - Value of the `Host` header, which selects the queue.
 * @param body - The body; `undefined` sends none.
 * @param method - HTTP method.
 * @returns Status of the response, or {@link CONNECTION_FAILED}.
 */
export const sendJson = (
  url: string,
  host: string,
  body: unknown,
  method = 'POST',
): Promise<number> =>
  new Promise((resolve) => {
    const req = request(
      url,
      {
        method,
        agent,
        headers: {
          host,
          'content-type': 'application/json',
          'x-sapphiremux-deadline-ms': '10000',
        },
      },
      (res) => {
        res.resume();
        res.on('end', () => {
          resolve(res.statusCode ?? CONNECTION_FAILED);
        });
        res.on('error', () => {
          resolve(CONNECTION_FAILED);
        });
      },
    );
    req.on('error', () => {
      resolve(CONNECTION_FAILED);
    });
    req.end(body === undefined ? undefined : JSON.stringify(body));
  });

/**
 * Reads a JSON resource, as a desk does to read the state of a job.
 *
 * @param url - URL of the request.
 * @param host - Value of the `Host` header, which selects the queue.
 * @returns Status and body; {@link CONNECTION_FAILED} without a body if the
 * connection failed.
 */
export const getJson = (
  url: string,
  host: string,
): Promise<{ readonly status: number; readonly body: unknown }> =>
  new Promise((resolve) => {
    const fail = (): void => {
      resolve({ status: CONNECTION_FAILED, body: undefined });
    };
    const req = request(url, { agent, headers: { host } }, (res) => {
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.on('end', () => {
        const text = Buffer.concat(chunks).toString('utf8');
        resolve({
          status: res.statusCode ?? CONNECTION_FAILED,
          body: text === '' ? undefined : (JSON.parse(text) as unknown),
        });
      });
      res.on('error', fail);
    });
    req.on('error', fail);
    req.end();
  });
