import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';
import { SILENCE, closeServer, serveJson } from './http.mjs';

/** Duration of a transaction and of any other call, in milliseconds. */
const TX_MS = 5;
const READ_MS = 4;
const MAX_ENTRIES = 100;
const MAX_ROWS = 500;
const MAX_ROW_BYTES = 65_536;
const MAX_PAGE_BYTES = 1_000_000;
const MAX_FEED_WAIT_MS = 30_000;

/** How the store treats the calls of one process. */
export const Access = {
  Served: 'served',
  /** Neither answered nor performed. */
  Silent: 'silent',
  /** Answered with 503 and not performed. */
  Busy: 'busy',
  /** Performed and not answered. */
  AnswersLost: 'answers-lost',
};

const rowId = ({ table, part = '', key }) => `${table}\0${part}\0${key}`;

/**
 * Stand-in of the platform's table store. Each process has an address of its own
 * for it, so that the store can treat single processes differently.
 */
export class Store {
  /** Treatment by name of the process; the default is to serve it. */
  access = new Map();
  _rows = new Map();
  _changes = [];
  _version = 1;
  _waiting = new Set();
  _servers = [];
  _tails = new Map();

  /** Listens for the calls of one process; returns the port. */
  async listen(host, name) {
    const server = await serveJson(host, 0, (req) => this._answer(name, req));
    this._servers.push(server);
    return server.address().port;
  }

  async close() {
    this._wake();
    await Promise.all(this._servers.map(closeServer));
  }

  /** Writes a row as the operator does; `undefined` removes it. */
  put(table, key, value) {
    const row = { table, part: '', key };
    const text = Buffer.from(JSON.stringify(value ?? {})).toString('base64');
    this._commit({
      writes: value === undefined ? [] : [{ ...row, value: text }],
      remove: value === undefined ? [row] : [],
    });
  }

  async _answer(name, req) {
    const mode = this.access.get(name) ?? Access.Served;
    if (mode === Access.Silent) {
      return SILENCE;
    }
    if (mode === Access.Busy) {
      return { status: 503 };
    }
    const answer = await this._perform(name, req);
    const isLost =
      mode === Access.AnswersLost ||
      this.access.get(name) === Access.Silent ||
      this.access.get(name) === Access.AnswersLost;
    return isLost ? SILENCE : answer;
  }

  async _perform(name, { path, query, body }) {
    switch (path) {
      case '/rows-tx':
        return this._transact(body);
      case '/rows-get':
        await delay(READ_MS);
        return this._read(query);
      case '/rows-feed':
        return this._feed(name, query);
      default:
        return { status: 404 };
    }
  }

  /** Transactions of one part are performed one after another. */
  async _transact(tx) {
    const { expected_rev = [], writes = [], remove = [] } = tx;
    const entries = [...expected_rev, ...writes, ...remove];
    const parts = new Set(entries.map(({ part = '' }) => part));
    const isTooLarge = writes.some(
      ({ value }) => Buffer.byteLength(value, 'base64') > MAX_ROW_BYTES,
    );
    if (entries.length > MAX_ENTRIES || parts.size > 1 || isTooLarge) {
      return { status: 400 };
    }
    const [part = ''] = parts;
    const earlier = this._tails.get(part) ?? Promise.resolve();
    const turn = earlier.then(() => delay(TX_MS));
    this._tails.set(part, turn);
    await turn;
    const current = expected_rev.flatMap((row) => {
      const found = this._rows.get(rowId(row));
      return found ? [found] : [];
    });
    const hasFailed = expected_rev.some(
      (row) =>
        (this._rows.get(rowId(row))?.row_version ?? 0) !== row.row_version,
    );
    if (hasFailed) {
      return { status: 412, body: this._stamp({ rows: current }) };
    }
    this._commit({ writes, remove });
    return { status: 200, body: this._stamp({}) };
  }

  _stamp(body) {
    return {
      ...body,
      row_version: this._version,
      now_ms: Math.round(performance.now()),
    };
  }

  _commit({ writes, remove }) {
    this._version += 1;
    const row_version = this._version;
    for (const { table, part = '', key, value } of writes) {
      const row = { table, part, key, value, row_version };
      this._rows.set(rowId(row), row);
      this._changes.push(row);
    }
    for (const { table, part = '', key } of remove) {
      this._rows.delete(rowId({ table, part, key }));
      this._changes.push({ table, part, key, row_version, tombstone: true });
    }
    this._wake();
  }

  _wake() {
    const waiting = this._waiting;
    this._waiting = new Set();
    for (const wake of waiting) {
      wake();
    }
  }

  _read(query) {
    const table = query.get('table');
    const part = query.get('part') ?? '';
    const from = query.get('from') ?? '';
    const target = query.get('target');
    const limit = Math.min(MAX_ROWS, Number(query.get('limit') ?? MAX_ROWS));
    const found = [...this._rows.values()]
      .filter(
        (row) =>
          row.table === table &&
          row.part === part &&
          row.key >= from &&
          (target === null || row.key < target),
      )
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const rows = [];
    let bytes = 0;
    for (const row of found.slice(0, limit)) {
      bytes += row.value.length + row.key.length;
      if (rows.length > 0 && bytes > MAX_PAGE_BYTES) {
        break;
      }
      rows.push(row);
    }
    const has_more = rows.length < found.length;
    return { status: 200, body: this._stamp({ rows, has_more }) };
  }

  async _feed(name, query) {
    const table = query.get('table');
    const after = Number(query.get('after'));
    const waitMs = Math.min(MAX_FEED_WAIT_MS, Number(query.get('wait_ms')));
    const endsAt = performance.now() + waitMs;
    await delay(READ_MS);
    for (;;) {
      const rows = this._changes.filter(
        (row) => row.table === table && row.row_version > after,
      );
      const leftMs = endsAt - performance.now();
      if (rows.length > 0 || leftMs <= 0) {
        return { status: 200, body: this._stamp({ rows }) };
      }
      await new Promise((resolve) => {
        const wait = delay(leftMs, undefined, { ref: false });
        this._waiting.add(resolve);
        void wait.then(resolve);
      });
    }
  }
}
