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

/** Options of {@link OwnedRow}. */
export interface OwnedRowOptions {
  /** Key of the row. */
  readonly key: string;
  /** Uniform random numbers from 0 to 1. */
  readonly random: () => number;
}

/**
 * Longest delay before a failed call is repeated, after the first failure and
 * after many; the shortest is half of it.
 */
const FIRST_BACKOFF_MS = 300;
const MAX_BACKOFF_MS = 1000;
/**
 * Interval of the reads that check a row while a creation may be performed late,
 * and shortest interval of the reads that reports of other processes cause.
 */
const CHECK_INTERVAL_MS = 1000;
/**
 * Longest interval of all other checks; the shortest is half of it. They cover
 * changes that no process reports.
 */
const MAX_IDLE_CHECK_INTERVAL_MS = 30_000;
/** Time within which the store performs a call without an answer, if at all. */
const LATE_CALL_LIMIT_MS = 15_000;

/**
 * Keeps one row of the store at the value that its only writer wants.
 *
 * The store may perform a call without an answer seconds later, if its condition
 * still holds. Every write and deletion names the version that it replaces, and
 * a row never has an earlier version again, so only two kinds of such calls can
 * take effect:
 *
 * - One that names the version which the row still has. The row is written again,
 *   even if it already has its value, and gets another version.
 * - A creation, since an absent row always has version 0. While there should be
 *   no row, it is read each second until the creation can no longer be performed.
 *   The same holds at first for a creation by an earlier process.
 *
 * Other processes that read the row report its version to {@link onSeen}, so that
 * any other change is replaced within 2 s while the store answers. Without such
 * reports it is found by a check that is rare, because its calls add up over all
 * processes.
 */
export class OwnedRow {
  private readonly _key: string;
  private readonly _random: () => number;
  /** Value that the row should have; absent until the owner has set one. */
  private _desired: string | null | undefined;
  /** Content last read or written; absent if it is not known. */
  private _stored: StoredState | undefined;
  /** Content that the row is expected to have at the next read. */
  private _expected: string | null | undefined;
  /** Version that the last replacement without an answer names. */
  private _unansweredVersion: number | undefined;
  /** Time until which a creation may be performed late. */
  private _lateCreationUntilMs: number;
  private _inFlight: StoreRequest | undefined;
  /** Consecutive calls that were refused or not answered. */
  private _failures = 0;
  private _retryAtMs = Number.NEGATIVE_INFINITY;
  private _checkAtMs = Number.NEGATIVE_INFINITY;
  private _lastReadAtMs = Number.NEGATIVE_INFINITY;

  /**
   * @param options - Key of the row, and random numbers.
   * @param now - Current time in milliseconds.
   */
  constructor({ key, random }: OwnedRowOptions, now: number) {
    this._key = key;
    this._random = random;
    // An earlier process of the same owner may have left a call without answer.
    this._lateCreationUntilMs = now + LATE_CALL_LIMIT_MS;
  }

  /**
   * Whether the row is known to have the value that it should have, and no write
   * without an answer can replace it.
   */
  get isSettled(): boolean {
    const stored = this._stored;
    return (
      stored !== undefined &&
      stored.value === this._desired &&
      stored.version !== this._unansweredVersion
    );
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
   * Checks the row at the next call if another process has seen a version that
   * the owner does not know. A process that has not yet seen the owner's last
   * write causes no check, unless that write has created the row.
   *
   * @param version - Version of the row there; 0 if the row is absent or can't be
   *   decoded.
   */
  onSeen(version: number): void {
    const stored = this._stored;
    if (!stored) {
      return;
    }
    const isUnknown =
      version === 0 ? stored.version !== 0 : version > stored.version;
    if (isUnknown) {
      this._checkAtMs = Math.min(
        this._checkAtMs,
        this._lastReadAtMs + CHECK_INTERVAL_MS,
      );
    }
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
    if (!this._stored || value === undefined || this.isSettled) {
      this._lastReadAtMs = now;
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
        return this._onRead(reply.rows[0], now);
      case 'committed': {
        const value =
          req?.kind === 'transact' ? (req.writes[0]?.value ?? null) : null;
        this._store(value, value === null ? 0 : reply.version, now);
        return OwnedRowEvent.Written;
      }
      case 'conflict':
        this._stored = undefined;
        return undefined;
      case 'refused':
        this._backOff(now);
        return OwnedRowEvent.Failed;
      case 'rejected':
        this._retryAtMs = now + CHECK_INTERVAL_MS;
        return OwnedRowEvent.Failed;
      case 'object':
      case 'unknown':
        this._backOff(now);
        if (req?.kind === 'transact') {
          this._onUnanswered(req.conditions[0]?.version ?? 0, now);
        }
        return OwnedRowEvent.Failed;
    }
  }

  private _onUnanswered(version: number, now: number): void {
    if (version === 0) {
      this._lateCreationUntilMs = now + LATE_CALL_LIMIT_MS;
    } else {
      this._unansweredVersion = version;
    }
    this._stored = undefined;
    // The attempt may have been performed.
    this._expected = undefined;
  }

  private _onRead(
    row: { readonly value: string; readonly version: number } | undefined,
    now: number,
  ): OwnedRowEvent | undefined {
    const value = row?.value ?? null;
    const isAltered = this._expected !== undefined && this._expected !== value;
    const wasSettled = this.isSettled;
    this._store(value, row?.version ?? 0, now);
    if (isAltered) {
      return OwnedRowEvent.Altered;
    }
    return this.isSettled && !wasSettled ? OwnedRowEvent.Written : undefined;
  }

  private _store(value: string | null, version: number, now: number): void {
    this._failures = 0;
    this._stored = { value, version };
    this._expected = value;
    const mayBeCreated = version === 0 && now < this._lateCreationUntilMs;
    this._checkAtMs =
      now +
      (mayBeCreated
        ? CHECK_INTERVAL_MS
        : this._spread(MAX_IDLE_CHECK_INTERVAL_MS));
  }

  private _backOff(now: number): void {
    const limitMs = Math.min(
      MAX_BACKOFF_MS,
      FIRST_BACKOFF_MS * 2 ** this._failures,
    );
    this._failures += 1;
    this._retryAtMs = now + this._spread(limitMs);
  }

  /**
   * Returns a delay from half of the limit to the limit, so that processes whose
   * calls fail at the same time don't repeat them at the same time.
   */
  private _spread(limitMs: number): number {
    return (limitMs * (1 + this._random())) / 2;
  }
}
