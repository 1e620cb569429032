import { expect } from 'earl';
import { SubmitRefusal } from '../lib/process/batch-events.js';
import type { BatchReply } from '../lib/process/batch-events.js';
import { EntryHarness, FakeRows, ID } from './entry-harness.js';
import { LateRows } from './late-rows.js';

// A caller that has had no answer to its submission may cancel the job at another
// entry, while the insert of the job may still be performed.

const DEADLINE_MS = 1000;
const RETENTION_MS = 120_000;

const call = (
  entry: EntryHarness,
  kind: 'status' | 'cancel',
  replyId: number,
): BatchReply | undefined => {
  const deadlineMs = entry.now + DEADLINE_MS;
  entry.handle({ kind, replyId, id: ID, deadlineMs });
  return entry.replies.get(replyId);
};

/** An entry with a worker, and another one over the same rows. */
const twoEntries = <T extends FakeRows>(rows: T) => {
  rows.addWorker('w1');
  const first = new EntryHarness(rows);
  first.advance(100);
  first.report('w1');
  const second = new EntryHarness(rows, 'e2', 'entry-2');
  second.advance(100);
  return { rows, first, second };
};

/** The first entry submits a job whose insert the store has yet to perform. */
const withOpenInsert = () => {
  const entries = twoEntries(new LateRows());
  entries.rows.latePrefix = 'job/';
  entries.first.submit(1, { isVolatile: false });
  entries.rows.latePrefix = undefined;
  return entries;
};

// Guards against a job that starts after its cancel was answered with "no such job".
it('a job that was cancelled before its insert is performed never starts', () => {
  const { rows, first, second } = withOpenInsert();
  expect(call(second, 'cancel', 1)).toEqual({ kind: 'unknown-job' });
  rows.performLate();
  first.advance(3000);
  first.report('w1');
  expect(first.started).toEqual([]);
  expect(call(second, 'status', 2)).toEqual({ kind: 'unknown-job' });
});

it('a job that was cancelled before its insert is repeated never starts', () => {
  const { first, second } = withOpenInsert();
  call(second, 'cancel', 1);
  first.advance(3000);
  first.report('w1');
  expect(first.started).toEqual([]);
  expect(first.replies.get(1)?.kind).toEqual('refused');
});

it('a cancel goes to the owner if the insert has been performed', () => {
  const { rows, first, second } = withOpenInsert();
  rows.performLate();
  first.advance(100);
  expect(call(second, 'cancel', 1)).toEqual(undefined);
  expect(second.actionKinds.includes('forward-cancel')).toEqual(true);
});

it('a cancel is not answered while nothing shows that the job never runs', () => {
  const { rows, second } = withOpenInsert();
  rows.latePrefix = 'job/';
  expect(call(second, 'cancel', 1)).toEqual(undefined);
  second.advance(DEADLINE_MS);
  expect(second.replies.get(1)?.kind).toEqual('unavailable');
});

it('a job that was cancelled before it was submitted is refused', () => {
  const { first, second } = twoEntries(new FakeRows());
  call(second, 'cancel', 1);
  expect(call(second, 'cancel', 2)).toEqual({ kind: 'unknown-job' });
  first.submit(1, { isVolatile: false });
  expect(first.replies.get(1)).toEqual({
    kind: 'refused',
    reason: SubmitRefusal.Withdrawn,
    retryAfterMs: RETENTION_MS,
  });
});

it('a submission of a job that another entry has accepted is accepted', () => {
  const { first, second } = twoEntries(new FakeRows());
  first.submit(1, { isVolatile: false });
  second.submit(1, { isVolatile: false });
  expect(second.replies.get(1)).toEqual({ kind: 'accepted' });
});

it('the row of a withdrawn job is deleted after the retention period', () => {
  const { rows, second } = twoEntries(new FakeRows());
  call(second, 'cancel', 1);
  const countRows = (): number =>
    [...rows.rows.keys()].filter((key) => key.includes('|job/')).length;
  expect(countRows()).toEqual(1);
  second.now += RETENTION_MS;
  second.advance(200);
  expect(countRows()).toEqual(0);
});
