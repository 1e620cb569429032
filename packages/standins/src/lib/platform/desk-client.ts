import { Agent, request } from 'node:http';

const agent = new Agent({ keepAlive: true });

/** Status of a call whose connection broke. */
export const BROKEN = 0;

/**
 * Sends a job as a desk does.
 *
 * @param url - Address and path.
 * @param host - Name of the host that selects the queue.
 * @param body - The body.
 * @param method - Method of the call.
 * @returns Status of the answer, or {@link BROKEN}.
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
          resolve(res.statusCode ?? BROKEN);
        });
        res.on('error', () => {
          resolve(BROKEN);
        });
      },
    );
    req.on('error', () => {
      resolve(BROKEN);
    });
    req.end(body === undefined ? undefined : JSON.stringify(body));
  });

/**
 * Reads a JSON body as a desk does.
 *
 * @param url - Address and path.
 * @param host - Name of the host that selects the queue.
 * @returns Status and body; {@link BROKEN} without a body when it broke.
 */
export const getJson = (
  url: string,
  host: string,
): Promise<{ readonly status: number; readonly body: unknown }> =>
  new Promise((resolve) => {
    const fail = (): void => {
      resolve({ status: BROKEN, body: undefined });
    };
    const req = request(url, { agent, headers: { host } }, (res) => {
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.on('end', () => {
        const text = Buffer.concat(chunks).toString('utf8');
        resolve({
          status: res.statusCode ?? BROKEN,
          body: text === '' ? undefined : (JSON.parse(text) as unknown),
        });
      });
      res.on('error', fail);
    });
    req.on('error', fail);
    req.end();
  });
