import { expect } from 'earl';
import { EndKind, StartRefusal } from '../lib/messages.js';
import type { WorkerOrder } from '../lib/messages.js';
import { WorkerRejection } from '../lib/process/worker-events.js';
import type { ListedEnd, WorkerReply } from '../lib/process/worker-events.js';
import {
  BORN_MS,
  NEEDS,
  DriverHarness,
  endKinds,
  ready,
  refusals,
  starts,
} from './worker-harness.js';

it('a start within the free capacity is sent, one beyond it is refused', () => {
  const harness = ready();
  harness.order({ holdUntilMs: 5700, starts: starts('j.0.0.0', 'j.0.0.1') });
  expect(harness.count('start')).toEqual(2);
  harness.order({ holdUntilMs: 5700, starts: starts('j.0.0.2') });
  expect(refusals(harness)).toEqual([StartRefusal.NO_ROOM]);
});

it('a run that is being stopped still uses capacity', () => {
  const harness = ready();
  harness.order({ holdUntilMs: 5700, starts: starts('j.0.0.0', 'j.0.0.1') });
  harness.order({ holdUntilMs: 5700, stops: [{ task: 'j.0.0.0', run: 1 }] });
  harness.order({ holdUntilMs: 5700, starts: starts('k.0.0.0') });
  expect(refusals(harness)).toEqual([StartRefusal.NO_ROOM]);
});

it('a start that times out is retried, then stopped', () => {
  const harness = ready();
  harness.order({ holdUntilMs: 5700, starts: starts('j.0.0.0') });
  harness.answer('start', { kind: 'no-answer', detail: 'timed out' });
  harness.answer('start', { kind: 'no-answer', detail: 'timed out' });
  expect(harness.count('start')).toEqual(0);
  harness.answer('stop');
  // The pending poll was sent before the stop, so its reply proves nothing.
  harness.advance(10);
  harness.answerPoll();
  expect(refusals(harness)).toEqual([]);
  harness.advance(10);
  harness.answerPoll();
  expect(refusals(harness)).toEqual([StartRefusal.NO_ANSWER]);
});

// Guards against a refusal that is taken for a proof that the run has not begun,
// while an earlier start call may still be carried out.
it('a rejection proves nothing after a start without an answer', () => {
  const harness = ready();
  harness.order({ holdUntilMs: 5700, starts: starts('j.0.0.0') });
  harness.answer('start', { kind: 'no-answer', detail: 'timed out' });
  const reason = WorkerRejection.Unhealthy;
  harness.answer('start', { kind: 'rejected', reason, clockMs: undefined });
  expect(refusals(harness)).toEqual([]);
  harness.answer('stop');
  for (let polls = 0; polls < 2; polls += 1) {
    harness.advance(10);
    harness.answerPoll();
  }
  expect(refusals(harness)).toEqual([StartRefusal.NO_ANSWER]);
});

it('a rejection of the only start call is passed on', () => {
  const harness = ready();
  harness.order({ holdUntilMs: 5700, starts: starts('j.0.0.0') });
  const reason = WorkerRejection.Unhealthy;
  harness.answer('start', { kind: 'rejected', reason, clockMs: undefined });
  expect(refusals(harness)).toEqual([StartRefusal.UNHEALTHY]);
});

it('no start may begin after its owner may have abandoned it', () => {
  const harness = ready();
  harness.order({ holdUntilMs: 5100, starts: starts('j.0.0.0') });
  const { call } = harness.takeCall('start');
  expect(call.kind === 'start' && call.untilMs <= 5100 + 700 + 400).toEqual(
    true,
  );
});

it('runs of an unresponsive entry are stopped by the clock of the worker', () => {
  const harness = ready();
  harness.order({ holdUntilMs: 5700, starts: starts('j.0.0.0') });
  harness.answer('start');
  harness.active = [{ task: 'j.0.0.0', run: 1, checkpoint: '', percent: 100 }];
  harness.advance(600);
  harness.answerPoll();
  expect(harness.count('stop')).toEqual(0);
  harness.advance(200);
  harness.answerPoll();
  expect(harness.count('stop')).toEqual(1);
});

