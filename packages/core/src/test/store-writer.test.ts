import { expect } from 'earl';
import { StoreClient } from '../lib/process/store-client.js';
import { DEFAULT_STORE_LIMITS } from '../lib/process/store-limits.js';
import type { StoreLimits } from '../lib/process/store-limits.js';
import { StoreWriter } from '../lib/process/store-writer.js';
import type { WriteOutcome } from '../lib/process/store-writer.js';
import type { StoreReply, StoreRequest } from '../lib/store.js';

const setUp = () => {
  const calls: { opId: number; req: StoreRequest }[] = [];
  const outcomes: WriteOutcome[] = [];
  const store = new StoreClient(
    { emit: (opId, req) => calls.push({ opId, req }) },
    0,
  );
  const writer = new StoreWriter({ store, random: () => 0.5 }, 0);
  const submit = (key: string, abandonAtMs?: number): void => {
    writer.submit({
      conditions: [{ key, version: 0 }],
      writes: [{ key, value: `nonce of ${key}` }],
      readBackKey: key,
      abandonAtMs,
      onDone: (outcome) => outcomes.push(outcome),
    });
    writer.pump(0);
  };
  const reply = (answer: StoreReply, now = 0): void => {
    const call = calls.at(-1);
    store.onReply(call?.opId ?? 0, answer, now);
  };
  const kinds = (): string[] => calls.map((call) => call.req.kind);
  return { writer, calls, outcomes, submit, reply, kinds };
};

it('writes submitted during a transaction share the next one', () => {
  const { calls, submit, reply, outcomes } = setUp();
  submit('a');
  submit('b');
  submit('c');
  expect(calls.length).toEqual(1);
  reply({ kind: 'committed', version: 1 });
  expect(calls[1]?.req).toEqual({
    kind: 'transact',
    conditions: [
      { key: 'b', version: 0 },
      { key: 'c', version: 0 },
    ],
    writes: [
      { key: 'b', value: 'nonce of b' },
      { key: 'c', value: 'nonce of c' },
    ],
  });
  reply({ kind: 'committed', version: 2 });
  expect(outcomes.length).toEqual(3);
});

it('reads rows back after a lost reply, before any retry', () => {
  const { writer, submit, reply, kinds, outcomes } = setUp();
  submit('a');
  reply({ kind: 'unknown' });
  writer.pump(100);
  expect(kinds()).toEqual(['transact', 'read']);
  const row = { key: 'a', value: 'nonce of a', version: 7 };
  reply({ kind: 'rows', rows: [row] }, 100);
  expect(outcomes).toEqual([{ kind: 'committed', version: 7 }]);
  expect(kinds()).toEqual(['transact', 'read']);
});

it('reports a conflict when a read-back finds the row of another writer', () => {
  const { writer, submit, reply, outcomes } = setUp();
  submit('a');
  reply({ kind: 'unknown' });
  writer.pump(100);
  const row = { key: 'a', value: 'nonce of another', version: 7 };
  reply({ kind: 'rows', rows: [row] }, 100);
  expect(outcomes).toEqual([{ kind: 'conflict', keys: ['a'] }]);
});

it('reports no conflict with an attempt that commits after its read-back', () => {
  const { writer, submit, reply, kinds, outcomes } = setUp();
  submit('a');
  reply({ kind: 'unknown' });
  writer.pump(100);
  reply({ kind: 'rows', rows: [] }, 100);
  // The first attempt takes effect after the read-back, so the retry fails.
  reply({ kind: 'conflict', keys: ['a'] }, 200);
  expect(outcomes).toEqual([]);
  expect(kinds().at(-1)).toEqual('read');
  const row = { key: 'a', value: 'nonce of a', version: 7 };
  reply({ kind: 'rows', rows: [row] }, 300);
  expect(outcomes).toEqual([{ kind: 'committed', version: 7 }]);
});

it('never abandons a write whose reply was lost', () => {
  const { writer, submit, reply, outcomes } = setUp();
  submit('a', 500);
  reply({ kind: 'unknown' });
  writer.pump(1000);
  expect(outcomes).toEqual([]);
});

it('abandons a refused write once its time is over', () => {
  const { writer, submit, reply, outcomes } = setUp();
  submit('a', 500);
  reply({ kind: 'refused' });
  writer.pump(1000);
  expect(outcomes).toEqual([{ kind: 'abandoned' }]);
});

it('retries the other writes of a batch after a conflict of one', () => {
  const { submit, reply, outcomes, calls } = setUp();
  submit('first');
  submit('a');
  submit('b');
  reply({ kind: 'committed', version: 1 });
  reply({ kind: 'conflict', keys: ['a'] });
  expect(outcomes.at(-1)).toEqual({ kind: 'conflict', keys: ['a'] });
  expect(calls.at(-1)?.req).toEqual({
    kind: 'transact',
    conditions: [{ key: 'b', version: 0 }],
    writes: [{ key: 'b', value: 'nonce of b' }],
  });
});

