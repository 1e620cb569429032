import { expect } from 'earl';
import { EndKind, StartRefusal } from '../lib/messages.js';
import type { WorkerOrder, WorkerReport } from '../lib/messages.js';
import { WorkerDriver } from '../lib/process/worker-driver.js';
import { WorkerRejection } from '../lib/process/worker-events.js';
import type {
  ListedEnd,
  ListedRun,
  WorkerAction,
  WorkerCall,
  WorkerEvent,
  WorkerReply,
} from '../lib/process/worker-events.js';

const BORN_MS = 1_000_000;
const NEEDS = { cpuMilli: 1600, memoryMb: 64, accelerators: 0 };

const order = (fields: Partial<WorkerOrder>): WorkerOrder => ({
  entry: 'entry-a',
  incarnation: 'a1',
  holdUntilMs: 0,
  adopt: [],
  starts: [],
  stops: [],
  recorded: [],
  claims: [],
  sequence: 1,
  operatorVersion: 0,
  out: false,
  ...fields,
});

const starts = (...names: string[]): WorkerOrder['starts'] => [
  {
    spec: 'x',
    needs: NEEDS,
    volatile: true,
    runs: names.map((task) => ({ task, run: 1, checkpoint: '' })),
  },
];

/** A driver whose links and worker are played by the test. */
class Bench {
  now = 10_000;
  clock = 5_000;
  active: ListedRun[] = [];
  ends: ListedEnd[] = [];
  readonly reports: WorkerReport[] = [];
  readonly calls: { callId: number; call: WorkerCall }[] = [];
  readonly driver = new WorkerDriver({
    name: 'vm',
    incarnation: 'w1',
    token: 7,
  });

  announce(accepting = true): void {
    this.handle({
      kind: 'announce',
      worker: {
        id: 'i-1',
        bornMs: BORN_MS,
        sequence: this.now,
        service: 'svc',
        dataCentre: 'dc',
        accepting,
        capacity: { cpuMilli: 4000, memoryMb: 1000, accelerators: 0 },
        labels: [],
      },
    });
    this.answerHold();
  }

  link(linkId = 1, incarnation = 'a1'): void {
    this.handle({ kind: 'link-open', linkId });
    this.order({ incarnation, holdUntilMs: this.clock + 700 }, linkId);
  }

  order(fields: Partial<WorkerOrder>, linkId = 1): void {
    this.handle({ kind: 'order', linkId, order: order(fields) });
    this.handle({ kind: 'flush' });
  }

  pass(ms: number): void {
    this.now += ms;
    this.clock += ms;
    this.handle({ kind: 'tick' });
    this.handle({ kind: 'flush' });
  }

  take(kind: WorkerCall['kind']): { callId: number; call: WorkerCall } {
    const at = this.calls.findIndex((entry) => entry.call.kind === kind);
    const [entry] = this.calls.splice(at, at < 0 ? 0 : 1);
    if (!entry) {
      throw new Error(`no ${kind} call is pending`);
    }
    return entry;
  }

  count(kind: WorkerCall['kind']): number {
    return this.calls.filter((entry) => entry.call.kind === kind).length;
  }

  answer(kind: WorkerCall['kind'], reply?: WorkerReply): void {
    const { callId } = this.take(kind);
    const done: WorkerReply = { kind: 'done', clockMs: this.clock };
    this.handle({ kind: 'reply', callId, reply: reply ?? done });
    this.handle({ kind: 'flush' });
  }

  answerHold(): void {
    this.answer('hold', {
      kind: 'held',
      clockMs: this.clock,
      bornMs: BORN_MS,
      active: this.active,
      ends: this.ends,
    });
  }

  handle(event: WorkerEvent): void {
    for (const action of this.driver.handle(event, this.now)) {
      this._note(action);
    }
  }

  private _note(action: WorkerAction): void {
    if (action.kind === 'call') {
      this.calls.push(action);
    } else if (action.kind === 'report') {
      this.reports.push(action.report);
    }
  }
}

/** Returns a driver with an announced worker and a link to one entry. */
const ready = (): Bench => {
  const bench = new Bench();
  bench.announce();
  bench.link();
  bench.pass(10);
  return bench;
};