it('the lease is not renewed while a run of an unresponsive entry does not stop', () => {
  const harness = ready();
  harness.order({ holdUntilMs: 5700, starts: starts('j.0.0.0') });
  harness.answer('start');
  harness.active = [{ task: 'j.0.0.0', run: 1, checkpoint: '', percent: 100 }];
  harness.advance(1200);
  harness.answerPoll();
  harness.advance(100);
  const { call } = harness.takeCall('hold');
  expect(call.kind === 'hold' && call.untilMs).toEqual(undefined);
});

it('runs expire sooner if the link of their entry closes and is not reopened', () => {
  const harness = ready();
  harness.order({ holdUntilMs: 5700, starts: starts('j.0.0.0') });
  harness.answer('start');
  harness.active = [{ task: 'j.0.0.0', run: 1, checkpoint: '', percent: 100 }];
  harness.handle({ kind: 'link-closed', linkId: 1 });
  harness.advance(500);
  harness.answerPoll();
  expect(harness.count('stop')).toEqual(1);
});

it('a task that is active for another entry is stopped before it restarts', () => {
  const harness = ready();
  harness.order({ holdUntilMs: 5700, starts: starts('j.0.0.0') });
  harness.answer('start');
  harness.openLink(2, 'b1');
  harness.order(
    { incarnation: 'b1', holdUntilMs: 5700, starts: starts('j.0.0.0') },
    2,
  );
  expect(harness.count('stop')).toEqual(1);
  expect(refusals(harness)).toEqual([]);
  harness.ends = [{ ...doneEnd('j.0.0.0', 1), kind: EndKind.STOPPED }];
  harness.answerPoll();
  expect(refusals(harness)).toEqual([StartRefusal.STALE_RUN]);
  expect(harness.count('start')).toEqual(0);
});

it('an entry with stale state starts nothing in a data centre out of service', () => {
  const harness = ready();
  harness.handle({ kind: 'link-open', linkId: 2 });
  const hold = { holdUntilMs: harness.clock + 700 };
  const other = { ...hold, incarnation: 'b1' };
  harness.order({ ...other, operatorVersion: 8, out: true }, 2);
  const stale = { operatorVersion: 5, starts: starts('j.0.0.0') };
  harness.order({ ...hold, ...stale });
  expect(refusals(harness)).toEqual([StartRefusal.NOT_READY]);
  expect(harness.count('start')).toEqual(0);
  harness.order({ ...other, operatorVersion: 9 }, 2);
  harness.order({ ...hold, ...stale });
  expect(harness.count('start')).toEqual(1);
});

it('orders of a fenced entry are refused', () => {
  const harness = ready();
  harness.openLink(2, 'b1');
  harness.order({ incarnation: 'b1', holdUntilMs: 5700, adopt: ['a1'] }, 2);
  harness.order({ holdUntilMs: 5700, starts: starts('j.0.0.0') });
  expect(refusals(harness)).toEqual([StartRefusal.FENCED]);
  expect(harness.reports.at(-1)?.fenced).toEqual(true);
});

it('the end of a run of a recorded job is not acknowledged before its record', () => {
  const harness = ready();
  const [group] = starts('j.0.0.0');
  const recorded = [{ ...group, volatile: false }] as WorkerOrder['starts'];
  harness.order({ holdUntilMs: 5700, starts: recorded });
  harness.answer('start');
  harness.ends = [
    {
      number: 1,
      task: 'j.0.0.0',
      run: 1,
      kind: EndKind.DONE,
      checkpoint: '',
    },
  ];
  harness.answerPoll();
  harness.advance(50);
  const before = harness.takeCall('hold').call;
  expect(before.kind === 'hold' && before.ackedThrough).toEqual(0);
});

