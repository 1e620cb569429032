import { Agent, request } from 'node:http';

const sharedAgent = new Agent({ keepAlive: true });

/** Status that stands for a call whose connection failed. */
export const CONNECTION_FAILED = 0;
const DEADLINE_MS = 10_000;

/** Result of a call. */
export interface DeskReply {
  /** Status of the response, or {@link CONNECTION_FAILED}. */
  readonly status: number;
  /** Decoded body; `undefined` if the response has none. */
  readonly body: unknown;
  /** Error code of the failed connection; empty if there was a response. */
  readonly errorCode: string;
  /** Time at which the whole request was sent; infinite if it was not. */
  readonly sentAtMs: number;
}

/** A call that can be abandoned. */
export interface DeskCall {
  readonly reply: Promise<DeskReply>;
  /** Closes the connection in the usual way. */
  close(): void;
  /** Resets the connection. */
  reset(): void;
}

/** A request with an optional JSON body. */
export interface DeskRequest {
  readonly url: string;
  /** Value of the `Host` header, which selects the queue. */
  readonly host: string;
  readonly method?: string;
  readonly body?: unknown;
  readonly deadlineMs?: number;
  /** Pool of the connections to use; by default shared by all calls. */
  readonly agent?: Agent;
}

/**
 * Sends a request as a desk does, on a connection that is kept open.
 *
 * @param req - The request.
 * @returns The call; its reply never rejects.
 */
export const openCall = (req: DeskRequest): DeskCall => {
  const { url, host, method = 'GET', body, deadlineMs = DEADLINE_MS } = req;
  const { agent = sharedAgent } = req;
  const headers = {
    host,
    ...(body === undefined ? {} : { 'content-type': 'application/json' }),
    'x-sapphiremux-deadline-ms': String(deadlineMs),
  };
  const call = request(url, { method, agent, headers });
  let sentAtMs = Number.POSITIVE_INFINITY;
  call.on('finish', () => {
    sentAtMs = Date.now();
  });
  const reply = new Promise<DeskReply>((resolve) => {
    const fail = (err: NodeJS.ErrnoException): void => {
      const errorCode = err.code ?? err.message;
      const status = CONNECTION_FAILED;
      resolve({ status, body: undefined, errorCode, sentAtMs });
    };
    call.on('error', fail);
    call.on('response', (res) => {
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.on('end', () => {
        const text = Buffer.concat(chunks).toString('utf8');
        resolve({
          status: res.statusCode ?? CONNECTION_FAILED,
          body: text === '' ? undefined : (JSON.parse(text) as unknown),
          errorCode: '',
          sentAtMs,
        });
      });
      res.on('error', fail);
    });
  });
  call.end(body === undefined ? undefined : JSON.stringify(body));
  return {
    reply,
    close: () => call.destroy(),
    reset: () => {
      call.socket?.resetAndDestroy();
      call.destroy();
    },
  };
};

/**
 * Sends a request with a JSON body, as a desk does to submit a job.
 *
 * @param url - URL of the request.
 * @param host - Value of the `Host` header, which selects the queue.
 * @param body - The body; `undefined` sends none.
 * @param method - HTTP method.
 * @returns Status of the response, or {@link CONNECTION_FAILED}.
 */
export const sendJson = async (
  url: string,
  host: string,
  body: unknown,
  method = 'POST',
): Promise<number> => {
  const { status } = await openCall({ url, host, method, body }).reply;
  return status;
};

/**
 * Reads a JSON resource, as a desk does to read the state of a job.
 *
 * @param url - URL of the request.
 * @param host - Value of the `Host` header, which selects the queue.
 * @returns Status and body; {@link CONNECTION_FAILED} without a body if the
 * connection failed.
 */
export const getJson = (url: string, host: string): Promise<DeskReply> =>
  openCall({ url, host }).reply;