const refusals = (bench: Bench): StartRefusal[] =>
  bench.reports.flatMap((report) => report.refused.map((r) => r.reason));

const endKinds = (bench: Bench): EndKind[] =>
  bench.reports.flatMap((report) => report.ends.map((end) => end.kind));

it('a start within the free capacity is sent, one beyond it is refused', () => {
  const bench = ready();
  bench.order({ holdUntilMs: 5700, starts: starts('j.0.0.0', 'j.0.0.1') });
  expect(bench.count('start')).toEqual(2);
  bench.order({ holdUntilMs: 5700, starts: starts('j.0.0.2') });
  expect(refusals(bench)).toEqual([StartRefusal.NO_ROOM]);
});

it('a run that is being stopped still uses capacity', () => {
  const bench = ready();
  bench.order({ holdUntilMs: 5700, starts: starts('j.0.0.0', 'j.0.0.1') });
  bench.order({ holdUntilMs: 5700, stops: [{ task: 'j.0.0.0', run: 1 }] });
  bench.order({ holdUntilMs: 5700, starts: starts('k.0.0.0') });
  expect(refusals(bench)).toEqual([StartRefusal.NO_ROOM]);
});

it('a start that times out is retried, then stopped', () => {
  const bench = ready();
  bench.order({ holdUntilMs: 5700, starts: starts('j.0.0.0') });
  bench.answer('start', { kind: 'no-answer', detail: 'timed out' });
  bench.answer('start', { kind: 'no-answer', detail: 'timed out' });
  expect(bench.count('start')).toEqual(0);
  bench.answer('stop');
  // The pending poll was sent before the stop, so its reply proves nothing.
  bench.pass(10);
  bench.answerHold();
  expect(refusals(bench)).toEqual([]);
  bench.pass(10);
  bench.answerHold();
  expect(refusals(bench)).toEqual([StartRefusal.NO_ANSWER]);
});

it('no start may begin after its owner may have abandoned it', () => {
  const bench = ready();
  bench.order({ holdUntilMs: 5100, starts: starts('j.0.0.0') });
  const { call } = bench.take('start');
  expect(call.kind === 'start' && call.untilMs <= 5100 + 700 + 400).toEqual(
    true,
  );
});

it('runs of an unresponsive entry are stopped by the clock of the worker', () => {
  const bench = ready();
  bench.order({ holdUntilMs: 5700, starts: starts('j.0.0.0') });
  bench.answer('start');
  bench.active = [{ task: 'j.0.0.0', run: 1, checkpoint: '', percent: 100 }];
  bench.pass(600);
  bench.answerHold();
  expect(bench.count('stop')).toEqual(0);
  bench.pass(200);
  bench.answerHold();
  expect(bench.count('stop')).toEqual(1);
});

it('the lease is not renewed while a run of an unresponsive entry does not stop', () => {
  const bench = ready();
  bench.order({ holdUntilMs: 5700, starts: starts('j.0.0.0') });
  bench.answer('start');
  bench.active = [{ task: 'j.0.0.0', run: 1, checkpoint: '', percent: 100 }];
  bench.pass(1200);
  bench.answerHold();
  bench.pass(100);
  const { call } = bench.take('hold');
  expect(call.kind === 'hold' && call.untilMs).toEqual(undefined);
});

it('runs expire sooner if the link of their entry closes and is not reopened', () => {
  const bench = ready();
  bench.order({ holdUntilMs: 5700, starts: starts('j.0.0.0') });
  bench.answer('start');
  bench.active = [{ task: 'j.0.0.0', run: 1, checkpoint: '', percent: 100 }];
  bench.handle({ kind: 'link-closed', linkId: 1 });
  bench.pass(500);
  bench.answerHold();
  expect(bench.count('stop')).toEqual(1);
});

it('a task that is active for another entry is stopped before it restarts', () => {
  const bench = ready();
  bench.order({ holdUntilMs: 5700, starts: starts('j.0.0.0') });
  bench.answer('start');
  bench.link(2, 'b1');
  bench.order(
    { incarnation: 'b1', holdUntilMs: 5700, starts: starts('j.0.0.0') },
    2,
  );
  expect(refusals(bench)).toEqual([StartRefusal.STALE_RUN]);
  expect(bench.count('stop')).toEqual(1);
  expect(bench.count('start')).toEqual(0);
});

