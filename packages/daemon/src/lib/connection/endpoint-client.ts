import type { CallOutcome, StartMessage } from '@sapphiremux/core';
import { Pool } from 'undici';
import { isUnsentRequestError } from './unsent-request-error.js';

const MAX_CONNECTIONS = 64;
const CONNECT_TIMEOUT_MS = 1000;

/**
 * HTTP client of a runner for its endpoint. Posts one request per task over a
 * connection pool and reports how each call ended; it never retries.
 */
export class EndpointClient {
  private readonly _aborts = new Map<number, AbortController>();
  private _url = '';
  private _pool: Pool | undefined;

  /**
   * Sends one task to the endpoint, without retries.
   *
   * @param callId - Identifies the call in {@link abort}.
   * @param url - URL of the endpoint.
   * @param start - The task.
   * @param waitMs - Maximum time until the response is complete.
   * @returns How the call ended; never rejects.
   */
  async call(
    callId: number,
    url: string,
    start: StartMessage,
    waitMs: number,
  ): Promise<CallOutcome> {
    const abort = new AbortController();
    const timer = setTimeout(() => {
      abort.abort(new Error('The deadline passed.'));
    }, waitMs);
    this._aborts.set(callId, abort);
    try {
      const res = await this._poolOf(url).request({
        method: 'POST',
        path: '/',
        headers: {
          'content-type': start.contentType,
          'idempotency-key': `${start.job}/${String(start.index)}`,
        },
        body: start.payload,
        signal: abort.signal,
      });
      const body = new Uint8Array(await res.body.arrayBuffer());
      return {
        kind: 'answered',
        status: res.statusCode,
        contentType: String(res.headers['content-type'] ?? ''),
        body,
      };
    } catch (err) {
      return toOutcome(err as Error);
    } finally {
      clearTimeout(timer);
      this._aborts.delete(callId);
    }
  }

  /** @param callId - Call to abort because its task was cancelled. */
  abort(callId: number): void {
    this._aborts.get(callId)?.abort(new Error('The task was cancelled.'));
  }

  private _poolOf(url: string): Pool {
    if (!this._pool || this._url !== url) {
      void this._pool?.close();
      this._url = url;
      this._pool = new Pool(url, {
        connections: MAX_CONNECTIONS,
        connect: { timeout: CONNECT_TIMEOUT_MS },
        // The deadline of each call limits the wait instead.
        headersTimeout: 0,
        bodyTimeout: 0,
      });
    }
    return this._pool;
  }
}

const toOutcome = (err: Error): CallOutcome =>
  isUnsentRequestError(err)
    ? { kind: 'not-sent' }
    : { kind: 'broken', detail: err.message };
