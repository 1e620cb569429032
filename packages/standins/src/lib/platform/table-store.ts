import { startJsonServer } from './json-server.js';
import type { JsonResponse, JsonRequest, JsonServer } from './json-server.js';

interface StoredRow {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  readonly value: string;
  readonly row_version: number;
}

interface RowKey {
  readonly table: string;
  readonly part?: string;
  readonly key: string;
}

interface Transaction {
  readonly expected_rev: readonly (RowKey & { row_version: number })[];
  readonly writes: readonly (RowKey & { value: string })[];
  readonly remove: readonly RowKey[];
}

interface Change extends StoredRow {
  readonly tombstone?: boolean;
}

/** Maximum wait of a call for changes. */
const MAX_FEED_WAIT_MS = 30_000;

/** Limits of a transaction. */
const MAX_ENTRIES = 100;
const MAX_TRANSACTION_BYTES = 1_000_000;
const MAX_ROW_BYTES = 65_536;
const MAX_NAME_BYTES = 200;
/** Limits of the reply to a read of a range. */
const MAX_PAGE_ROWS = 500;
const MAX_PAGE_BYTES = 1_000_000;

/** Of this many transactions without a reply one is executed late. */
const LATE_INTERVAL = 3;
/** Delays of the transactions that are executed late, in turn. */
const LATE_MS = [5000, 1000, 3000, 6000];

/** Delay of each call in the slow modes. */
const SLOW_CALL_MS = 400;

/** How the fake handles calls. */
export enum TableStoreMode {
  Serving = 'serving',
  /** Replies with status 503 and does not execute calls. */
  Unavailable = 'unavailable',
  /** Neither replies to calls nor executes them. */
  Unresponsive = 'unresponsive',
  /** Executes calls after a delay. */
  Slow = 'slow',
  /** Executes calls at once and replies after a delay. */
  SlowReplies = 'slow-replies',
  /**
   * Executes calls and does not reply to them. Some transactions are executed
   * seconds later.
   */
  LosingReplies = 'losing-answers',
}

/**
 * Fake of the platform's table service, with its HTTP interface: rows with
 * versions, conditional transactions, range reads and a change feed with long
 * polling. It rejects calls over the limits of the service, and can be set to
 * fail.
 */
export class TableStore {
  mode = TableStoreMode.Serving;
  /** Returns the mode in which a call is handled; by default {@link mode}. */
  modeOf: (req: JsonRequest) => TableStoreMode = () => this.mode;
  private readonly _rows = new Map<string, StoredRow>();
  private _changes: Change[] = [];
  private _compactedThrough = 0;
  private _version = 1;
  private _lostTransactions = 0;
  private readonly _lateTimers = new Set<NodeJS.Timeout>();
  private _pendingFeeds = new Set<() => void>();
  private _server: JsonServer | undefined;

  /** Host and port, once the server listens. */
  get address(): string {
    const { host, port } = this._server ?? { host: '', port: 0 };
    return `${host}:${String(port)}`;
  }

  /**
   * Starts the server on a free port.
   *
   * @param host - Address to listen at.
   */
  async start(host: string): Promise<void> {
    this._server = await startJsonServer((req) => this._handle(req), {
      host,
      port: 0,
    });
  }

  /** Closes the server and all connections. */
  async close(): Promise<void> {
    for (const wake of this._pendingFeeds) {
      wake();
    }
    for (const timer of this._lateTimers) {
      clearTimeout(timer);
    }
    await this._server?.close();
  }

  /** Drops the history, so that followers must read their tables again. */
  compact(): void {
    this._changes = [];
    this._compactedThrough = this._version;
  }

  /**
   * Writes a row as an operator does.
   *
   * @param table - Table of the row.
   * @param key - Key of the row.
   * @param value - Content of the row; `undefined` deletes the row.
   */
  put(table: string, key: string, value: object | undefined): void {
    const row = { table, part: '', key };
    const text = Buffer.from(JSON.stringify(value ?? {})).toString('base64');
    this._commit({
      expected_rev: [],
      writes: value ? [{ ...row, value: text }] : [],
      remove: value ? [] : [row],
    });
  }

  /** @returns Decoded rows of a table over all parts. */
  rows(table: string): { key: string; value: string }[] {
    return [...this._rows.values()]
      .filter((row) => row.table === table)
      .map(({ key, value }) => ({ key, value: decodeValue(value) }));
  }

  private async _handle(req: JsonRequest): Promise<JsonResponse | undefined> {
    switch (this.modeOf(req)) {
      case TableStoreMode.Unavailable:
        return { status: 503 };
      case TableStoreMode.Unresponsive:
        return undefined;
      case TableStoreMode.Serving:
        return this._execute(req);
      case TableStoreMode.Slow:
        await slowDown();
        return this._execute(req);
      case TableStoreMode.SlowReplies: {
        const response = await this._execute(req);
        await slowDown();
        return response;
      }
      case TableStoreMode.LosingReplies:
        await this._executeWithoutReply(req);
        return undefined;
    }
  }

  private async _executeWithoutReply(req: JsonRequest): Promise<void> {
    if (req.path === '/rows-tx') {
      this._lostTransactions += 1;
      const turn = this._lostTransactions / LATE_INTERVAL;
      if (Number.isInteger(turn)) {
        const timer = setTimeout(
          () => {
            this._lateTimers.delete(timer);
            void this._execute(req);
          },
          LATE_MS[turn % LATE_MS.length],
        );
        this._lateTimers.add(timer);
        return;
      }
    }
    await this._execute(req);
  }

