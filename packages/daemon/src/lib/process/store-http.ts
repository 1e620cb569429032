import type { StoreReply, StoreRequest } from '@sapphiremux/core';
import { Pool } from 'undici';
import { isNotSent } from '../connection/not-sent.js';
import type { Counter } from 'prom-client';

/** Options of {@link StoreHttp}. */
export interface StoreHttpOptions {
  readonly url: string;
  readonly timeoutMs: number;
  /** Counts calls by kind and what became of them. */
  readonly calls: Counter<'kind' | 'outcome'>;
}

const MAX_CONNECTIONS = 8;
const HTTP_OK = 200;
const HTTP_CONFLICT = 409;
const HTTP_UNAVAILABLE = 503;

/**
 * The platform's table service over HTTP.
 *
 * A call ends with an answer, with the proof that it had no effect, or as
 * unknown. It is never repeated here: whether that is safe is decided by the
 * caller.
 */
export class StoreHttp {
  private readonly _pool: Pool;
  private readonly _options: StoreHttpOptions;

  /** @param options - Where the service is, and the time limit of a call. */
  constructor(options: StoreHttpOptions) {
    this._options = options;
    this._pool = new Pool(options.url, {
      connections: MAX_CONNECTIONS,
      connect: { timeout: options.timeoutMs },
    });
  }

  /**
   * @param req - The call.
   * @returns What became of it; never rejects.
   */
  async call(req: StoreRequest): Promise<StoreReply> {
    const reply = await this._send(req);
    this._options.calls.inc({ kind: req.kind, outcome: reply.kind });
    return reply;
  }

  /** Ends all connections. */
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
      return { kind: isNotSent(err) ? 'refused' : 'unknown' };
    }
  }
}