it('an entry with stale state starts nothing in a data centre out of service', () => {
  const bench = ready();
  bench.handle({ kind: 'link-open', linkId: 2 });
  const hold = { holdUntilMs: bench.clock + 700 };
  const other = { ...hold, incarnation: 'b1' };
  bench.order({ ...other, operatorVersion: 8, out: true }, 2);
  const late = { operatorVersion: 5, starts: starts('j.0.0.0') };
  bench.order({ ...hold, ...late });
  expect(refusals(bench)).toEqual([StartRefusal.NOT_READY]);
  expect(bench.count('start')).toEqual(0);
  bench.order({ ...other, operatorVersion: 9 }, 2);
  bench.order({ ...hold, ...late });
  expect(bench.count('start')).toEqual(1);
});

it('orders of a fenced entry are refused', () => {
  const bench = ready();
  bench.link(2, 'b1');
  bench.order({ incarnation: 'b1', holdUntilMs: 5700, adopt: ['a1'] }, 2);
  bench.order({ holdUntilMs: 5700, starts: starts('j.0.0.0') });
  expect(refusals(bench)).toEqual([StartRefusal.FENCED]);
  expect(bench.reports.at(-1)?.fenced).toEqual(true);
});

it('the end of a run of a recorded job is not acknowledged before its record', () => {
  const bench = ready();
  const [group] = starts('j.0.0.0');
  const recorded = [{ ...group, volatile: false }] as WorkerOrder['starts'];
  bench.order({ holdUntilMs: 5700, starts: recorded });
  bench.answer('start');
  bench.ends = [
    {
      number: 1,
      task: 'j.0.0.0',
      run: 1,
      kind: EndKind.DONE,
      checkpoint: '',
    },
  ];
  bench.answerHold();
  bench.pass(50);
  const before = bench.take('hold').call;
  expect(before.kind === 'hold' && before.ackedThrough).toEqual(0);
});

it('a superseded end is acknowledged only after the lease has expired', () => {
  const bench = ready();
  const [group] = starts('j.0.0.0');
  const recorded = [{ ...group, volatile: false }] as WorkerOrder['starts'];
  bench.order({ holdUntilMs: 5700, starts: recorded });
  bench.answer('start');
  const end = { number: 1, task: 'j.0.0.0', run: 1, checkpoint: '' };
  bench.ends = [{ ...end, kind: EndKind.DONE }];
  bench.answerHold();
  bench.order({
    holdUntilMs: 5700,
    recorded: [{ life: String(BORN_MS), number: 1, superseded: true }],
  });
  bench.order({ holdUntilMs: 5700, starts: starts('k.0.0.0') });
  expect(refusals(bench)).toEqual([StartRefusal.NOT_READY]);
  let leaseMs = 0;
  for (let passed = 0; passed < 3000; passed += 50) {
    bench.pass(50);
    if (bench.count('hold') === 0) {
      continue;
    }
    const { callId, call } = bench.take('hold');
    if (call.kind !== 'hold') {
      continue;
    }
    if (call.ackedThrough > 0) {
      expect(bench.clock > leaseMs).toEqual(true);
      return;
    }
    leaseMs = Math.max(leaseMs, call.untilMs ?? 0);
    const { clock: clockMs, active, ends } = bench;
    bench.handle({
      kind: 'reply',
      callId,
      reply: { kind: 'held', clockMs, bornMs: BORN_MS, active, ends },
    });
  }
  expect('the end').toEqual('acknowledged');
});

it('runs at an unresponsive worker are lost once its lease has expired', () => {
  const bench = ready();
  bench.order({ holdUntilMs: 9000, starts: starts('j.0.0.0') });
  bench.answer('start');
  bench.answer('hold', { kind: 'no-answer', detail: 'timed out' });
  bench.pass(900);
  expect(endKinds(bench)).toEqual([]);
  bench.pass(400);
  expect(endKinds(bench)).toEqual([EndKind.LOST]);
});