it('a superseded end is acknowledged only after the lease has expired', () => {
  const harness = ready();
  const [group] = starts('j.0.0.0');
  const recorded = [{ ...group, volatile: false }] as WorkerOrder['starts'];
  harness.order({ holdUntilMs: 5700, starts: recorded });
  harness.answer('start');
  const end = { number: 1, task: 'j.0.0.0', run: 1, checkpoint: '' };
  harness.ends = [{ ...end, kind: EndKind.DONE }];
  harness.answerPoll();
  harness.order({
    holdUntilMs: 5700,
    recorded: [{ life: String(BORN_MS), number: 1, superseded: true }],
  });
  harness.order({ holdUntilMs: 5700, starts: starts('k.0.0.0') });
  expect(refusals(harness)).toEqual([StartRefusal.NOT_READY]);
  let leaseMs = 0;
  for (let passed = 0; passed < 3000; passed += 50) {
    harness.advance(50);
    if (harness.count('hold') === 0) {
      continue;
    }
    const { callId, call } = harness.takeCall('hold');
    if (call.kind !== 'hold') {
      continue;
    }
    if (call.ackedThrough > 0) {
      expect(harness.clock > leaseMs).toEqual(true);
      return;
    }
    leaseMs = Math.max(leaseMs, call.untilMs ?? 0);
    const { clock: clockMs, active, ends } = harness;
    harness.handle({
      kind: 'reply',
      callId,
      reply: { kind: 'held', clockMs, bornMs: BORN_MS, active, ends },
    });
  }
  expect('the end').toEqual('acknowledged');
});

it('runs at a worker whose process has ended are lost once its lease has expired', () => {
  const harness = ready();
  harness.order({ holdUntilMs: 9000, starts: starts('j.0.0.0') });
  harness.answer('start');
  harness.answer('hold', { kind: 'unreachable' });
  harness.advance(900);
  expect(endKinds(harness)).toEqual([]);
  harness.advance(400);
  expect(endKinds(harness)).toEqual([EndKind.LOST]);
});

it('runs at a silent worker, which may carry out polls late, are kept as long', () => {
  const harness = ready();
  harness.order({ holdUntilMs: 30_000, starts: starts('j.0.0.0') });
  harness.answer('start');
  const timedOut: WorkerReply = { kind: 'no-answer', detail: 'timed out' };
  for (let passed = 0; passed < 12_000; passed += 100) {
    if (harness.count('hold') > 0) {
      harness.answer('hold', timedOut);
    }
    harness.advance(100);
  }
  expect(endKinds(harness)).toEqual([]);
  harness.advance(2000);
  expect(endKinds(harness)).toEqual([EndKind.LOST]);
});

it('a worker that left a start unanswered counts as one that acts late', () => {
  const harness = ready();
  harness.order({ holdUntilMs: 30_000, starts: starts('j.0.0.0') });
  harness.answer('start', { kind: 'no-answer', detail: 'timed out' });
  harness.answer('start');
  const [group] = starts('k.0.0.0');
  const recorded = [{ ...group, volatile: false }] as WorkerOrder['starts'];
  harness.order({ holdUntilMs: 30_000, starts: recorded });
  harness.answer('start');
  harness.ends = [
    { number: 1, task: 'k.0.0.0', run: 1, checkpoint: '', kind: EndKind.DONE },
  ];
  harness.answerPoll();
  harness.order({
    holdUntilMs: 30_000,
    recorded: [{ life: String(BORN_MS), number: 1, superseded: true }],
  });
  for (let passed = 0; passed < 8000; passed += 50) {
    harness.advance(50);
    if (harness.count('hold') === 0) {
      continue;
    }
    const { callId, call } = harness.takeCall('hold');
    expect(call.kind === 'hold' && call.ackedThrough).toEqual(0);
    const { clock: clockMs, active, ends } = harness;
    harness.handle({
      kind: 'reply',
      callId,
      reply: { kind: 'held', clockMs, bornMs: BORN_MS, active, ends },
    });
  }
});

