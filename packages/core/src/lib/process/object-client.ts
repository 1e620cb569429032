import type { StoreCaller } from './store-client.js';

/** Options of {@link ObjectClient}. */
export interface ObjectClientOptions {
  readonly store: StoreCaller;
  /** Uniform random numbers from 0 to 1. */
  readonly random: () => number;
}

/** Called with `true` once the object is stored, or `false` on a time-out. */
export type PutHandler = (isStored: boolean, now: number) => void;

/** Called with the object, or `undefined` if it can't be read now. */
export type GetHandler = (body: string | undefined, now: number) => void;

interface PendingPut {
  readonly key: string;
  readonly body: string;
  readonly untilMs: number;
  readonly onDone: PutHandler;
  attempts: number;
  retryAtMs: number;
  isBusy: boolean;
}

const FIRST_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 2000;

/**
 * Stores contents that are too large for a row as objects, and reads them.
 *
 * The content under a key never changes, so a put without a confirmation is
 * safe to retry: it can only store the same content again.
 */
export class ObjectClient {
  private readonly _store: StoreCaller;
  private readonly _random: () => number;
  private readonly _puts = new Set<PendingPut>();

  /** @param options - Store and random numbers. */
  constructor(options: ObjectClientOptions) {
    this._store = options.store;
    this._random = options.random;
  }

  /** Number of objects that are not stored yet. */
  get pending(): number {
    return this._puts.size;
  }

  /**
   * Stores an object and retries with backoff until it is stored.
   *
   * @param key - A key that no other content has.
   * @param body - The content.
   * @param untilMs - When to stop retrying.
   * @param onDone - Called with `true` once the object is stored; `false` means
   * that no attempt was confirmed, but one may have taken effect.
   */
  put(key: string, body: string, untilMs: number, onDone: PutHandler): void {
    const put: PendingPut = {
      key,
      body,
      untilMs,
      onDone,
      attempts: 0,
      retryAtMs: 0,
      isBusy: false,
    };
    this._puts.add(put);
    this._attempt(put);
  }

  /**
   * Reads an object once, without retries.
   *
   * @param key - Key of the object.
   * @param onDone - Called with the object, or `undefined` if it can't be read.
   */
  get(key: string, onDone: GetHandler): void {
    this._store.call({ kind: 'get-object', key }, (reply, now) => {
      onDone(reply.kind === 'object' ? reply.body : undefined, now);
    });
  }

  /**
   * Retries puts that are due and fails those that have timed out.
   *
   * @param now - Current time in milliseconds.
   */
  tick(now: number): void {
    for (const put of [...this._puts]) {
      if (put.isBusy) {
        continue;
      }
      if (put.untilMs <= now) {
        this._puts.delete(put);
        put.onDone(false, now);
      } else if (put.retryAtMs <= now) {
        this._attempt(put);
      }
    }
  }

  private _attempt(put: PendingPut): void {
    const { key, body } = put;
    put.isBusy = true;
    this._store.call({ kind: 'put-object', key, body }, (reply, now) => {
      put.isBusy = false;
      if (reply.kind === 'committed') {
        this._puts.delete(put);
        put.onDone(true, now);
        return;
      }
      const limitMs = FIRST_BACKOFF_MS * 2 ** put.attempts;
      put.attempts += 1;
      put.retryAtMs = now + Math.min(MAX_BACKOFF_MS, limitMs) * this._random();
    });
  }
}
