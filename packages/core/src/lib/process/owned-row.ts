import type { StoreReply, StoreRequest } from '../store.js';

/** What a reply has shown about an {@link OwnedRow}. */
export enum OwnedRowEvent {
  /** The row has just got the value that it should have. */
  Written = 'written',
  /** The row does not have the content that its owner last wrote or read. */
  Altered = 'altered',
  /** The call failed or was refused; it is repeated after a delay. */
  Failed = 'failed',
}

interface StoredState {
  /** Value of the row; `null` while there is no row. */
  readonly value: string | null;
  /** Version of the row; 0 while there is no row. */
  readonly version: number;
}

/** Delay before a failed call is repeated. */
const BACKOFF_MS = 300;
/**
 * Interval of the reads that check the row. A call without an answer may be
 * performed seconds later. A late creation of a row names no version, so it still
 * takes effect after a later deletion, and only a read shows it.
 */
const CHECK_INTERVAL_MS = 1000;

/**
 * Keeps one row of the store at the value that its only writer wants.
 *
 * Every write and deletion is conditional on the version that it replaces, so an
 * earlier attempt that the store performs late has no effect once a later one has
 * been performed. After a call without an answer the row is read again, and it is
 * checked regularly, so that any other content is replaced within 2 s while the
 * store answers.
 */
export class OwnedRow {
  private readonly _key: string;
  /** Value that the row should have; absent until the owner has set one. */
  private _desired: string | null | undefined;
  /** Content last read or written; absent if it is not known. */
  private _stored: StoredState | undefined;
  /** Content that the row is expected to have at the next read. */
  private _expected: string | null | undefined;
  private _inFlight: StoreRequest | undefined;
  private _retryAtMs = Number.NEGATIVE_INFINITY;
  private _checkAtMs = Number.NEGATIVE_INFINITY;

  /** @param key - Key of the row. */
  constructor(key: string) {
    this._key = key;
  }

  /** Whether the row is known to have the value that it should have. */
  get isSettled(): boolean {
    return this._stored !== undefined && this._stored.value === this._desired;
  }

  /**
   * Value last read or written, `null` if there was no row; absent before the
   * first read and after a call whose outcome is not known.
   */
  get storedValue(): string | null | undefined {
    return this._stored?.value;
  }

  /** Time from which {@link next} returns a call; infinite while one is open. */
  get nextDueAtMs(): number {
    if (this._inFlight) {
      return Number.POSITIVE_INFINITY;
    }
    const isIdle =
      this._stored !== undefined &&
      (this._desired === undefined || this.isSettled);
    return isIdle
      ? Math.max(this._retryAtMs, this._checkAtMs)
      : this._retryAtMs;
  }

  /** @param value - Value that the row should have; `null` deletes the row. */
  set(value: string | null): void {
    this._desired = value;
  }

  /**
   * Returns the next call to the store, and marks it as sent.
   *
   * @param now - Current time in milliseconds.
   * @returns The call; `undefined` while one is open or none is due.
   */
  next(now: number): StoreRequest | undefined {
    if (now < this.nextDueAtMs) {
      return undefined;
    }
    this._inFlight = this._nextRequest(now);
    return this._inFlight;
  }

  private _nextRequest(now: number): StoreRequest {
    const key = this._key;
    const value = this._desired;
    if (
      this._stored === undefined ||
      value === undefined ||
      value === this._stored.value
    ) {
      this._checkAtMs = now + CHECK_INTERVAL_MS;
      return { kind: 'read', keys: [key] };
    }
    const { version } = this._stored;
    return {
      kind: 'transact',
      conditions: [{ key, version }],
      writes: [{ key, value }],
    };
  }

  /**
   * Processes the reply to the call that {@link next} returned.
   *
   * @param reply - Reply or failure of the call.
   * @param now - Current time in milliseconds.
   * @returns What the reply has shown, if it is worth a log line.
   */
  onReply(reply: StoreReply, now: number): OwnedRowEvent | undefined {
    const req = this._inFlight;
    this._inFlight = undefined;
    switch (reply.kind) {
      case 'rows':
        return this._onRead(reply.rows[0]);
      case 'committed': {
        const value =
          req?.kind === 'transact' ? (req.writes[0]?.value ?? null) : null;
        const version = value === null ? 0 : reply.version;
        this._stored = { value, version };
        this._expected = value;
        this._checkAtMs = now + CHECK_INTERVAL_MS;
        return OwnedRowEvent.Written;
      }
      case 'conflict':
        this._stored = undefined;
        return undefined;
      case 'refused':
        this._retryAtMs = now + BACKOFF_MS;
        return OwnedRowEvent.Failed;
      case 'rejected':
        this._retryAtMs = now + CHECK_INTERVAL_MS;
        return OwnedRowEvent.Failed;
      case 'object':
      case 'unknown':
        this._retryAtMs = now + BACKOFF_MS;
        if (req?.kind === 'transact') {
          this._stored = undefined;
          // The attempt may have been performed.
          this._expected = undefined;
        }
        return OwnedRowEvent.Failed;
    }
  }

  private _onRead(
    row: { readonly value: string; readonly version: number } | undefined,
  ): OwnedRowEvent | undefined {
    const value = row?.value ?? null;
    const isAltered = this._expected !== undefined && this._expected !== value;
    const wasSettled = this.isSettled;
    this._stored = { value, version: row?.version ?? 0 };
    this._expected = value;
    if (isAltered) {
      return OwnedRowEvent.Altered;
    }
    const isSettled = value === this._desired;
    return isSettled && !wasSettled ? OwnedRowEvent.Written : undefined;
  }
}
