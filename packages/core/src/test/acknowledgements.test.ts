import { expect } from 'earl';
import { EndKind } from '../lib/messages.js';
import { OpenStarts } from '../lib/process/open-starts.js';
import { RunPhase, trackedRun } from '../lib/process/tracked-runs.js';
import { WorkerRejection } from '../lib/process/worker-events.js';
import type { WorkerReply } from '../lib/process/worker-events.js';
import { BORN_MS, ready, starts } from './worker-harness.js';
import type { DriverHarness } from './worker-harness.js';

// The ends of each incarnation of a worker are numbered from 1. An acknowledgement
// that reaches the next one makes it forget ends that nobody has read.

const NO_ANSWER: WorkerReply = { kind: 'no-answer', detail: 'timed out' };
const FENCED: WorkerReply = {
  kind: 'rejected',
  reason: WorkerRejection.Fenced,
  clockMs: undefined,
};

const end = (number: number) => ({
  number,
  task: `j.0.0.${String(number)}`,
  run: 1,
  kind: EndKind.DONE,
  checkpoint: '',
});

const recorded = (number: number) => [
  { life: String(BORN_MS), number, superseded: false },
];

/** A driver whose worker has listed some ends that their entry has recorded. */
const withRecordedEnds = (count = 1): DriverHarness => {
  const harness = ready();
  harness.ends = Array.from({ length: count }, (_, index) => end(index + 1));
  harness.answerPoll();
  for (let number = 1; number <= count; number += 1) {
    harness.read({ recorded: recorded(number) });
  }
  harness.handle({ kind: 'flush' });
  return harness;
};

/** Advances to the next poll, and returns what it acknowledges. */
const nextAcknowledgement = (harness: DriverHarness): number => {
  harness.advance(60);
  return harness.polls.at(-1)?.ackedThrough ?? 0;
};

it('recorded ends are acknowledged until the worker has forgotten them', () => {
  const harness = withRecordedEnds();
  expect(nextAcknowledgement(harness)).toEqual(1);
  harness.answerPoll();
  expect(nextAcknowledgement(harness)).toEqual(1);
  harness.ends = [];
  harness.answerPoll();
  expect(nextAcknowledgement(harness)).toEqual(0);
});

// Guards against the first poll to an incarnation whose birth is not known yet.
it('a poll after one without an answer acknowledges nothing', () => {
  for (const reply of [NO_ANSWER, { kind: 'unreachable' } as const]) {
    const harness = withRecordedEnds();
    harness.advance(60);
    harness.answer('hold', reply);
    expect(nextAcknowledgement(harness)).toEqual(0);
    harness.answerPoll();
    expect(nextAcknowledgement(harness)).toEqual(1);
  }
});

it('a poll after the announcement of another incarnation acknowledges nothing', () => {
  const harness = withRecordedEnds();
  harness.heartbeat({ bornMs: BORN_MS + 1000 });
  expect(nextAcknowledgement(harness)).toEqual(0);
});

it('a start that was answered by another incarnation withholds acknowledgements', () => {
  const harness = withRecordedEnds();
  harness.order({ holdUntilMs: 9000, starts: starts('k.0.0.0') });
  harness.answer('start', { kind: 'done', clockMs: 20 });
  expect(nextAcknowledgement(harness)).toEqual(0);
  harness.answerPoll();
  expect(nextAcknowledgement(harness)).toEqual(1);
});

// Guards against a late acknowledgement that the next incarnation executes after
// it has executed a late start.
it('a start that is sent after an acknowledgement fences it', () => {
  const harness = withRecordedEnds();
  expect(nextAcknowledgement(harness)).toEqual(1);
  const poll = harness.takeCall('hold').call;
  harness.order({ holdUntilMs: 9000, starts: starts('k.0.0.0') });
  expect(harness.takeCall('start').call.token > poll.token).toEqual(true);
});

it('no end is acknowledged while a start is open', () => {
  const harness = withRecordedEnds();
  harness.order({ holdUntilMs: 30_000, starts: starts('k.0.0.0') });
  expect(nextAcknowledgement(harness)).toEqual(0);
  harness.answerPoll();
  harness.answer('start', NO_ANSWER);
  harness.answer('start');
  // The first call may still be executed late.
  expect(nextAcknowledgement(harness)).toEqual(0);
  for (let passed = 0; passed < 12_000; passed += 100) {
    if (harness.count('hold') > 0) {
      harness.answerPoll();
    }
    harness.advance(100);
  }
  expect(nextAcknowledgement(harness)).toEqual(1);
});

it('an open start does not let the list of the worker fill up', () => {
  for (const [count, acknowledged] of [
    [99, 0],
    [100, 100],
  ] as const) {
    const harness = withRecordedEnds(count);
    harness.order({ holdUntilMs: 9000, starts: starts('k.0.0.0') });
    expect(nextAcknowledgement(harness)).toEqual(acknowledged);
  }
});

it('a poll that a later call has overtaken is sent again', () => {
  const harness = withRecordedEnds();
  harness.advance(60);
  const polls = harness.polls.length;
  harness.answer('hold', FENCED);
  expect(harness.polls.length).toEqual(polls + 1);
  expect(harness.logs.map(({ message }) => message)).not.toInclude(
    'worker does not answer',
  );
  harness.answerPoll();
  expect(nextAcknowledgement(harness)).toEqual(1);
});

it('a worker that has seen a higher token is reached with a higher one', () => {
  const harness = withRecordedEnds();
  const reached = (): boolean => (harness.polls.at(-1)?.token ?? 0) > 5000;
  for (let polls = 0; polls < 10 && !reached(); polls += 1) {
    harness.advance(60);
    harness.answer('hold', FENCED);
  }
  harness.advance(60);
  expect(reached()).toEqual(true);
});

it('a first list without the first ends is logged', () => {
  const harness = ready();
  harness.bornMs += 1000;
  harness.clock = 1;
  harness.ends = [end(3)];
  harness.answerPoll();
  expect(harness.logs.map(({ message }) => message)).toInclude(
    'ends of a new incarnation were forgotten unread',
  );
});

// Guards against ends that are listed late, because an acknowledgement waits for a
// start that is on its way.
it('a start on its way does not delay the next poll', () => {
  const harness = withRecordedEnds();
  harness.advance(20);
  harness.order({ holdUntilMs: 9000, starts: starts('k.0.0.0') });
  harness.advance(10);
  expect(harness.polls.at(-1)?.ackedThrough).toEqual(0);
  harness.answerPoll();
  harness.answer('start');
  const polls = harness.polls.length;
  harness.advance(10);
  expect(harness.polls.length).toEqual(polls + 1);
  expect(harness.polls.at(-1)?.ackedThrough).toEqual(1);
});

it('starts that were answered are forgotten', () => {
  const runs = Array.from({ length: 3 }, (_, run) =>
    trackedRun(
      { task: 'k', run },
      { owner: 'a', phase: RunPhase.Starting, sinceMs: 0 },
    ),
  );
  const open = new OpenStarts(() => true);
  for (const run of runs) {
    run.starts = 1;
    open.add(run, 0);
  }
  expect(open.openMs(5)).toEqual(5);
  for (const run of runs.slice(0, 2)) {
    run.answeredStarts = 1;
  }
  expect(open.openMs(10)).toEqual(10);
  expect(open.openMs(12_001)).toEqual(undefined);
});