// Guards against a progress row that is written again with the same content: its
// earlier version, found in a read-back, would be the condition of all later
// writes, which then conflict once the lost one is performed.
it('a row that still has its old version was not written', () => {
  const { writer, reply, outcomes, kinds } = setUp();
  writer.submit({
    conditions: [{ key: 'a', version: 5 }],
    writes: [{ key: 'a', value: 'same' }],
    readBackKey: 'a',
    onDone: (outcome) => outcomes.push(outcome),
  });
  writer.pump(0);
  reply({ kind: 'unknown' });
  writer.pump(100);
  reply({ kind: 'rows', rows: [{ key: 'a', value: 'same', version: 5 }] }, 100);
  expect(outcomes).toEqual([]);
  expect(kinds().at(-1)).toEqual('transact');
  // The first attempt is performed before the retry.
  reply({ kind: 'conflict', keys: ['a'] }, 200);
  reply({ kind: 'rows', rows: [{ key: 'a', value: 'same', version: 9 }] }, 300);
  expect(outcomes).toEqual([{ kind: 'committed', version: 9 }]);
});

/** A writer with limits, over a store that rejects transactions with one key. */
const setUpLimits = (limits: StoreLimits, rejectedKey = '') => {
  const transactions: string[][] = [];
  const outcomes = new Map<string, WriteOutcome['kind']>();
  const rejections: string[] = [];
  let version = 0;
  const writer = new StoreWriter(
    {
      store: {
        call: (req, onReply) => {
          if (req.kind !== 'transact') {
            onReply({ kind: 'rows', rows: [] }, 0);
            return;
          }
          const keys = req.writes.map(({ key }) => key);
          transactions.push(keys);
          version += 1;
          onReply(
            keys.includes(rejectedKey)
              ? { kind: 'rejected' }
              : { kind: 'committed', version },
            0,
          );
        },
      },
      random: () => 0.5,
      limits,
      onRejected: (key, bytes) => rejections.push(`${key} ${String(bytes)}`),
    },
    0,
  );
  const submit = (key: string, value = 'v'): void => {
    writer.submit({
      conditions: [{ key, version: 0 }],
      writes: [{ key, value }],
      readBackKey: key,
      onDone: ({ kind }) => outcomes.set(key, kind),
    });
  };
  return { writer, submit, transactions, outcomes, rejections };
};

// Guards against one item that stops all later writes to its part of the store.
it('of a rejected transaction only the write at fault fails', () => {
  const keys = Array.from({ length: 10 }, (_, i) => `k${String(i)}`);
  const { writer, submit, outcomes, rejections, transactions } = setUpLimits(
    DEFAULT_STORE_LIMITS,
    'k6',
  );
  keys.forEach((key) => {
    submit(key);
  });
  writer.pump(0);
  const failed = keys.filter((key) => outcomes.get(key) !== 'committed');
  expect(failed).toEqual(['k6']);
  expect(outcomes.get('k6')).toEqual('rejected');
  expect(rejections).toEqual(['k6 1']);
  expect(transactions.length).toBeLessThanOrEqual(10);
  expect(writer.pending).toEqual(0);
});

// Guards against a rejected write of which an earlier attempt was performed.
it('a rejected write with an unknown attempt is read back', () => {
  const { writer, submit, reply, outcomes, kinds } = setUp();
  submit('a');
  reply({ kind: 'unknown' });
  writer.pump(100);
  reply({ kind: 'rows', rows: [] }, 100);
  reply({ kind: 'rejected' }, 200);
  expect(kinds().at(-1)).toEqual('read');
  expect(outcomes).toEqual([]);
  reply({ kind: 'rows', rows: [] }, 300);
  expect(outcomes).toEqual([{ kind: 'rejected', valueBytes: 10 }]);
});

it('a transaction stays within the number of entries', () => {
  const { writer, submit, outcomes, transactions } = setUpLimits({
    ...DEFAULT_STORE_LIMITS,
    entries: 6,
  });
  ['a', 'b', 'c', 'd'].forEach((key) => {
    submit(key);
  });
  writer.pump(0);
  expect(transactions).toEqual([['a', 'b', 'c'], ['d']]);
  expect(outcomes.size).toEqual(4);
});

// Guards against a batch whose rows fit each, and together exceed the limit.
it('a transaction stays within its size as it is sent', () => {
  const { writer, submit, outcomes, transactions } =
    setUpLimits(DEFAULT_STORE_LIMITS);
  const keys = Array.from({ length: 20 }, (_, i) => `k${String(i)}`);
  // In UTF-8 a character of this value has 2 bytes.
  const value = 'ß'.repeat(DEFAULT_STORE_LIMITS.rowBytes / 2);
  keys.forEach((key) => {
    submit(key, value);
  });
  writer.pump(0);
  expect(transactions.map((sent) => sent.length)).toEqual([11, 9]);
  expect([...new Set(outcomes.values())]).toEqual(['committed']);
});

it('a write over the limit of a row is not sent', () => {
  const { writer, submit, outcomes, transactions, rejections } =
    setUpLimits(DEFAULT_STORE_LIMITS);
  submit('a', 'ß'.repeat(DEFAULT_STORE_LIMITS.rowBytes / 2 + 1));
  submit('b');
  writer.pump(0);
  expect(transactions).toEqual([['b']]);
  expect([outcomes.get('a'), outcomes.get('b')]).toEqual([
    'rejected',
    'committed',
  ]);
  expect(rejections).toEqual(['a 65538']);
});
