import type { ChangedRow, FollowReply, FollowRequest } from '../store.js';

/** Options of {@link TableFollower}. */
export interface TableFollowerOptions {
  readonly table: string;
  /** Long-poll timeout of a call; bounds how stale the copy may become. */
  readonly waitMs: number;
  readonly onChange: (row: ChangedRow, now: number) => void;
}

const FIRST_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 400;

/**
 * Follows a table of the store: reads all rows, then polls for changes.
 *
 * When the store has discarded the history of changes, the table is read again
 * and rows that have disappeared are reported as deleted.
 */
export class TableFollower {
  private readonly _options: TableFollowerOptions;
  private readonly _versions = new Map<string, number>();
  private _version: number | undefined;
  private _confirmedAtMs = Number.NEGATIVE_INFINITY;
  private _sentAtMs = 0;
  private _isInFlight = false;
  private _retryAtMs = 0;
  private _failures = 0;

  /** @param options - Table, timeout and callback for changes. */
  constructor(options: TableFollowerOptions) {
    this._options = options;
  }

  /**
   * Time at which the last answered call was sent. Every row that was written
   * before this time has been reported.
   */
  get confirmedAtMs(): number {
    return this._confirmedAtMs;
  }

  /** Version up to which the table has been read; 0 while it is not loaded. */
  get version(): number {
    return this._version ?? 0;
  }

  /** Whether the table has been read, and its history not been lost since. */
  get isLoaded(): boolean {
    return this._version !== undefined;
  }

  /** Number of consecutive failed calls. */
  get failures(): number {
    return this._failures;
  }

  /**
   * @param slackMs - Time that a reply may take beyond the long-poll timeout.
   * @param now - Current time in milliseconds.
   * @returns Whether the last call has failed or its reply is overdue.
   */
  isOverdue(slackMs: number, now: number): boolean {
    const { waitMs } = this._options;
    return this._failures > 0 || now - this._sentAtMs > waitMs + slackMs;
  }

  /**
   * Invalidates all confirmations, including that of the call in flight, e.g.
   * after a pause of unknown length.
   */
  invalidate(): void {
    this._confirmedAtMs = Number.NEGATIVE_INFINITY;
    this._sentAtMs = Number.NEGATIVE_INFINITY;
  }

  /**
   * Returns the next call to send, and marks it as sent.
   *
   * @param now - Current time in milliseconds.
   * @returns The call; `undefined` while one is in flight or in backoff.
   */
  next(now: number): FollowRequest | undefined {
    if (this._isInFlight || now < this._retryAtMs) {
      return undefined;
    }
    this._isInFlight = true;
    this._sentAtMs = now;
    const { table, waitMs } = this._options;
    return this._version === undefined
      ? { kind: 'table', table }
      : { kind: 'changes', table, afterVersion: this._version, waitMs };
  }

  /**
   * Processes the reply to the call in flight.
   *
   * @param reply - Reply or failure of the call.
   * @param now - Current time in milliseconds.
   */
  onReply(reply: FollowReply, now: number): void {
    this._isInFlight = false;
    switch (reply.kind) {
      case 'table':
        this._applyTable(reply.rows, now);
        this._confirm(reply.version);
        return;
      case 'changes':
        for (const row of reply.rows) {
          this._applyChange(row, now);
        }
        this._confirm(reply.version);
        return;
      case 'history-lost':
        this._version = undefined;
        return;
      case 'failed': {
        const pauseMs = FIRST_BACKOFF_MS * 2 ** this._failures;
        this._failures += 1;
        this._retryAtMs = now + Math.min(MAX_BACKOFF_MS, pauseMs);
      }
    }
  }

  private _confirm(version: number): void {
    this._version = Math.max(this._version ?? 0, version);
    this._confirmedAtMs = Math.max(this._confirmedAtMs, this._sentAtMs);
    this._failures = 0;
  }

  private _applyTable(
    rows: readonly { key: string; value: string; version: number }[],
    now: number,
  ): void {
    const present = new Set(rows.map((row) => row.key));
    for (const key of [...this._versions.keys()]) {
      if (!present.has(key)) {
        this._applyChange({ key, value: null, version: 0 }, now);
      }
    }
    for (const row of rows) {
      this._applyChange(row, now);
    }
  }

  private _applyChange(row: ChangedRow, now: number): void {
    const known = this._versions.get(row.key);
    if (row.value === null) {
      this._versions.delete(row.key);
    } else if (known !== undefined && row.version <= known) {
      return;
    } else {
      this._versions.set(row.key, row.version);
    }
    this._options.onChange(row, now);
  }
}
