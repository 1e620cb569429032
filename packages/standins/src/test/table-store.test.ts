import { expect } from 'earl';
import { TableStore } from '../lib/platform/table-store.js';

const ROW = { table: 't', part: 'p', key: 'k' };

const encoded = (bytes: number): string =>
  Buffer.alloc(bytes, 'x').toString('base64');

const writes = (count: number, bytes: number, part = 'p'): object[] =>
  Array.from({ length: count }, (_, i) => ({
    ...ROW,
    part,
    key: `k${String(i).padStart(3, '0')}`,
    value: encoded(bytes),
  }));

/** Content of a transaction and the status of the reply. */
const CASES: readonly (readonly [string, object[], number])[] = [
  ['a row at the limit', writes(1, 65_536), 200],
  ['a row over the limit', writes(1, 65_537), 400],
  ['100 entries', writes(100, 1), 200],
  ['101 entries', writes(101, 1), 400],
  ['more than 1 MB in rows that fit each', writes(12, 65_536), 400],
  ['entries of two parts', [...writes(1, 1), ...writes(1, 1, 'q')], 400],
];

const withStore = async (
  use: (store: TableStore, url: string) => Promise<void>,
): Promise<void> => {
  const store = new TableStore();
  await store.start('127.0.0.1');
  try {
    await use(store, `http://${store.address}`);
  } finally {
    await store.close();
  }
};

const transact = (url: string, rows: object[]): Promise<Response> =>
  fetch(`${url}/rows-tx`, {
    method: 'POST',
    body: JSON.stringify({ expected_rev: [], writes: rows, remove: [] }),
  });

// Guards against tests that pass because the stand-in takes what the platform's
// store rejects.
for (const [name, rows, status] of CASES) {
  it(`table store: ${name} is answered with ${String(status)}`, () =>
    withStore(async (_store, url) => {
      expect((await transact(url, rows)).status).toEqual(status);
    }));
}

it('table store: a page has 1 MB at most and says that more follow', () =>
  withStore(async (_store, url) => {
    for (const key of Array.from({ length: 15 }, (_, i) => `r${String(i)}`)) {
      await transact(url, [{ ...ROW, key, value: encoded(65_536) }]);
    }
    const reply = await fetch(`${url}/rows-get?table=t&part=p`);
    const page = (await reply.json()) as { rows: object[]; has_more: boolean };
    expect([page.rows.length, page.has_more]).toEqual([11, true]);
  }));
