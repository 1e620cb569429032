import {
  DEFAULT_STORE_LIMITS,
  countEntries,
  largestValueBytes,
  transactionBytes,
  valueBytes,
} from '@sapphiremux/core';
import type {
  ChangedRow,
  FollowReply,
  FollowRequest,
  Row,
  StoreReply,
  StoreRequest,
} from '@sapphiremux/core';
import {
  FaultyStore,
  READ_LATENCY_MS,
  StoreMode,
} from '../sim/faulty-store.js';

/** A change of a row, with its table. */
interface Change extends ChangedRow {
  readonly table: string;
}

/** A change-feed call that waits for changes. */
interface Follower {
  readonly req: Extract<FollowRequest, { kind: 'changes' }>;
  readonly onReply: (reply: FollowReply) => void;
  isOpen: boolean;
}

/** Limits of the reply to a read of a range. */
const MAX_PAGE_ROWS = 500;
const MAX_PAGE_BYTES = 1_000_000;
/** Timeout of a change-feed call that the store does not answer. */
const FOLLOW_TIMEOUT_MS = 1500;

/**
 * The platform's table service in virtual time: rows in parts, transactions
 * within a part, a change feed with long polling, and compaction of its history.
 * It rejects transactions over the limits of the platform.
 */
export class SimTable extends FaultyStore {
  /** Rows by part and key, separated by `|`. */
  private readonly _rows = new Map<
    string,
    { value: string; version: number }
  >();
  private _changes: Change[] = [];
  private _compactedThrough = 0;
  private _version = 1;
  private _followers: Follower[] = [];

  /**
   * Executes a read or a transaction.
   *
   * @param part - Part of the store; a transaction is limited to one part.
   * @param req - The call.
   * @param isDisconnected - Whether the caller can't reach the store.
   * @param onReply - Receives the result.
   */
  call(
    part: string,
    req: StoreRequest,
    isDisconnected: boolean,
    onReply: (reply: StoreReply) => void,
  ): void {
    this.serve({
      req,
      isDisconnected,
      apply: () => this._apply(part, req),
      onReply,
    });
  }

  /**
   * Reads a table or waits for its changes. Of the modes only `Refusing` and
   * `Unresponsive` have an effect; the change feed is never slow.
   *
   * @param req - The call.
   * @param isDisconnected - Whether the caller can't reach the store.
   * @param onReply - Receives the rows, or why there are none.
   */
  follow(
    req: FollowRequest,
    isDisconnected: boolean,
    onReply: (reply: FollowReply) => void,
  ): void {
    const { queue } = this;
    const mode = this.effectiveMode(isDisconnected);
    if (mode === StoreMode.Refusing || mode === StoreMode.Unresponsive) {
      const afterMs = mode === StoreMode.Unresponsive ? FOLLOW_TIMEOUT_MS : 1;
      queue.after(afterMs, () => {
        onReply({ kind: 'failed' });
      });
      return;
    }
    if (req.kind === 'table') {
      queue.after(READ_LATENCY_MS, () => {
        const rows = this.rows(req.table);
        onReply({ kind: 'table', rows, version: this._version });
      });
      return;
    }
    if (req.afterVersion < this._compactedThrough) {
      queue.after(READ_LATENCY_MS, () => {
        onReply({ kind: 'history-lost' });
      });
      return;
    }
    const follower: Follower = { req, onReply, isOpen: true };
    this._followers.push(follower);
    this._replyIfChanged(follower);
    queue.after(req.waitMs, () => {
      this._replyToFollower(follower);
    });
  }

  /** Drops the history, so that followers must read their tables again. */
  compact(): void {
    this._changes = [];
    this._compactedThrough = this._version;
  }

  /**
   * Writes a row as an operator, regardless of injected faults.
   *
   * @param key - Key of the row, prefixed with its table.
   * @param value - Content of the row; `null` deletes the row.
   */
  put(key: string, value: string | null): void {
    this._apply('', {
      kind: 'transact',
      conditions: [],
      writes: [{ key, value }],
    });
  }

