import { expect } from 'earl';
import { EndKind } from '../lib/messages.js';
import type { WorkerReply } from '../lib/process/worker-events.js';
import {
  BORN_MS,
  crashedRuns,
  endKinds,
  ready,
  starts,
} from './worker-harness.js';
import type { DriverHarness } from './worker-harness.js';

// A worker that starts again under its id executes calls that were sent to the
// incarnation before, which the header of the call can't tell apart.

const TASK = 'j.0.0.0';
const RUN = { task: TASK, run: 1, checkpoint: '', percent: 100 };
const NO_ANSWER: WorkerReply = { kind: 'no-answer', detail: 'timed out' };
/** Longest time until a late call is executed, and its run has ended. */
const LATE_RUN_MS = 13_400;

/** A driver that has sent a start, which the worker has not answered. */
const withStart = (): DriverHarness => {
  const harness = ready();
  harness.order({ holdUntilMs: 9000, starts: starts(TASK) });
  return harness;
};

/** Starts the worker again under its id; its clock begins anew. */
const restart = (harness: DriverHarness): void => {
  harness.bornMs += 1000;
  harness.clock = 1;
  harness.active = [];
  harness.ends = [];
};

const answerPoll = (harness: DriverHarness): void => {
  harness.answerPoll();
  harness.advance(10);
};

/**
 * @param active - Runs that the next incarnation lists.
 * @returns A driver that has learnt from a poll that its worker has restarted, after
 *   a start without an answer.
 */
const restarted = (active: readonly (typeof RUN)[] = []): DriverHarness => {
  const harness = withStart();
  restart(harness);
  harness.active = [...active];
  answerPoll(harness);
  return harness;
};

/** Lists the end of the run in the next incarnation. */
const listEnd = (harness: DriverHarness): void => {
  harness.active = [];
  harness.ends = [{ ...RUN, number: 1, kind: EndKind.STOPPED }];
  answerPoll(harness);
};

/** Answers the stop, the poll that was sent before, and the one after it. */
const answerStop = (harness: DriverHarness): void => {
  harness.answer('stop');
  answerPoll(harness);
  answerPoll(harness);
};

// Guards against a task that is started elsewhere, or there, before the next
// incarnation executes the start of its earlier run.
it('a start without an answer is stopped in the next incarnation before it is lost', () => {
  const harness = restarted();
  expect(endKinds(harness)).toEqual([]);
  answerStop(harness);
  expect(endKinds(harness)).toEqual([EndKind.LOST]);
});

it('a start that the next incarnation may have answered is stopped there first', () => {
  const harness = withStart();
  restart(harness);
  harness.answer('start');
  // The list was made before the start.
  answerPoll(harness);
  expect(endKinds(harness)).toEqual([]);
  expect(harness.count('stop')).toEqual(1);
});

it('a run that the next incarnation has begun ends there', () => {
  const harness = restarted([RUN]);
  harness.answer('stop');
  answerPoll(harness);
  expect(endKinds(harness)).toEqual([]);
  listEnd(harness);
  expect(endKinds(harness)).toEqual([EndKind.STOPPED]);
});

it('a run that has begun in the earlier incarnation is lost at once', () => {
  const harness = withStart();
  harness.answer('start');
  harness.active = [RUN];
  answerPoll(harness);
  restart(harness);
  answerPoll(harness);
  expect(endKinds(harness)).toEqual([EndKind.LOST]);
  expect(harness.count('stop')).toEqual(0);
});

it('a run stays stopped over two restarts in a row', () => {
  const harness = restarted();
  harness.answer('stop');
  restart(harness);
  answerPoll(harness);
  expect(endKinds(harness)).toEqual([]);
  answerStop(harness);
  expect(endKinds(harness)).toEqual([EndKind.LOST]);
});

it('calls to the next incarnation make it reject those of the one before', () => {
  const harness = withStart();
  const { token = 0 } = harness.polls.at(-1) ?? {};
  restart(harness);
  answerPoll(harness);
  const tokens = harness.polls.slice(-1).map((poll) => poll.token > token);
  expect(tokens).toEqual([true]);
  expect(harness.takeCall('stop').call.token > token).toEqual(true);
});

it('no other start is sent while the next incarnation may begin an earlier one', () => {
  const harness = withStart();
  harness.takeCall('start');
  restart(harness);
  harness.clock = 500;
  harness.heartbeat();
  answerPoll(harness);
  harness.order({ holdUntilMs: 1200, starts: starts('k.0.0.0') });
  expect(harness.count('start')).toEqual(0);
});

// Guards against a run that is inherited, and waits for a claim, though its task
// was started elsewhere.
it('a run that the next incarnation was not sent is stopped', () => {
  const harness = ready();
  restart(harness);
  harness.active = [RUN];
  answerPoll(harness);
  expect(harness.count('stop')).toEqual(1);
});

it('a start without an answer outlasts the end of its worker', () => {
  const harness = withStart();
  harness.answer('start', NO_ANSWER);
  harness.answer('start', NO_ANSWER);
  harness.answer('hold', { kind: 'unreachable' });
  harness.advance(2000);
  expect(endKinds(harness)).toEqual([]);
  harness.advance(LATE_RUN_MS);
  expect(endKinds(harness)).toEqual([EndKind.LOST]);
});

it('a start without an answer is lost at last if the next incarnation is silent', () => {
  const harness = withStart();
  harness.answer('start', NO_ANSWER);
  harness.answer('hold', NO_ANSWER);
  harness.heartbeat({ bornMs: BORN_MS + 1000 });
  harness.answer('hold', NO_ANSWER);
  harness.advance(LATE_RUN_MS - 100);
  expect(endKinds(harness)).toEqual([]);
  harness.advance(200);
  expect(endKinds(harness)).toEqual([EndKind.LOST]);
});

it('a crash names a run only once it is known not to be in the next incarnation', () => {
  const harness = restarted();
  expect(crashedRuns(harness)).toEqual([]);
  answerStop(harness);
  expect(crashedRuns(harness)).toEqual([`${TASK}#1 in ${String(BORN_MS)}`]);
});

it('a crash names no run that the next incarnation has begun', () => {
  const harness = restarted([RUN]);
  harness.answer('stop');
  listEnd(harness);
  expect(crashedRuns(harness)).toEqual([]);
});

// Guards against an earlier call that the next incarnation executes while the
// driver waits for the reply to a poll that was sent to the one before.
it('the heartbeat of the next incarnation leads to a call with a higher token at once', () => {
  const harness = ready();
  const earlier = harness.takeCall('hold');
  harness.heartbeat({ bornMs: BORN_MS + 1000 });
  const { call } = harness.takeCall('hold');
  expect(call.token > earlier.call.token).toEqual(true);
  expect(call).toLooseEqual({ ...call, waitMs: 0, untilMs: undefined });
  // The reply to the earlier poll says nothing any more.
  harness.handle({
    kind: 'reply',
    callId: earlier.callId,
    reply: NO_ANSWER,
  });
  harness.handle({ kind: 'flush' });
  expect(harness.logs.map(({ message }) => message)).not.toInclude(
    'worker does not answer',
  );
});
