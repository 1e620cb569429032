import { expect } from 'earl';
import type { WorkerReport } from '../lib/messages.js';
import type { JobStepContent } from '../lib/request/batch-job.js';
import {
  CONTENT,
  EntryHarness,
  FakeRows,
  ID,
  helloOf,
  withTwoWorkers,
} from './entry-harness.js';
import { NEEDS, ready, starts } from './worker-harness.js';
import type { DriverHarness } from './worker-harness.js';

// A worker may carry out a start up to 12 s late, and the process that sent it
// may be killed meanwhile. Nobody else can stop the run.

const TASK = `${ID}.0.0.0`;
const [STEP] = CONTENT.steps as [JobStepContent];
const OTHER_TASK = `${ID}.0.0.1`;
const REF = { task: TASK, run: 1 };
const OTHER_REF = { task: OTHER_TASK, run: 1 };

/** Starts two tasks of a recorded job at a worker, which then reports once. */
const startedWith = (fields: Partial<WorkerReport>): EntryHarness => {
  const harness = withTwoWorkers();
  harness.submit(1, { isVolatile: false });
  harness.advance(50);
  expect(harness.started).toEqual([`${TASK}#1`, `${OTHER_TASK}#1`]);
  harness.report('w1', fields);
  harness.report('w2', { snapshot: true });
  return harness;
};

/** Lets time pass while only the other worker reports. */
const pass = (harness: EntryHarness, ms: number): void => {
  for (let passed = 0; passed < ms; passed += 100) {
    harness.advance(100);
    harness.report('w2');
  }
};

const repeated = (harness: EntryHarness): string[] => harness.started.slice(2);

it('a run that may begin late is not repeated within 12 s of its start', () => {
  const harness = startedWith({ unconfirmed: [REF] });
  pass(harness, 3000);
  expect(repeated(harness)).toEqual([`${OTHER_TASK}#2`]);
  pass(harness, 10_000);
  expect(repeated(harness)).toEqual([`${OTHER_TASK}#2`]);
  pass(harness, 2500);
  expect(repeated(harness)).toEqual([`${OTHER_TASK}#2`, `${TASK}#2`]);
});

// The order with the starts may have arrived after the last report.
it('a run that no report covers is not repeated within 12 s of its start', () => {
  const harness = startedWith({ sequence: 0 });
  pass(harness, 13_000);
  expect(repeated(harness)).toEqual([]);
  pass(harness, 2500);
  expect(repeated(harness)).toEqual([`${TASK}#2`, `${OTHER_TASK}#2`]);
});

// Late polls extend the lease of runs that have begun.
it('runs at a worker that may act late are not repeated within 12 s', () => {
  const harness = startedWith({ mayActLate: true });
  pass(harness, 13_000);
  expect(repeated(harness)).toEqual([]);
  pass(harness, 2500);
  expect(repeated(harness)).toEqual([`${TASK}#2`, `${OTHER_TASK}#2`]);
});

// Links to a killed process are opened again and again; that must not let runs
// that have long begun wait.
it('a run that has begun is repeated after 3 s, whatever links have failed', () => {
  const harness = startedWith({});
  for (let passed = 0; passed < 3000; passed += 500) {
    const linkId = harness.links.get('w1') ?? 0;
    harness.handle({ kind: 'link-closed', linkId, detail: 'refused' });
    pass(harness, 500);
  }
  expect(repeated(harness)).toEqual([`${TASK}#2`, `${OTHER_TASK}#2`]);
});

it('the snapshot of the next driver process ends the wait', () => {
  const harness = startedWith({ unconfirmed: [REF, OTHER_REF] });
  pass(harness, 3500);
  expect(repeated(harness)).toEqual([]);
  harness.report('w1', {
    snapshot: true,
    hello: { ...helloOf('w1'), incarnation: 'w-2' },
    active: [{ ...OTHER_REF, owner: '', checkpoint: '', percent: 100 }],
  });
  expect(repeated(harness)).toEqual([`${TASK}#2`]);
});

