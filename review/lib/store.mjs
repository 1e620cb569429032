import { Buffer } from 'node:buffer';
import { setTimeout as delay } from 'node:timers/promises';
import { clearTimeout, setTimeout } from 'node:timers';
import { serveJson } from './http.mjs';
import { nowMs } from './record.mjs';

const TX_MS = 5;
const ROW_BYTES = 65_536;
const MAX_ENTRIES = 100;
const MAX_TX_BYTES = 1_000_000;
const MAX_ROWS = 500;
const MAX_ROWS_BYTES = 1_000_000;
const MAX_WAIT_MS = 30_000;

const keyOf = ({ table, part = '', key }) => [table, part, key].join('\0');
const byKey = (a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key));

/**
 * Stand-in of the platform's metadata store, with the limits of the pages:
 * conditional transactions that a part handles one after another, reads of
 * ranges and the feed of changes.
 */
export class Store {
  /**
   * Decides how a call fails: `undefined` (it does not), `busy`, `silent`,
   * `reset`, or `{ lateMs }` for a transaction that is performed after that
   * time and not answered.
   */
  fault = () => undefined;
  #rows = new Map();
  #changes = [];
  #version = 1;
  #waiting = new Set();
  #parts = new Map();
  #servers = [];
  #record;

  constructor(record) {
    this.#record = record;
  }

  /** Opens an address for one machine. */
  async open(host, machine) {
    const server = await serveJson((req) => this.#handle(machine, req), {
      host,
    });
    this.#servers.push(server);
    return `${server.host}:${server.port}`;
  }

  async close() {
    for (const wake of this.#waiting) {
      wake();
    }
    await Promise.all(this.#servers.map((server) => server.close()));
  }

  /** Writes a row as the operator does; `undefined` removes it. */
  put(table, key, value) {
    const row = { table, part: '', key };
    this.#commit({
      writes:
        value === undefined
          ? []
          : [
              {
                ...row,
                value: Buffer.from(JSON.stringify(value)).toString('base64'),
              },
            ],
      remove: value === undefined ? [row] : [],
    });
  }

  /** Rows of a table over all parts, with decoded values. */
  rows(table) {
    return [...this.#rows.values()]
      .filter((row) => row.table === table)
      .map((row) => ({
        ...row,
        value: Buffer.from(row.value, 'base64').toString('utf8'),
      }));
  }

  async #handle(machine, req) {
    const fault = this.fault({ machine, ...req });
    if (fault === 'silent') {
      return undefined;
    }
    if (fault === 'busy') {
      return { status: 503 };
    }
    if (fault === 'reset') {
      return 'reset';
    }
    switch (req.path) {
      case '/rows-tx':
        if (fault !== undefined) {
          void this.#performLate(req.body, fault.lateMs);
          return undefined;
        }
        return this.#transact(req.body);
      case '/rows-get':
        await delay(1);
        return this.#readRows(req.query);
      case '/rows-feed':
        return this.#readFeed(req.query);
      default:
        return { status: 404 };
    }
  }

  async #performLate(tx, lateMs) {
    await delay(lateMs);
    const { status } = this.#execute(tx);
    this.#record.write('store-late', { status, ...describe(tx) });
  }

  /** Transactions of a part take their turn. */
  async #transact(tx) {
    const entries = entriesOf(tx);
    const part = entries[0]?.part ?? '';
    const before = this.#parts.get(part) ?? Promise.resolve();
    const turn = before.then(() => delay(TX_MS));
    this.#parts.set(part, turn);
    await turn;
    return this.#execute(tx);
  }

  #execute(tx) {
    const { expected_rev: expected = [], writes = [] } = tx;
    const entries = entriesOf(tx);
    const isTooLarge =
      entries.length > MAX_ENTRIES ||
      JSON.stringify(tx).length > MAX_TX_BYTES ||
      writes.some(
        ({ value }) => Buffer.from(value, 'base64').length > ROW_BYTES,
      );
    if (isTooLarge || new Set(entries.map((e) => e.part ?? '')).size > 1) {
      this.#record.write('store-rejects', { status: 400, ...describe(tx) });
      return { status: 400, body: { error: 'over a limit of the store' } };
    }
    const isCurrent = expected.every(
      (row) =>
        (this.#rows.get(keyOf(row))?.row_version ?? 0) === row.row_version,
    );
    if (!isCurrent) {
      const rows = expected.flatMap((row) => this.#rows.get(keyOf(row)) ?? []);
      return this.#reply(412, { rows });
    }
    this.#commit(tx);
    return this.#reply(200, {});
  }

  #reply(status, body) {
    return {
      status,
      body: {
        row_version: this.#version,
        now_ms: Math.floor(nowMs()),
        ...body,
      },
    };
  }

  #commit({ writes = [], remove = [] }) {
    this.#version += 1;
    for (const { table, part = '', key, value } of writes) {
      const row = { table, part, key, value, row_version: this.#version };
      this.#rows.set(keyOf(row), row);
      this.#changes.push(row);
    }
    for (const { table, part = '', key } of remove) {
      const row = { table, part, key };
      if (this.#rows.delete(keyOf(row))) {
        this.#changes.push({
          ...row,
          value: '',
          row_version: this.#version,
          tombstone: true,
        });
      }
    }
    const waiting = this.#waiting;
    this.#waiting = new Set();
    for (const wake of waiting) {
      wake();
    }
  }

  #readRows(query) {
    const table = query.get('table');
    const part = query.get('part') ?? '';
    const from = Buffer.from(query.get('from') ?? '');
    const target = query.get('target');
    const limit = Math.min(Number(query.get('limit') ?? MAX_ROWS), MAX_ROWS);
    const found = [...this.#rows.values()]
      .filter(
        (row) =>
          row.table === table &&
          row.part === part &&
          Buffer.compare(Buffer.from(row.key), from) >= 0 &&
          (target === null ||
            Buffer.compare(Buffer.from(row.key), Buffer.from(target)) < 0),
      )
      .sort(byKey);
    const rows = [];
    let bytes = 0;
    for (const row of found.slice(0, limit)) {
      bytes += JSON.stringify(row).length;
      if (bytes > MAX_ROWS_BYTES && rows.length > 0) {
        break;
      }
      rows.push(row);
    }
    return this.#reply(200, { rows, has_more: found.length > rows.length });
  }

  async #readFeed(query) {
    const table = query.get('table');
    const after = Number(query.get('after'));
    const waitMs = Math.min(MAX_WAIT_MS, Number(query.get('wait_ms') ?? 0));
    const endsAtMs = nowMs() + waitMs;
    for (;;) {
      const rows = this.#changes.filter(
        (row) => row.table === table && row.row_version > after,
      );
      const leftMs = endsAtMs - nowMs();
      if (rows.length > 0 || leftMs <= 0) {
        return this.#reply(200, { rows });
      }
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, leftMs);
        this.#waiting.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
  }
}

const entriesOf = ({
  expected_rev: expected = [],
  writes = [],
  remove = [],
}) => [...expected, ...writes, ...remove];

const describe = ({ writes = [], remove = [] }) => ({
  writes: writes
    .map(
      ({ table, key, value }) =>
        `${table}/${key}:${Buffer.from(value, 'base64').length}`,
    )
    .join(','),
  removes: remove.map(({ table, key }) => `${table}/${key}`).join(','),
});
