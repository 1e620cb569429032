import { expect } from 'earl';
import {
  CONTENT,
  EntryHarness,
  FakeRows,
  withWorker,
} from './entry-harness.js';

/** Time that callers have to notice a planned stop. */
const NOTICE_MS = 2500;
const GRACE_MS = 6000;
/** Maximum time to send the last replies and to close the connections. */
const CLOSE_MS = 300;
const OTHER_ID = '00000000000000b2';

/** Writes into the member row of the entry that another one has fenced it. */
const fence = (harness: EntryHarness): void => {
  const row = { name: 'entry-1', address: 'entry-1:1', dataCentre: 'dc' };
  harness.rows.version += 1;
  harness.rows.rows.set('|member/entry/e1', {
    value: JSON.stringify({ ...row, fencedBy: 'e2' }),
    version: harness.rows.version,
  });
  harness.answerChanges();
};

const count = (harness: EntryHarness, kind: string): number =>
  harness.actionKinds.filter((other) => other === kind).length;

// Guards against a process that serves on after its planned stop, because its
// successor fenced it before it had read the reply to its own last write.
it('an entry that is fenced while it leaves ends its planned stop', () => {
  const harness = withWorker();
  harness.handle({ kind: 'stop' });
  harness.losesStoreReplies = true;
  harness.advance(NOTICE_MS + 100);
  expect(count(harness, 'stopped')).toEqual(0);
  fence(harness);
  expect(count(harness, 'stopped')).toEqual(1);
  expect(count(harness, 'retire')).toEqual(0);
});

// Guards against an entry that turns ready again in the middle of its stop.
it('an incarnation that begins during a planned stop refuses work and ends it', () => {
  const rows = new FakeRows();
  rows.addWorker('w1');
  const stoppingSinceMs = 1000;
  const harness = new EntryHarness(rows, 'e2', 'entry-1', { stoppingSinceMs });
  harness.advance(100);
  expect(harness.entry.isStopping).toEqual(true);
  expect(harness.entry.isReady).toEqual(false);
  harness.submit(1);
  harness.submit(2, { ...CONTENT, isVolatile: false }, OTHER_ID);
  expect(harness.replies.get(1)?.kind).toEqual('refused');
  expect(harness.replies.get(2)?.kind).toEqual('refused');
  expect(harness.links.size).toEqual(0);
  expect(rows.table('member').map(({ key }) => key)).toEqual(['worker/w1']);
  harness.advance(NOTICE_MS);
  expect(count(harness, 'stopped')).toEqual(1);
});

// Guards against a process that is killed at the end of its grace.
it('a planned stop ends in its grace although the store does not answer', () => {
  const harness = withWorker();
  harness.losesStoreReplies = true;
  harness.submit(1, { ...CONTENT, isVolatile: false });
  harness.handle({ kind: 'stop' });
  harness.advance(GRACE_MS - 700);
  expect(count(harness, 'stopped')).toEqual(1);
});

// Guards against a process that is killed at the end of its grace, since its
// machine is slow and each step of the stop waits for a long turn.
it('a planned stop of a slow process ends in its grace', () => {
  for (const turnMs of [300, 600, 1000]) {
    for (let firstMs = 50; firstMs <= turnMs; firstMs += 50) {
      const harness = withWorker();
      const steps = CONTENT.steps.map((step) => ({ ...step, estimateMs: 100 }));
      harness.submit(1, { steps });
      harness.losesStoreReplies = true;
      const beganAtMs = harness.now;
      harness.handle({ kind: 'stop' });
      harness.now += firstMs;
      while (
        count(harness, 'stopped') === 0 &&
        harness.now - beganAtMs < 2 * GRACE_MS
      ) {
        harness.handle({ kind: 'tick' });
        harness.now += turnMs;
      }
      // The connections are closed within 300 ms and one more turn.
      expect(harness.now - beganAtMs + CLOSE_MS <= GRACE_MS).toEqual(true);
      expect(harness.replies.get(1)?.kind).toEqual('in-doubt');
    }
  }
});

// Guards against jobs that are given up early, since a process was frozen once.
it('a process that was frozen once waits for its jobs as usual', () => {
  const harness = withWorker();
  harness.submit(1);
  harness.handle({ kind: 'stop' });
  harness.now += 1900;
  harness.advance(2800);
  expect(count(harness, 'stopped')).toEqual(0);
  expect(harness.replies.has(1)).toEqual(false);
});

// Guards against runs of answered jobs that go on beside their resubmissions.
it('an entry that was never registered stops its runs when its stop ends', () => {
  const rows = new FakeRows();
  rows.addWorker('w1');
  const harness = new EntryHarness(rows);
  harness.losesStoreReplies = true;
  harness.advance(100);
  harness.report('w1');
  const steps = CONTENT.steps.map((step) => ({ ...step, estimateMs: 8000 }));
  harness.submit(1, { steps });
  expect(harness.started.length).toEqual(2);
  harness.handle({ kind: 'stop' });
  for (let i = 0; i < 11; i += 1) {
    harness.advance(500);
    harness.report('w1');
  }
  expect(harness.replies.get(1)?.kind).toEqual('in-doubt');
  expect(harness.stopped.length).toEqual(2);
  expect(count(harness, 'stopped')).toEqual(1);
});

it('a planned stop waits for the store no longer than a lease', () => {
  const harness = withWorker();
  harness.handle({ kind: 'stop' });
  harness.losesStoreReplies = true;
  harness.advance(NOTICE_MS + 1600);
  expect(count(harness, 'stopped')).toEqual(1);
});

// Guards against connections that are closed without an answer.
it('calls that wait for the store when a planned stop ends are answered', () => {
  const harness = withWorker();
  harness.losesStoreReplies = true;
  const deadlineMs = harness.now + 20_000;
  harness.submit(1, { ...CONTENT, isVolatile: false });
  harness.handle({ kind: 'status', replyId: 2, id: OTHER_ID, deadlineMs });
  harness.handle({ kind: 'cancel', replyId: 3, id: OTHER_ID, deadlineMs });
  harness.submit(4, {}, OTHER_ID);
  harness.handle({ kind: 'stop' });
  harness.advance(GRACE_MS - 100);
  expect([1, 2, 3, 4].map((id) => harness.replies.get(id)?.kind)).toEqual([
    'in-doubt',
    'in-doubt',
    'in-doubt',
    'in-doubt',
  ]);
  expect(count(harness, 'stopped')).toEqual(1);
});

it('calls of an entry that is fenced while it leaves are answered', () => {
  const harness = withWorker();
  harness.handle({ kind: 'stop' });
  harness.losesStoreReplies = true;
  harness.advance(NOTICE_MS + 100);
  const deadlineMs = harness.now + 20_000;
  harness.handle({ kind: 'status', replyId: 1, id: OTHER_ID, deadlineMs });
  harness.handle({ kind: 'count', replyId: 2, queue: 'q' });
  fence(harness);
  expect(harness.replies.has(1)).toEqual(true);
  expect(harness.replies.has(2)).toEqual(true);
  expect(harness.actionKinds.at(-1)).toEqual('stopped');
});