it('runs at an unreliable worker are lost only after the delayed-call limit', () => {
  const bench = ready();
  bench.order({ holdUntilMs: 5700, starts: starts('j.0.0.0') });
  bench.answer('start');
  const miss: WorkerReply = { kind: 'no-answer', detail: 'timed out' };
  bench.answer('hold', miss);
  bench.pass(60);
  bench.answerHold();
  bench.pass(60);
  for (let passed = 0; passed < 4000; passed += 100) {
    bench.pass(100);
    if (bench.count('hold') > 0) {
      bench.answer('hold', miss);
    }
  }
  expect(endKinds(bench)).toEqual([]);
  bench.pass(12_000);
  expect(endKinds(bench)).toEqual([EndKind.LOST]);
});

it('all runs are lost when another incarnation of the worker answers', () => {
  const bench = ready();
  bench.order({ holdUntilMs: 5700, starts: starts('j.0.0.0') });
  bench.answer('start');
  bench.answer('hold', {
    kind: 'rejected',
    reason: WorkerRejection.OtherLife,
    clockMs: undefined,
  });
  expect(endKinds(bench)).toEqual([EndKind.LOST]);
});

it('a leaving worker gets no starts', () => {
  const bench = ready();
  bench.now += 1;
  bench.handle({
    kind: 'announce',
    worker: {
      id: 'i-1',
      bornMs: BORN_MS,
      sequence: bench.now,
      service: 'svc',
      dataCentre: 'dc',
      accepting: false,
      capacity: { cpuMilli: 4000, memoryMb: 1000, accelerators: 0 },
      labels: [],
    },
  });
  bench.order({ holdUntilMs: 5700, starts: starts('j.0.0.0') });
  expect(refusals(bench)).toEqual([StartRefusal.NOT_READY]);
});

it('a late announcement of an earlier incarnation is ignored', () => {
  const bench = ready();
  bench.handle({
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
  bench.order({ holdUntilMs: 5700, starts: starts('j.0.0.0') });
  expect(bench.count('start')).toEqual(1);
});

it('a rejected fencing token is raised and the start is retried', () => {
  const bench = ready();
  bench.order({ holdUntilMs: 5700, starts: starts('j.0.0.0') });
  bench.answer('start', {
    kind: 'rejected',
    reason: WorkerRejection.Fenced,
    clockMs: bench.clock,
  });
  const { call } = bench.take('start');
  expect(call.token > 7).toEqual(true);
});

it('runs found after a restart block all capacity until they are claimed', () => {
  const bench = new Bench();
  bench.active = [{ task: 'j.0.0.0', run: 1, checkpoint: '', percent: 100 }];
  bench.announce();
  bench.link();
  expect(bench.reports.at(-1)?.free?.cpuMilli).toEqual(0);
  const runs = [{ task: 'j.0.0.0', run: 1, checkpoint: '' }];
  bench.order({
    holdUntilMs: 5700,
    claims: [{ spec: '', needs: NEEDS, runs, volatile: true }],
  });
  bench.order({ holdUntilMs: 5700 });
  expect(bench.reports.at(-1)?.free?.cpuMilli).toEqual(2400);
});

const doneEnd = (task: string, number: number): ListedEnd => ({
  number,
  task,
  run: 1,
  kind: EndKind.DONE,
  checkpoint: '',
});

it('an end that arrives in the turn of a snapshot is reported once', () => {
  const bench = ready();
  bench.order({ holdUntilMs: 5700, starts: starts('j.0.0.0') });
  bench.answer('start');
  bench.pass(10);
  bench.ends = [doneEnd('j.0.0.0', 1)];
  const { callId } = bench.take('hold');
  bench.handle({
    kind: 'reply',
    callId,
    reply: {
      kind: 'held',
      clockMs: bench.clock,
      bornMs: BORN_MS,
      active: [],
      ends: bench.ends,
    },
  });
  bench.order({ holdUntilMs: 5700, adopt: ['old'] });
  expect(endKinds(bench)).toEqual([EndKind.DONE]);
});

it('an end that arrives without a link to its entry is reported on the next link', () => {
  const bench = ready();
  bench.order({ holdUntilMs: 5700, starts: starts('j.0.0.0') });
  bench.answer('start');
  bench.handle({ kind: 'link-closed', linkId: 1 });
  bench.pass(10);
  bench.ends = [doneEnd('j.0.0.0', 1)];
  bench.answerHold();
  bench.pass(50);
  bench.link(2);
  expect(endKinds(bench)).toEqual([EndKind.DONE]);
});