// Until its first poll is answered, the worker has not seen its fencing token.
it('a driver process that has not reached its worker does not end the wait', () => {
  const harness = startedWith({ unconfirmed: [REF, OTHER_REF] });
  const linkId = harness.links.get('w1') ?? 0;
  harness.handle({ kind: 'link-closed', linkId, detail: 'killed' });
  pass(harness, 500);
  harness.report('w1', {
    snapshot: false,
    hello: { ...helloOf('w1'), incarnation: 'w-2' },
  });
  pass(harness, 6000);
  expect(repeated(harness)).toEqual([]);
});

// A worker that is gone for good is reported by the next driver process, which
// has no snapshot of it.
it('runs at a worker that its next driver process never reaches are repeated', () => {
  const harness = startedWith({});
  const linkId = harness.links.get('w1') ?? 0;
  harness.handle({ kind: 'link-closed', linkId, detail: 'killed' });
  for (let passed = 0; passed < 4000; passed += 100) {
    pass(harness, 100);
    harness.report('w1', {
      snapshot: false,
      hello: undefined,
      accepting: false,
      clockMs: 0,
    });
  }
  expect(repeated(harness)).toEqual([`${TASK}#2`, `${OTHER_TASK}#2`]);
});

/** What the successor knows of the silent worker before a takeover. */
enum Knowledge {
  /** It has reported. */
  Heard = 'heard',
  /** Nothing: the successor has just started. */
  None = 'none',
  /** It has been silent for 15 s. */
  LongSilent = 'long-silent',
}

/** Has an entry take over a job while one of the two workers is silent. */
const takeOver = (knowledge: Knowledge): EntryHarness => {
  const rows = new FakeRows();
  const predecessor = withTwoWorkers(rows);
  predecessor.submit(1, { isVolatile: false });
  if (knowledge === Knowledge.LongSilent) {
    // A planned stop, which another entry that has run for long takes over.
    const other = new EntryHarness(rows, 'e2', 'entry-2');
    other.advance(15_000);
    predecessor.handle({ kind: 'stop' });
    predecessor.advance(7000);
    other.answerChanges();
    other.advance(300);
    other.report('w2', { snapshot: true, adopted: ['e1'] });
    return other;
  }
  const next = new EntryHarness(rows, 'e1b');
  next.advance(300);
  if (knowledge === Knowledge.Heard) {
    next.report('w1', { snapshot: true });
  }
  next.answerChanges();
  next.advance(300);
  next.report('w2', { snapshot: true, adopted: ['e1'] });
  return next;
};

const RESTARTED = [`${TASK}#10001`, `${OTHER_TASK}#10001`];

// The successor does not know which starts its predecessor had sent there.
for (const knowledge of [Knowledge.Heard, Knowledge.None]) {
  it(`a takeover waits until no late start can begin at a silent worker: ${knowledge}`, () => {
    const next = takeOver(knowledge);
    pass(next, 14_000);
    expect(next.started).toEqual([]);
    pass(next, 500);
    expect(next.started).toEqual(RESTARTED);
  });
}

it('a takeover goes on once a driver process that had never been heard reports', () => {
  const next = takeOver(Knowledge.None);
  pass(next, 6000);
  expect(next.started).toEqual([]);
  next.report('w1', { snapshot: true, adopted: ['e1'] });
  next.advance(50);
  expect(next.started).toEqual(RESTARTED);
});

// The rows of machines that are gone for good may remain.
it('a takeover does not wait that long for a worker that was silent before', () => {
  const next = takeOver(Knowledge.LongSilent);
  pass(next, 4500);
  expect(next.started).toEqual(RESTARTED);
});

/** Submits a volatile job to an entry whose predecessor was killed. */
const resubmit = (harness: EntryHarness, replyId: number, id: string): void => {
  harness.submit(replyId, { steps: [{ ...STEP, count: 1 }] }, id);
  harness.advance(50);
};

const OTHER_ID = '00000000000000a2';

