import { expect } from 'earl';
import { StoreClient } from '../lib/process/store-client.js';
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
