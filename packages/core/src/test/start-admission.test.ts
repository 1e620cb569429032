import { expect } from 'earl';
import { EndKind, StartRefusal } from '../lib/messages.js';
import type { StartGroup, WorkerOrder } from '../lib/messages.js';
import { WorkerRejection } from '../lib/process/worker-events.js';
import { DriverHarness, ready, refusals, starts } from './worker-harness.js';

const CAPACITY = { cpuMilli: 8000, memoryMb: 1000, accelerators: 0 };
const RUNS = ['a.0.0.0', 'a.0.0.1', 'a.0.0.2', 'a.0.0.3', 'a.0.0.4'];
/** Fits into the queue, whose limit is 2000 millicores. */
const WAITING = 'b.0.0.0';

const waiting = (
  task = WAITING,
  fields: Partial<StartGroup> = {},
): WorkerOrder['starts'] =>
  starts(task).map((group) => ({
    ...group,
    priority: 1,
    maxWaitMs: 60,
    ...fields,
  }));

/** Returns the names of the tasks whose start calls are pending. */
const started = (harness: DriverHarness): string[] =>
  harness.calls.flatMap(({ call }) => (call.kind === 'start' ? call.task : []));

const hold = (harness: DriverHarness) => ({
  holdUntilMs: harness.clock + 700,
});

/** Returns a driver with a worker without free capacity. */
const withFullWorker = (): DriverHarness => {
  const harness = ready();
  harness.heartbeat({ capacity: CAPACITY });
  harness.order({ ...hold(harness), starts: starts(...RUNS) });
  RUNS.forEach(() => {
    harness.answer('start');
  });
  return harness;
};

/** Returns a driver whose worker is full, with one queued start. */
const withQueuedStart = (fields: Partial<StartGroup> = {}): DriverHarness => {
  const harness = withFullWorker();
  harness.order({ ...hold(harness), starts: waiting(WAITING, fields) });
  expect(refusals(harness)).toEqual([]);
  return harness;
};

/** Lets one run end, so that capacity for one start becomes free. */
const endRun = (harness: DriverHarness): void => {
  harness.ends = [
    { number: 1, task: 'a.0.0.0', run: 1, kind: EndKind.DONE, checkpoint: '' },
  ];
  harness.advance(10);
  harness.answerPoll();
};

/** Expects that the queued start was refused and does not begin any more. */
const expectRemoved = (harness: DriverHarness, reason: StartRefusal): void => {
  expect(refusals(harness)).toEqual([reason]);
  expect(started(harness)).toEqual([]);
};

it('a queued start begins when capacity becomes free', () => {
  const harness = withQueuedStart();
  expect(started(harness)).toEqual([]);
  endRun(harness);
  expect(started(harness)).toEqual([WAITING]);
  expect(refusals(harness)).toEqual([]);
});

it('a start that leaves the queue gets the time limit of that moment', () => {
  const harness = withQueuedStart();
  const orderedAtMs = harness.clock;
  harness.advance(40);
  harness.order({ holdUntilMs: harness.clock + 700 });
  endRun(harness);
  const { call } = harness.takeCall('start');
  const untilMs = call.kind === 'start' ? call.untilMs : 0;
  expect(untilMs > orderedAtMs + 1000).toEqual(true);
  expect(untilMs <= harness.clock + 1000).toEqual(true);
});

it('a queued start does not begin after the time limit of its owner', () => {
  const harness = withFullWorker();
  harness.handle({ kind: 'link-open', linkId: 2 });
  const holdUntilMs = harness.clock + 5;
  harness.order({ incarnation: 'b1', holdUntilMs, starts: waiting() }, 2);
  endRun(harness);
  expectRemoved(harness, StartRefusal.NOT_READY);
});

// The caller of an entry that is gone has submitted the job to another entry.
it('a start that is read after the time limit of its owner does not begin', () => {
  const harness = ready();
  const order = { ...hold(harness), starts: starts('a.0.0.0') };
  harness.advance(750);
  harness.answerPoll();
  harness.order(order);
  expectRemoved(harness, StartRefusal.NOT_READY);
});

/** Handles two orders that a driver reads in the same turn. */
const readTogether = (
  first: Partial<WorkerOrder>,
  second: Partial<WorkerOrder>,
): DriverHarness => {
  const harness = ready();
  const read = (fields: Partial<WorkerOrder>): void => {
    harness.read({ ...hold(harness), ...fields });
  };
  read(first);
  read(second);
  harness.handle({ kind: 'flush' });
  return harness;
};

// A driver that was not scheduled finds both orders in one read; the run would
// begin although its task may have been started elsewhere.
it('a start does not begin if its stop is read in the same turn', () => {
  const stops = [{ task: 'a.0.0.0', run: 1 }];
  const harness = readTogether({ starts: starts('a.0.0.0') }, { stops });
  expectRemoved(harness, StartRefusal.NO_ROOM);
  expect(harness.count('stop')).toEqual(0);
});

