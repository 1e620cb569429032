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