  private async _execute(req: JsonRequest): Promise<JsonResponse> {
    switch (req.path) {
      case '/rows-tx':
        return this._transact(req.body as Transaction);
      case '/rows-get':
        return this._readRows(req.query);
      case '/rows-feed':
        return this._readFeed(req.query);
      default:
        return { status: 404 };
    }
  }

  private _transact(tx: Transaction): JsonResponse {
    const detail = findExcess(tx);
    if (detail !== undefined) {
      return { status: 400, body: { error: detail } };
    }
    const failed = tx.expected_rev.some(
      (row) =>
        (this._rows.get(rowId(row))?.row_version ?? 0) !== row.row_version,
    );
    if (failed) {
      const rows = tx.expected_rev.flatMap(
        (row) => this._rows.get(rowId(row)) ?? [],
      );
      return { status: 412, body: { rows, row_version: this._version } };
    }
    this._commit(tx);
    return { status: 200, body: { row_version: this._version } };
  }

  private _commit(tx: Transaction): void {
    this._version += 1;
    for (const write of tx.writes) {
      const { table, part = '', key, value } = write;
      const row = { table, part, key, value, row_version: this._version };
      this._rows.set(rowId(write), row);
      this._changes.push(row);
    }
    for (const key of tx.remove) {
      this._rows.delete(rowId(key));
      this._changes.push({
        ...key,
        part: key.part ?? '',
        value: '',
        row_version: this._version,
        tombstone: true,
      });
    }
    const pendingFeeds = this._pendingFeeds;
    this._pendingFeeds = new Set();
    for (const wake of pendingFeeds) {
      wake();
    }
  }

  private _readRows(query: URLSearchParams): JsonResponse {
    const table = query.get('table');
    const part = query.get('part') ?? '';
    const from = query.get('from') ?? '';
    const target = query.get('target');
    const limit = Math.min(
      MAX_PAGE_ROWS,
      Number(query.get('limit') ?? MAX_PAGE_ROWS),
    );
    const found = [...this._rows.values()]
      .filter(
        (row) =>
          row.table === table &&
          row.part === part &&
          row.key >= from &&
          (target === null || row.key < target),
      )
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const rows = firstPage(found.slice(0, limit));
    return {
      status: 200,
      body: {
        rows,
        has_more: found.length > rows.length,
        row_version: this._version,
      },
    };
  }

  private async _readFeed(query: URLSearchParams): Promise<JsonResponse> {
    const table = query.get('table');
    const after = Number(query.get('after'));
    const endsAt =
      Date.now() + Math.min(MAX_FEED_WAIT_MS, Number(query.get('wait_ms')));
    for (;;) {
      if (after < this._compactedThrough) {
        return { status: 410 };
      }
      const rows = this._changes.filter(
        (row) => row.table === table && row.row_version > after,
      );
      const leftMs = endsAt - Date.now();
      if (rows.length > 0 || leftMs <= 0) {
        return { status: 200, body: { rows, row_version: this._version } };
      }
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, leftMs);
        this._pendingFeeds.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
  }
}

/** Returns the limit that a transaction exceeds, if there is one. */
const findExcess = (tx: Transaction): string | undefined => {
  const entries: RowKey[] = [...tx.expected_rev, ...tx.writes, ...tx.remove];
  const names = entries.flatMap(({ table, part = '', key }) => [
    table,
    part,
    key,
  ]);
  const parts = new Set(entries.map(({ part = '' }) => part));
  if (entries.length > MAX_ENTRIES) {
    return `more than ${String(MAX_ENTRIES)} entries`;
  }
  if (Buffer.byteLength(JSON.stringify(tx)) > MAX_TRANSACTION_BYTES) {
    return `more than ${String(MAX_TRANSACTION_BYTES)} bytes`;
  }
  if (tx.writes.some(({ value }) => decodedBytes(value) > MAX_ROW_BYTES)) {
    return `a value of more than ${String(MAX_ROW_BYTES)} bytes`;
  }
  if (names.some((name) => Buffer.byteLength(name) > MAX_NAME_BYTES)) {
    return `a name of more than ${String(MAX_NAME_BYTES)} bytes`;
  }
  return parts.size > 1 ? 'entries of several parts' : undefined;
};

/** Returns the first rows that fit into one reply, at least one. */
const firstPage = (rows: readonly StoredRow[]): StoredRow[] => {
  let bytes = 0;
  return rows.filter((row, index) => {
    bytes += Buffer.byteLength(JSON.stringify(row));
    return index === 0 || bytes <= MAX_PAGE_BYTES;
  });
};

const decodedBytes = (value: string): number =>
  Buffer.byteLength(value, 'base64');

/** @returns Part of the store that a call reads or writes. */
export const partOfCall = ({ query, body }: JsonRequest): string =>
  query.get('part') ?? (body as Transaction | undefined)?.writes[0]?.part ?? '';

/** @returns Contents of the rows that a call writes. */
export const writtenValues = ({ body }: JsonRequest): string[] =>
  (body as Transaction | undefined)?.writes.map(({ value }) =>
    decodeValue(value),
  ) ?? [];

const decodeValue = (value: string): string =>
  Buffer.from(value, 'base64').toString('utf8');

const slowDown = (): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, SLOW_CALL_MS));

const rowId = (row: RowKey): string =>
  [row.table, row.part ?? '', row.key].join('\0');