// The entry of the link may be gone, or have given its runs up.
it('a start does not begin if its link closes in the same turn', () => {
  const harness = ready();
  harness.read({ ...hold(harness), starts: starts('a.0.0.0') });
  harness.handle({ kind: 'link-closed', linkId: 1 });
  harness.handle({ kind: 'flush' });
  expect(started(harness)).toEqual([]);
  expect(harness.driver.activeRuns).toEqual(0);
});

it('a start does not begin if its data centre goes out of service in that turn', () => {
  const out = { operatorVersion: 8, out: true };
  const harness = readTogether({ starts: starts('a.0.0.0') }, out);
  expectRemoved(harness, StartRefusal.NOT_READY);
});

it('a queued start is refused at the end of its wait', () => {
  const harness = withQueuedStart({ maxWaitMs: 30 });
  harness.takeCall('hold');
  expect(harness.driver.nextDueAtMs).toEqual(harness.now + 30);
  harness.advance(29);
  expect(refusals(harness)).toEqual([]);
  harness.advance(1);
  expectRemoved(harness, StartRefusal.NO_ROOM);
});

it('a start whose wait has ended does not begin although capacity is free', () => {
  const harness = withQueuedStart();
  // The process was paused, so no tick has ended the wait.
  harness.now += 100;
  harness.clock += 100;
  harness.ends = [
    { number: 1, task: 'a.0.0.0', run: 1, kind: EndKind.DONE, checkpoint: '' },
  ];
  harness.answerPoll();
  expectRemoved(harness, StartRefusal.NO_ROOM);
});

it('a queued start is neither active nor free capacity in reports', () => {
  const harness = ready();
  harness.heartbeat({ capacity: { ...CAPACITY, cpuMilli: 9000 } });
  harness.order({ ...hold(harness), starts: starts(...RUNS) });
  harness.order(hold(harness));
  expect(harness.reports.at(-1)?.free?.cpuMilli).toEqual(1000);
  harness.order({ ...hold(harness), starts: waiting() });
  harness.order(hold(harness));
  expect(harness.reports.at(-1)?.free?.cpuMilli).toEqual(0);
  harness.openLink(2, 'b1');
  const snapshot = harness.reports.find(
    (report) => report.snapshot && report.active.length > 0,
  );
  expect(snapshot?.active.map((run) => run.task)).toEqual(RUNS);
  expect(harness.driver.activeRuns).toEqual(RUNS.length);
});

it('a stop removes a queued start without a call to the worker', () => {
  const harness = withQueuedStart();
  harness.order({ ...hold(harness), stops: [{ task: WAITING, run: 1 }] });
  expect(harness.count('stop')).toEqual(0);
  endRun(harness);
  expectRemoved(harness, StartRefusal.NO_ROOM);
});

it('a fence removes the queued starts of the fenced entry', () => {
  const harness = withQueuedStart();
  harness.openLink(2, 'b1');
  harness.order({ incarnation: 'b1', ...hold(harness), adopt: ['a1'] }, 2);
  endRun(harness);
  expectRemoved(harness, StartRefusal.NO_ROOM);
});

it('a lost link removes its queued starts', () => {
  const harness = withQueuedStart();
  harness.handle({ kind: 'link-closed', linkId: 1 });
  endRun(harness);
  expect(started(harness)).toEqual([]);
});

it('a snapshot on a new link of an entry is not followed by its queued start', () => {
  const harness = withQueuedStart();
  harness.openLink(2, 'a1');
  endRun(harness);
  expect(started(harness)).toEqual([]);
});

it('a data centre out of service removes queued starts', () => {
  const harness = withQueuedStart();
  harness.order({ ...hold(harness), operatorVersion: 8, out: true });
  endRun(harness);
  expectRemoved(harness, StartRefusal.NOT_READY);
});

it('a worker that no longer accepts starts removes queued ones', () => {
  const harness = withQueuedStart();
  harness.heartbeat({ capacity: CAPACITY, accepting: false });
  endRun(harness);
  expectRemoved(harness, StartRefusal.NOT_READY);
});

it('a planned stop of the driver removes queued starts', () => {
  const harness = withQueuedStart();
  harness.handle({ kind: 'stop' });
  endRun(harness);
  expectRemoved(harness, StartRefusal.NOT_READY);
});

it('a worker that does not answer removes queued starts', () => {
  const harness = withQueuedStart();
  harness.answer('hold', { kind: 'no-answer', detail: 'timed out' });
  expectRemoved(harness, StartRefusal.NOT_READY);
});