it('a stop that the worker rejects is sent again after a delay', () => {
  const harness = ready();
  harness.order({ holdUntilMs: 9000, starts: starts('j.0.0.0') });
  harness.answer('start');
  harness.order({ holdUntilMs: 9000, stops: [{ task: 'j.0.0.0', run: 1 }] });
  const rejected: WorkerReply = {
    kind: 'rejected',
    reason: WorkerRejection.Unhealthy,
    clockMs: undefined,
  };
  harness.answer('stop', rejected);
  expect(harness.count('stop')).toEqual(0);
  harness.advance(60);
  expect(harness.count('stop')).toEqual(1);
});

/** Returns the stop calls that are sent until some time after the order. */
const stopCallsAfter = (runs: number, ms: number): number => {
  const harness = ready();
  const stops = Array.from({ length: runs }, (_, index) => ({
    task: `j.0.0.${String(index)}`,
    run: 1,
  }));
  harness.order({ holdUntilMs: harness.clock + 700, stops });
  harness.advance(ms);
  return harness.count('stop');
};

// A single lost call would keep a run active for 0.3 s more.
it('a stop that is not confirmed is sent again before its call times out', () => {
  expect(stopCallsAfter(1, 90)).toEqual(1);
  expect(stopCallsAfter(1, 100)).toEqual(2);
});

// The polls of the worker need a connection, too.
it('no stop is repeated while many stop calls are pending', () => {
  expect(stopCallsAfter(8, 100)).toEqual(8);
});

it('runs at an unreliable worker are lost only after the delayed-call limit', () => {
  const harness = ready();
  harness.order({ holdUntilMs: 5700, starts: starts('j.0.0.0') });
  harness.answer('start');
  const timedOut: WorkerReply = { kind: 'no-answer', detail: 'timed out' };
  harness.answer('hold', timedOut);
  harness.advance(60);
  harness.answerPoll();
  harness.advance(60);
  for (let passed = 0; passed < 4000; passed += 100) {
    harness.advance(100);
    if (harness.count('hold') > 0) {
      harness.answer('hold', timedOut);
    }
  }
  expect(endKinds(harness)).toEqual([]);
  harness.advance(12_000);
  expect(endKinds(harness)).toEqual([EndKind.LOST]);
});

it('all runs are lost when another incarnation of the worker answers', () => {
  const harness = ready();
  harness.order({ holdUntilMs: 5700, starts: starts('j.0.0.0') });
  harness.answer('start');
  harness.answer('hold', {
    kind: 'rejected',
    reason: WorkerRejection.OtherIncarnation,
    clockMs: undefined,
  });
  expect(endKinds(harness)).toEqual([EndKind.LOST]);
});

it('a leaving worker gets no starts', () => {
  const harness = ready();
  harness.now += 1;
  harness.handle({
    kind: 'announce',
    worker: {
      id: 'i-1',
      bornMs: BORN_MS,
      sequence: harness.now,
      service: 'svc',
      dataCentre: 'dc',
      accepting: false,
      capacity: { cpuMilli: 4000, memoryMb: 1000, accelerators: 0 },
      labels: [],
    },
  });
  harness.order({ holdUntilMs: 5700, starts: starts('j.0.0.0') });
  expect(refusals(harness)).toEqual([StartRefusal.NOT_READY]);
});

it('a stale announcement of an earlier incarnation is ignored', () => {
  const harness = ready();
  harness.handle({
    kind: 'announce',
    worker: {
      id: 'i-0',
      bornMs: BORN_MS - 1,
      sequence: 99,
      service: 'svc',
      dataCentre: 'dc',
      accepting: true,
      capacity: { cpuMilli: 1, memoryMb: 1, accelerators: 0 },
      labels: [],
    },
  });
  harness.order({ holdUntilMs: 5700, starts: starts('j.0.0.0') });
  expect(harness.count('start')).toEqual(1);
});