// Guards against a volatile job that its caller sends again to the entry that was
// killed with the driver of its first run.
it('a restarted entry does not start jobs that a silent worker may begin late', () => {
  const rows = new FakeRows();
  withTwoWorkers(rows);
  const next = new EntryHarness(rows, 'e1b');
  next.advance(300);
  next.report('w2', { snapshot: true, adopted: ['e1'] });
  resubmit(next, 1, ID);
  expect(next.replies.get(1)?.kind).toEqual('in-doubt');
  // Callers of the lost process have returned by then.
  pass(next, 1600);
  resubmit(next, 2, OTHER_ID);
  expect(next.started).toEqual([`${OTHER_ID}.0.0.0#1`]);
  resubmit(next, 3, ID);
  expect(next.replies.get(3)?.kind).toEqual('in-doubt');
  next.report('w1', { snapshot: true });
  resubmit(next, 4, ID);
  expect(next.started).toEqual([`${OTHER_ID}.0.0.0#1`, `${TASK}#1`]);
});

it('a restarted entry starts jobs at once when all workers have reported', () => {
  const rows = new FakeRows();
  withTwoWorkers(rows);
  const next = new EntryHarness(rows, 'e1b');
  next.advance(100);
  next.report('w1', { snapshot: true });
  next.report('w2', { snapshot: true });
  resubmit(next, 1, ID);
  expect(next.started).toEqual([`${TASK}#1`]);
});

it('an entry without a predecessor starts jobs beside a silent worker', () => {
  const next = withTwoWorkers();
  next.report('w2', { snapshot: true });
  resubmit(next, 1, ID);
  expect(next.started).toEqual([`${TASK}#1`]);
});

// A driver process whose worker has crashed has no snapshot and confirms nothing,
// but it carries out no start either.
it('a takeover does not wait for a driver process that reports', () => {
  const next = takeOver(Knowledge.Heard);
  for (let passed = 0; passed < 4500; passed += 100) {
    pass(next, 100);
    next.report('w1', { snapshot: false, accepting: false, clockMs: 0 });
  }
  expect(next.started).toEqual([`${TASK}#10001`, `${OTHER_TASK}#10001`]);
});

const lastReport = ({ reports }: DriverHarness): WorkerReport | undefined =>
  reports.at(-1);

it('a report names the starts that the worker has not answered', () => {
  const harness = ready();
  harness.order({ starts: starts('a', 'b'), holdUntilMs: harness.clock + 700 });
  harness.order({ holdUntilMs: harness.clock + 700 });
  expect(lastReport(harness)?.unconfirmed).toEqual([
    { task: 'a', run: 1 },
    { task: 'b', run: 1 },
  ]);
  harness.answer('start');
  harness.order({ holdUntilMs: harness.clock + 700 });
  expect(lastReport(harness)?.unconfirmed).toEqual([{ task: 'b', run: 1 }]);
  expect(lastReport(harness)?.mayActLate).toEqual(false);
});

// A queued start may be sent to the worker after the report.
it('a report names the starts that wait for capacity', () => {
  const harness = ready();
  const withNeeds = (cpuMilli: number, ...names: string[]) =>
    starts(...names).map((group) => ({
      ...group,
      needs: { ...NEEDS, cpuMilli },
      maxWaitMs: 50,
    }));
  harness.order({
    starts: [...withNeeds(1900, 'a', 'b'), ...withNeeds(900, 'c')],
    holdUntilMs: harness.clock + 700,
  });
  harness.answer('start');
  harness.answer('start');
  harness.order({ holdUntilMs: harness.clock + 700 });
  expect(lastReport(harness)?.unconfirmed).toEqual([{ task: 'c', run: 1 }]);
});

it('a worker that has left a call unanswered is reported to act late', () => {
  const harness = ready();
  harness.answer('hold', { kind: 'no-answer', detail: 'timed out' });
  harness.advance(60);
  expect(lastReport(harness)?.mayActLate).toEqual(true);
  harness.answerPoll();
  harness.advance(14_000);
  harness.order({ holdUntilMs: harness.clock + 700 });
  expect(lastReport(harness)?.mayActLate).toEqual(true);
  harness.advance(2000);
  harness.order({ holdUntilMs: harness.clock + 700 });
  expect(lastReport(harness)?.mayActLate).toEqual(false);
});