it('another incarnation of the worker removes queued starts', () => {
  const harness = withQueuedStart();
  harness.restartWorker();
  expectRemoved(harness, StartRefusal.NOT_READY);
});

it('a worker that leaves removes queued starts', () => {
  const harness = withQueuedStart();
  harness.handle({ kind: 'leave', id: 'i-1' });
  harness.handle({ kind: 'flush' });
  expectRemoved(harness, StartRefusal.NOT_READY);
});

it('a queued start is refused if a run of its task is found at the worker', () => {
  const harness = withQueuedStart();
  harness.active = [{ task: WAITING, run: 7, checkpoint: '', percent: 100 }];
  harness.advance(10);
  harness.answerPoll();
  // The found run has no owner, so no capacity is free until it is claimed.
  harness.active = [];
  const runs = [{ task: WAITING, run: 7, checkpoint: '' }];
  const claims = waiting().map((group) => ({
    ...group,
    ...{ needs: undefined, runs },
  }));
  harness.order({ ...hold(harness), claims });
  endRun(harness);
  expect(harness.count('stop')).toEqual(1);
  expect(refusals(harness)).toEqual([]);
  harness.ends = [
    { number: 2, task: WAITING, run: 7, kind: EndKind.STOPPED, checkpoint: '' },
  ];
  harness.advance(30);
  harness.answerPoll();
  expectRemoved(harness, StartRefusal.STALE_RUN);
});

// Both entries number their runs from 1.
it('a stop of another entry does not remove a queued start', () => {
  const harness = withQueuedStart();
  harness.openLink(2, 'b1');
  const stops = [{ task: WAITING, run: 1 }];
  harness.order({ ...hold(harness), incarnation: 'b1', stops }, 2);
  expect(refusals(harness)).toEqual([]);
});

it('a later run of a queued task replaces the queued start', () => {
  const harness = withQueuedStart();
  const runs = [{ task: WAITING, run: 2, checkpoint: '' }];
  harness.order({ ...hold(harness), starts: waiting(WAITING, { runs }) });
  expect(refusals(harness)).toEqual([StartRefusal.NO_ROOM]);
  endRun(harness);
  const { call } = harness.takeCall('start');
  expect(call.kind === 'start' && call.run).toEqual(2);
  expect(started(harness)).toEqual([]);
});

it('a start of a higher priority displaces a queued one of a full queue', () => {
  const harness = withQueuedStart();
  const urgent = waiting('c.0.0.0', { priority: 0 });
  harness.order({ ...hold(harness), starts: urgent });
  expect(refusals(harness)).toEqual([StartRefusal.NO_ROOM]);
  endRun(harness);
  expect(started(harness)).toEqual(['c.0.0.0']);
});

// A driver that is frozen between reading an order and the end of the turn.
it('a start does not begin if the time limit of its entry passes in the same turn', () => {
  const harness = ready();
  harness.read({ ...hold(harness), starts: starts('a.0.0.0') });
  harness.now += 800;
  harness.clock += 800;
  harness.handle({ kind: 'flush' });
  expect(started(harness)).toEqual([]);
});

// The first call may have been lost, but the entry may have given the run up.
it('a start is not repeated after the time limit of its entry has passed', () => {
  const harness = ready();
  harness.order({ ...hold(harness), starts: starts('a.0.0.0') });
  harness.now += 800;
  harness.clock += 800;
  harness.answer('start', { kind: 'no-answer', detail: '' });
  expect(harness.count('start')).toEqual(0);
  expect(harness.count('stop')).toEqual(1);
});

it('a start with an old token is refused after the time limit of its entry', () => {
  const harness = ready();
  harness.order({ ...hold(harness), starts: starts('a.0.0.0') });
  harness.now += 800;
  harness.clock += 800;
  harness.answer('start', {
    kind: 'rejected',
    reason: WorkerRejection.Fenced,
    clockMs: harness.clock,
  });
  expect(harness.count('start')).toEqual(0);
  expect(harness.count('stop')).toEqual(0);
  expect(refusals(harness)).toEqual([StartRefusal.NOT_READY]);
});

// Its queued starts are removed by the adoption as well.
it('a start does not begin if its entry is fenced in the same turn', () => {
  const harness = ready();
  harness.openLink(2, 'b1');
  harness.read({ ...hold(harness), starts: starts('a.0.0.0') }, 1);
  harness.read({ incarnation: 'b1', ...hold(harness), adopt: ['a1'] }, 2);
  harness.handle({ kind: 'flush' });
  expect(started(harness)).toEqual([]);
  const report = harness.reportsByLink.get(2)?.at(-1);
  expect(report?.adopted).toEqual(['a1']);
  expect(report?.active).toEqual([]);
  expect(refusals(harness)).toEqual([StartRefusal.FENCED]);
});