it('a rejected fencing token is raised and the start is retried', () => {
  const harness = ready();
  harness.order({ holdUntilMs: 5700, starts: starts('j.0.0.0') });
  harness.answer('start', {
    kind: 'rejected',
    reason: WorkerRejection.Fenced,
    clockMs: harness.clock,
  });
  const { call } = harness.takeCall('start');
  expect(call.token > 7).toEqual(true);
});

it('runs found after a restart block all capacity until they are claimed', () => {
  const harness = new DriverHarness();
  harness.active = [{ task: 'j.0.0.0', run: 1, checkpoint: '', percent: 100 }];
  harness.announce();
  harness.openLink();
  expect(harness.reports.at(-1)?.free?.cpuMilli).toEqual(0);
  const runs = [{ task: 'j.0.0.0', run: 1, checkpoint: '' }];
  harness.order({
    holdUntilMs: 5700,
    claims: [
      {
        ...{ queue: 'q', spec: '', needs: NEEDS, runs, volatile: true },
        ...{ priority: 0, maxWaitMs: 0 },
      },
    ],
  });
  harness.order({ holdUntilMs: 5700 });
  expect(harness.reports.at(-1)?.free?.cpuMilli).toEqual(2400);
});

const leaseEndOfNextPoll = (harness: DriverHarness): number | undefined => {
  harness.advance(10);
  const poll = harness.calls.find(({ call }) => call.kind === 'hold')?.call;
  harness.answerPoll();
  return poll?.kind === 'hold' ? poll.untilMs : undefined;
};

// Guards against runs of an earlier driver process that went on for 1.6 s while
// no entry claimed them, after their callers had submitted the jobs again.
it('the lease of inherited runs is renewed only after they are claimed', () => {
  const harness = new DriverHarness();
  const run = { task: 'j.0.0.0', run: 1, checkpoint: '', percent: 100 };
  harness.active = [run];
  harness.announce();
  harness.openLink();
  expect(leaseEndOfNextPoll(harness)).toEqual(undefined);
  expect(leaseEndOfNextPoll(harness)).toEqual(undefined);
  harness.order({ holdUntilMs: 5700, claims: starts('j.0.0.0') });
  expect(leaseEndOfNextPoll(harness) !== undefined).toEqual(true);
});

// Guards against a start call that renews the lease of runs without an owner.
it('no run begins beside inherited runs that are not claimed', () => {
  const harness = new DriverHarness();
  harness.active = [{ task: 'j.0.0.0', run: 1, checkpoint: '', percent: 100 }];
  harness.announce();
  harness.openLink();
  const withoutNeeds = starts('j.0.0.1').map((group) => ({
    ...group,
    needs: undefined,
  }));
  harness.order({ holdUntilMs: 5700, starts: withoutNeeds });
  expect(harness.count('start')).toEqual(0);
});

// Guards against a lease that expires for all runs because of one that nobody
// can claim, and against such a run going on for the time of a claim.
it('a start that is carried out after its refusal is stopped at once', () => {
  const harness = ready();
  harness.order({ holdUntilMs: 5700, starts: starts('j.0.0.0') });
  harness.answer('start');
  harness.active = ['j.0.0.0', 'j.0.0.1'].map((task) => ({
    ...{ task, run: 1, checkpoint: '', percent: 100 },
  }));
  harness.answerPoll();
  const { call } = harness.takeCall('stop');
  expect(call.kind === 'stop' && call.task).toEqual('j.0.0.1');
  expect(leaseEndOfNextPoll(harness) !== undefined).toEqual(true);
});

const doneEnd = (task: string, number: number): ListedEnd => ({
  number,
  task,
  run: 1,
  kind: EndKind.DONE,
  checkpoint: '',
});

