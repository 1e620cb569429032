import { expect } from 'earl';
import { SubmitRefusal } from '../lib/process/batch-events.js';
import type { BatchAction } from '../lib/process/batch-events.js';
import { DEFAULT_RUN_LIMITS } from '../lib/process/run-limits.js';
import { CAPACITY, ID, withWorker, reportOf } from './entry-harness.js';
import type { EntryHarness } from './entry-harness.js';

// The disconnection of a caller that comes between a poll of the sockets and the
// placement of its job is not known to the entry.

const OLD_POLL_MS = 101;
const OTHER_ID = '00000000000000a2';
const NO_ROOM = { ...CAPACITY, cpuMilli: 0 };

/** An entry whose only worker has no room for the job that waits. */
const withWaitingJob = (): EntryHarness => {
  const harness = withWorker();
  harness.report('w1', { free: NO_ROOM });
  harness.submit(1);
  expect(harness.entry.waitingJobs).toEqual(1);
  return harness;
};

/** Handles a report of free room, without the flush that follows. */
const freeRoom = ({ entry, links, now }: EntryHarness): void => {
  const linkId = links.get('w1') ?? 0;
  const report = reportOf({ clockMs: now });
  entry.handle({ kind: 'report', linkId, report }, now);
};

const flush = (harness: EntryHarness, pollAgeMs: number): BatchAction[] =>
  harness.entry.handle({ kind: 'flush', pollAgeMs }, harness.now);

const kindsOf = (actions: readonly BatchAction[]): string[] =>
  actions.map(({ kind }) => kind).filter((kind) => kind !== 'log');

const startCount = (actions: readonly BatchAction[]): number =>
  actions.flatMap((action) =>
    action.kind === 'order' ? action.order.starts : [],
  ).length;

it('nothing is placed before the sockets have been polled again if the last poll is old', () => {
  const harness = withWaitingJob();
  freeRoom(harness);
  const first = flush(harness, OLD_POLL_MS);
  expect(kindsOf(first).includes('poll-again')).toEqual(true);
  expect(startCount(first)).toEqual(0);
  harness.entry.handle({ kind: 'caller-gone', replyId: 1 }, harness.now);
  expect(startCount(flush(harness, 0))).toEqual(0);
});

// Guards against an entry whose turns all take long, which would start nothing.
it('the sockets are polled again once for each placement', () => {
  const harness = withWaitingJob();
  freeRoom(harness);
  expect(startCount(flush(harness, OLD_POLL_MS))).toEqual(0);
  const second = flush(harness, OLD_POLL_MS);
  expect(kindsOf(second).includes('poll-again')).toEqual(false);
  expect(startCount(second)).toEqual(1);
});

it('the sockets are not polled again if the last poll is recent or no job waits', () => {
  const harness = withWaitingJob();
  freeRoom(harness);
  const actions = flush(harness, OLD_POLL_MS - 1);
  expect(startCount(actions)).toEqual(1);
  expect(harness.entry.waitingJobs).toEqual(0);
  expect(kindsOf(flush(harness, OLD_POLL_MS))).toEqual([]);
});

// Guards against a stop that waits for another poll and goes on for longer.
it('stops are sent before the sockets are polled again', () => {
  const harness = withWorker();
  harness.submit(1);
  harness.report('w1', { free: NO_ROOM });
  harness.submit(2, {}, OTHER_ID);
  harness.entry.handle({ kind: 'caller-gone', replyId: 1 }, harness.now);
  const actions = flush(harness, OLD_POLL_MS);
  expect(kindsOf(actions).includes('poll-again')).toEqual(true);
  const stopped = actions.flatMap((action) =>
    action.kind === 'order' ? action.order.stops.map(({ task }) => task) : [],
  );
  expect(stopped).toEqual([`${ID}.0.0.0`, `${ID}.0.0.1`]);
});

it('a job that waits for another poll is placed after it if a planned stop has begun', () => {
  const harness = withWaitingJob();
  freeRoom(harness);
  flush(harness, OLD_POLL_MS);
  harness.entry.handle({ kind: 'stop' }, harness.now);
  expect(startCount(flush(harness, 0))).toEqual(1);
});

// Guards against a call that is neither served nor answered.
it('a job that waits for another poll at the end of a planned stop is refused', () => {
  const harness = withWaitingJob();
  harness.entry.handle({ kind: 'stop' }, harness.now);
  const actions: BatchAction[] = [];
  while (harness.entry.waitingJobs > 0) {
    actions.push(...flush(harness, OLD_POLL_MS));
    harness.now += 50;
    actions.push(...harness.entry.handle({ kind: 'tick' }, harness.now));
    if (harness.entry.waitingJobs > 0) {
      actions.push(...flush(harness, 0));
    }
  }
  freeRoom(harness);
  actions.push(...flush(harness, 0));
  expect(startCount(actions)).toEqual(0);
  const replies = actions.flatMap((action) =>
    action.kind === 'reply' && action.replyId === 1 ? [action.reply.kind] : [],
  );
  expect(replies).toEqual(['refused']);
});

it('a job that waits for another poll is refused when its entry is replaced', () => {
  const harness = withWaitingJob();
  freeRoom(harness);
  flush(harness, OLD_POLL_MS);
  harness.report('w1', { fenced: true });
  const reply = harness.replies.get(1);
  expect(reply?.kind === 'refused' && reply.reason).toEqual(
    SubmitRefusal.Abandoned,
  );
  expect(harness.started).toEqual([]);
  expect(kindsOf(flush(harness, 0))).toEqual([]);
});

// Guards against runs that go on for longer than their entry knew of their caller.
it('orders extend the time of runs only from the last poll of the sockets', () => {
  const harness = withWorker();
  harness.submit(1);
  harness.now += 300;
  const [action] = flush(harness, 300).filter(({ kind }) => kind === 'order');
  const holdUntilMs = action?.kind === 'order' ? action.order.holdUntilMs : 0;
  expect(holdUntilMs <= harness.now - 300 + DEFAULT_RUN_LIMITS.grantMs).toEqual(
    true,
  );
});
