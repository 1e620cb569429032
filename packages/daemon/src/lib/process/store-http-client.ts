import type { StoreReply, StoreRequest } from '@sapphiremux/core';
import { Pool } from 'undici';
import { isUnsentRequestError } from '../connection/unsent-request-error.js';
import type { Counter } from 'prom-client';

/** Options of {@link StoreHttpClient}. */
export interface StoreHttpClientOptions {
  readonly url: string;
  readonly timeoutMs: number;
  /** Counts calls by kind and outcome. */
  readonly calls: Counter<'kind' | 'outcome'>;
}

const MAX_CONNECTIONS = 8;
const HTTP_OK = 200;
const HTTP_CONFLICT = 409;
const HTTP_UNAVAILABLE = 503;

/**
 * HTTP client of the table service that the settings of `sapphiremuxd` name.
 * Posts each request as JSON to the path of its kind.
 *
 * A call ends with the reply of the service, as `refused` when it certainly had
 * no effect, or as `unknown`. The client never retries: only the caller knows
 * whether a retry is safe.
 */
export class StoreHttpClient {
  private readonly _pool: Pool;
  private readonly _options: StoreHttpClientOptions;

  /** @param options - URL of the service, call timeout and call counter. */
  constructor(options: StoreHttpClientOptions) {
    this._options = options;
    this._pool = new Pool(options.url, {
      connections: MAX_CONNECTIONS,
      connect: { timeout: options.timeoutMs },
    });
  }

  /**
   * @param req - The request.
   * @returns The outcome; never rejects.
   */
  async call(req: StoreRequest): Promise<StoreReply> {
    const reply = await this._send(req);
    this._options.calls.inc({ kind: req.kind, outcome: reply.kind });
    return reply;
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this._pool.destroy();
  }

  private async _send(req: StoreRequest): Promise<StoreReply> {
    try {
      const res = await this._pool.request({
        method: 'POST',
        path: `/v1/${req.kind}`,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(req),
        signal: AbortSignal.timeout(this._options.timeoutMs),
      });
      const body = (await res.body.json()) as StoreReply;
      switch (res.statusCode) {
        case HTTP_OK:
        case HTTP_CONFLICT:
          return body;
        case HTTP_UNAVAILABLE:
          return { kind: 'refused' };
        default:
          return { kind: 'unknown' };
      }
    } catch (err) {
      return { kind: isUnsentRequestError(err) ? 'refused' : 'unknown' };
    }
  }
}