it('an end that arrives in the turn of a snapshot is reported once', () => {
  const harness = ready();
  harness.order({ holdUntilMs: 5700, starts: starts('j.0.0.0') });
  harness.answer('start');
  harness.advance(10);
  harness.ends = [doneEnd('j.0.0.0', 1)];
  const { callId } = harness.takeCall('hold');
  harness.handle({
    kind: 'reply',
    callId,
    reply: {
      kind: 'held',
      clockMs: harness.clock,
      bornMs: BORN_MS,
      active: [],
      ends: harness.ends,
    },
  });
  harness.order({ holdUntilMs: 5700, adopt: ['old'] });
  expect(endKinds(harness)).toEqual([EndKind.DONE]);
});

it('an end that arrives without a link to its entry is reported on the next link', () => {
  const harness = ready();
  harness.order({ holdUntilMs: 5700, starts: starts('j.0.0.0') });
  harness.answer('start');
  harness.handle({ kind: 'link-closed', linkId: 1 });
  harness.advance(10);
  harness.ends = [doneEnd('j.0.0.0', 1)];
  harness.answerPoll();
  harness.advance(50);
  harness.openLink(2);
  expect(endKinds(harness)).toEqual([EndKind.DONE]);
});

// Guards against a limit on the clock of an earlier incarnation, which let the
// runs of an unresponsive entry go on although it took them for ended.
it('the time limit of an entry ends with the incarnation of the worker', () => {
  const harness = ready();
  harness.order({ holdUntilMs: 5700 });
  harness.restartWorker();
  const untilMs = harness.clock + 700;
  harness.order({ holdUntilMs: untilMs, starts: starts('j.0.0.0') });
  harness.answer('start');
  harness.active = [{ task: 'j.0.0.0', run: 1, checkpoint: '', percent: 100 }];
  harness.advance(800);
  harness.answerPoll();
  expect(harness.count('stop')).toEqual(1);
});

// Guards against an order that was delayed until the worker had restarted: its
// time limit is on another clock, so its runs began long after it had passed.
it('an order for an earlier incarnation of the worker starts nothing', () => {
  const harness = ready();
  const life = String(BORN_MS);
  harness.restartWorker();
  harness.order({ life, holdUntilMs: 5700, starts: starts('j.0.0.0') });
  expect(harness.count('start')).toEqual(0);
  expect(refusals(harness)).toEqual([StartRefusal.NOT_READY]);
});

const withCapacity = (cpuMilli: number) => ({
  capacity: { cpuMilli, memoryMb: 1000, accelerators: 0 },
});

it('no start exceeds the capacity of a worker that has shrunk', () => {
  const harness = ready();
  harness.order({ holdUntilMs: 5700, starts: starts('j.0.0.0', 'j.0.0.1') });
  harness.heartbeat(withCapacity(1600));
  harness.order({ holdUntilMs: 5700, starts: starts('k.0.0.0') });
  expect(refusals(harness)).toEqual([StartRefusal.NO_ROOM]);
  harness.heartbeat(withCapacity(4800));
  harness.order({ holdUntilMs: 5700, starts: starts('l.0.0.0') });
  expect(harness.count('start')).toEqual(3);
});

// Guards against entries that place by the capacity of the first heartbeat.
it('entries learn at once that the capacity of a worker has changed', () => {
  const harness = ready();
  harness.reports.length = 0;
  harness.heartbeat(withCapacity(1600));
  const [report] = harness.reports;
  expect(report?.hello?.capacity?.cpuMilli).toEqual(1600);
  expect(report?.free?.cpuMilli).toEqual(1600);
});

// Guards against polls that were never delivered and still prolonged the wait
// for the lease: the runs of a crashed worker were repeated 0.7 s late.
it('a refused poll does not extend the lease', () => {
  const harness = ready();
  harness.order({ holdUntilMs: 9000, starts: starts('j.0.0.0') });
  harness.answer('start');
  for (let passed = 0; passed < 1100; passed += 50) {
    harness.answer('hold', { kind: 'unreachable' });
    harness.advance(50);
  }
  expect(endKinds(harness)).toEqual([EndKind.LOST]);
});