  /** @returns Rows of a table over all parts, with keys relative to the table. */
  rows(table: string): Row[] {
    return [...this._rows]
      .map(([id, row]) => ({ key: id.slice(id.indexOf('|') + 1), ...row }))
      .filter(({ key }) => key.startsWith(`${table}/`))
      .map((row) => ({ ...row, key: row.key.slice(table.length + 1) }));
  }

  private _apply(part: string, req: StoreRequest): StoreReply {
    switch (req.kind) {
      case 'transact':
        return this._transact(part, req);
      case 'read':
        return {
          kind: 'rows',
          rows: req.keys.flatMap((key) => {
            const row = this._rows.get(`${part}|${key}`);
            return row ? [{ key, ...row }] : [];
          }),
        };
      case 'scan':
        return { kind: 'rows', rows: this._scan(part, req) };
      case 'put-object':
      case 'get-object':
        throw new Error('the table service does not store objects');
    }
  }

  private _transact(
    part: string,
    req: Extract<StoreRequest, { kind: 'transact' }>,
  ): StoreReply {
    if (isOverLimit(req)) {
      return { kind: 'rejected' };
    }
    const rowId = (key: string): string => `${part}|${key}`;
    const keys = req.conditions
      .filter(({ key, version }) => {
        return (this._rows.get(rowId(key))?.version ?? 0) !== version;
      })
      .map(({ key }) => key);
    if (keys.length > 0) {
      return { kind: 'conflict', keys };
    }
    this._version += 1;
    const version = this._version;
    for (const { key, value } of req.writes) {
      if (value === null) {
        this._rows.delete(rowId(key));
      } else {
        this._rows.set(rowId(key), { value, version });
      }
      const slash = key.indexOf('/');
      const table = key.slice(0, slash);
      this._changes.push({ table, key: key.slice(slash + 1), value, version });
    }
    for (const follower of [...this._followers]) {
      this._replyIfChanged(follower);
    }
    return { kind: 'committed', version };
  }

  private _scan(
    part: string,
    { prefix, after, limit }: Extract<StoreRequest, { kind: 'scan' }>,
  ): Row[] {
    const partPrefix = `${part}|`;
    return [...this._rows]
      .filter(([id]) => id.startsWith(partPrefix + prefix))
      .map(([id, row]) => ({ key: id.slice(partPrefix.length), ...row }))
      .filter(({ key }) => key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1))
      .slice(0, Math.min(limit, MAX_PAGE_ROWS))
      .filter(isWithinPage());
  }

  private _replyIfChanged(follower: Follower): void {
    const { table, afterVersion } = follower.req;
    const isDue = this._changes.some(
      (change) => change.table === table && change.version > afterVersion,
    );
    if (isDue) {
      this._replyToFollower(follower);
    }
  }

  private _replyToFollower(follower: Follower): void {
    if (!follower.isOpen) {
      return;
    }
    follower.isOpen = false;
    this._followers = this._followers.filter((other) => other !== follower);
    const { table, afterVersion } = follower.req;
    const rows = this._changes
      .filter((c) => c.table === table && c.version > afterVersion)
      .map(({ key, value, version }) => ({ key, value, version }));
    const version = this._version;
    this.queue.after(READ_LATENCY_MS, () => {
      follower.onReply({ kind: 'changes', rows, version });
    });
  }
}

const isOverLimit = (
  req: Extract<StoreRequest, { kind: 'transact' }>,
): boolean =>
  countEntries(req) > DEFAULT_STORE_LIMITS.entries ||
  transactionBytes(req) > DEFAULT_STORE_LIMITS.transactionBytes ||
  largestValueBytes(req) > DEFAULT_STORE_LIMITS.rowBytes;

/** Returns a filter for successive rows that ends a page at its size. */
const isWithinPage = (): ((row: Row) => boolean) => {
  let bytes = 0;
  return ({ key, value }) => {
    bytes += valueBytes(key) + valueBytes(value);
    return bytes <= MAX_PAGE_BYTES;
  };
};
