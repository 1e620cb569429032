import { expect } from 'earl';
import { EndKind } from '../lib/messages.js';
import type { WorkerReport } from '../lib/messages.js';
import { CrashBulkhead } from '../lib/process/crash-bulkhead.js';
import { CrashLedger } from '../lib/process/crash-ledger.js';
import { BatchState } from '../lib/request/batch-job.js';
import type { BatchProgress } from '../lib/request/batch-job.js';
import {
  EntryHarness,
  FakeRows,
  ID,
  done,
  withTwoWorkers,
  nextOwner,
} from './entry-harness.js';

const TASK = `${ID}.0.0.0`;
const OTHER = `${ID}.0.0.1`;

/** Runs at the crash of a worker: names of tasks and how long they had run. */
type Active = Record<string, number>;

const crash = (life: string, active: Active) => ({
  life,
  runs: Object.entries(active).map(([task, activeMs]) => ({
    task,
    run: 1,
    activeMs,
    queue: 'q',
    uncertaintyMs: 0,
  })),
});

/** Report of a worker that has crashed under runs of the test's job. */
const crashReport = (
  life: string,
  run: number,
  active: Active,
): Partial<WorkerReport> => ({
  accepting: false,
  crashes: [crash(life, active)],
  ends: Object.keys(active).map((task) => ({
    task,
    run,
    kind: EndKind.LOST,
    checkpoint: '',
    life,
    number: 0,
  })),
});

// Guards against a task that crashed worker after worker.
it('a volatile job with a task that crashes its workers fails after the second crash', () => {
  const harness = withTwoWorkers();
  harness.submit(1);
  harness.report('w1', crashReport('1', 1, { [TASK]: 12, [OTHER]: 12 }));
  harness.report('w2', { snapshot: true });
  expect(harness.started.slice(2)).toEqual([`${TASK}#2`, `${OTHER}#2`]);
  harness.report('w2', crashReport('1', 2, { [TASK]: 15 }));
  const reply = { kind: 'ended', state: BatchState.Failed } as const;
  expect(harness.replies.get(1)).toEqual(reply);
  expect(harness.stopped).toEqual([`${OTHER}#2`]);
});

// Guards against an entry that starts a task again that another one gave up.
it('a job that has crashed its workers elsewhere fails without a start', () => {
  const harness = withTwoWorkers();
  const crashes = [crash('1', { [TASK]: 12 }), crash('2', { [TASK]: 12 })];
  harness.report('w1', { crashes });
  harness.submit(1);
  const reply = { kind: 'ended', state: BatchState.Failed } as const;
  expect(harness.replies.get(1)).toEqual(reply);
  expect(harness.started).toEqual([]);
});

// Guards against a count of crashes that ends with the process that kept it.
it('the crashes under a recorded job are recorded with its progress', () => {
  const rows = new FakeRows();
  const harness = withTwoWorkers(rows);
  harness.submit(1, { isVolatile: false });
  harness.report('w1', crashReport('1', 1, { [TASK]: 12 }));
  harness.advance(200);
  const progress = [...rows.rows].find(([key]) => key.includes('progress/'));
  const { crashes } = JSON.parse(progress?.[1].value ?? '{}') as BatchProgress;
  expect(crashes).toEqual({
    0: [{ key: 'w1/1', activeMs: 12, uncertaintyMs: 0 }],
  });
});

it('a sound task that sees crashes of others is not given up', () => {
  const ledger = new CrashLedger();
  ledger.add('w1', crash('1', { deadly: 12, sound: 400 }));
  ledger.add('w2', crash('1', { deadly: 14 }));
  ledger.add('w3', crash('1', { 'other-deadly': 13, sound: 30 }));
  const names = ['deadly', 'sound', 'other-deadly'];
  expect(names.map((name) => ledger.isGivenUp(name, true))).toEqual([
    true,
    false,
    false,
  ]);
});

/** Crash under one task, which ran for a time between these bounds. */
const uncertainCrash = (life: string, fromMs: number, toMs: number) => ({
  life,
  runs: [
    {
      task: 'a.0.0.0',
      run: 1,
      activeMs: toMs,
      queue: 'q',
      uncertaintyMs: toMs - fromMs,
    },
  ],
});

// Guards against crashes of one task that are not attributed to it, because a
// poll that timed out told the time of the crash only roughly.
it('run times at two crashes are compared as exactly as they are known', () => {
  for (const [fromMs, toMs, isGivenUp] of [
    [1, 403, true],
    [403, 403, false],
    [0, 3000, false],
    // The run may not have begun.
    [-1, 161, false],
  ] as const) {
    const ledger = new CrashLedger();
    ledger.add('w1', uncertainCrash('1', 1, 161));
    ledger.add('w2', uncertainCrash('1', fromMs, toMs));
    expect(ledger.isGivenUp('a.0.0.0', true)).toEqual(isGivenUp);
  }
});

// Guards against recorded work that is lost because two runs of a sound task met
// unrelated crashes after about the same time.
it('a recorded task is given up after three crashes that point to it', () => {
  const ledger = new CrashLedger();
  for (const [life, isGivenUp] of [
    ['1', false],
    ['2', false],
    ['3', true],
  ] as const) {
    ledger.add(`w${life}`, crash(life, { 'a.0.0.0': 1500 }));
    expect(ledger.isGivenUp('a.0.0.0', false)).toEqual(isGivenUp);
  }
});

// Guards against jobs that wait for their only worker while it crashes again.
it('a recorded task that crashes its only worker is given up after two', () => {
  const ledger = new CrashLedger();
  ledger.add('w1', crash('1', { 'a.0.0.0': 12 }));
  ledger.add('w1', crash('2', { 'a.0.0.0': 12 }));
  expect(ledger.isGivenUp('a.0.0.0', false)).toEqual(true);
});

it('several suspects at a crash are not blamed for it', () => {
  const ledger = new CrashLedger();
  ledger.add('w1', crash('1', { 'a.0.0.0': 12, 'b.0.0.0': 12 }));
  ledger.add('w2', crash('1', { 'a.0.0.0': 12, 'b.0.0.0': 12 }));
  expect(ledger.isGivenUp('a.0.0.0', true)).toEqual(false);
  expect(ledger.isGivenUp('b.0.0.0', true)).toEqual(false);
});

it('a task is given up at the fourth crash whatever else ran there', () => {
  const ledger = new CrashLedger();
  for (const life of ['1', '2', '3']) {
    ledger.add('w1', crash(life, { 'a.0.0.0': 12, 'b.0.0.0': 12 }));
    expect(ledger.isGivenUp('a.0.0.0', true)).toEqual(false);
  }
  ledger.add('w1', crash('4', { 'a.0.0.0': 12 }));
  expect(ledger.isGivenUp('a.0.0.0', true)).toEqual(true);
});

it('restored crashes count like reported ones', () => {
  const ledger = new CrashLedger();
  ledger.restore('a.0.0.0', [{ key: 'w1/1', activeMs: 12 }]);
  ledger.add('w1', crash('1', { 'a.0.0.0': 12 }));
  expect(ledger.crashesOf('a.0.0.0').length).toEqual(1);
  ledger.add('w2', crash('1', { 'a.0.0.0': 12 }));
  expect(ledger.isGivenUp('a.0.0.0', true)).toEqual(true);
});

const named = (count: number) =>
  Array.from({ length: count }, (_, i) => ({
    name: `w${String(i)}`,
    service: 'svc',
  }));

/** Crashes under a fresh run of one queue, beside older runs of another. */
const crashUnder = (
  bulkhead: CrashBulkhead,
  times: readonly number[],
): (string | undefined)[] =>
  times.map((now, index) =>
    bulkhead.onCrash(
      [
        { queue: 'checks', activeMs: 12 },
        { queue: 'renewals', activeMs: index === 0 ? 20 : 150 },
      ],
      now,
    ),
  );

const CRASH_TIMES = [0, 400, 800, 1200, 1600];

it('a queue with fresh runs at five crashes is confined to some workers', () => {
  const bulkhead = new CrashBulkhead();
  expect(bulkhead.workers(named(11)).size).toEqual(0);
  const confined = crashUnder(bulkhead, CRASH_TIMES);
  expect(confined).toEqual([...Array<undefined>(4).fill(undefined), 'checks']);
  expect(bulkhead.isConfined('renewals')).toEqual(false);
  expect(bulkhead.workers(named(11)).size).toEqual(4);
});

it('crashes under fresh runs of two queues confine neither', () => {
  const bulkhead = new CrashBulkhead();
  const fresh = ['checks', 'renewals'].map((queue) => ({ queue, activeMs: 9 }));
  const confined = CRASH_TIMES.map((now) => bulkhead.onCrash(fresh, now));
  expect(confined.every((queue) => queue === undefined)).toEqual(true);
});

it('a queue is released 5 s after the last crash under it', () => {
  const bulkhead = new CrashBulkhead();
  crashUnder(bulkhead, CRASH_TIMES);
  bulkhead.onCrash([{ queue: 'checks', activeMs: 90 }], 3000);
  expect(bulkhead.release(7999)).toEqual([]);
  expect(bulkhead.release(8000)).toEqual(['checks']);
  expect(bulkhead.isConfined('checks')).toEqual(false);
});

/** Returns an entry with links to two workers that has confined a queue. */
const withConfinedQueue = (): EntryHarness => {
  const harness = withTwoWorkers();
  harness.report('w2', { snapshot: true });
  for (const life of ['3', '4', '5', '6', '7']) {
    harness.report('w1', { crashes: [crash(life, { [`${life}.0.0.0`]: 12 })] });
  }
  return harness;
};

// Guards against recorded jobs that wait while only other workers have room.
it('a recorded job of a confined queue may use every worker', () => {
  for (const [usable, other] of [
    ['w1', 'w2'],
    ['w2', 'w1'],
  ] as const) {
    const harness = withConfinedQueue();
    harness.report(usable);
    harness.report(other, { accepting: false });
    harness.submit(1, { isVolatile: false });
    expect(harness.started).toEqual([`${TASK}#1`, `${OTHER}#1`]);
  }
});

it('a volatile job of a confined queue is answered when its worker crashes', () => {
  const harness = withConfinedQueue();
  harness.submit(1);
  const active = { [TASK]: 40, [OTHER]: 40 };
  harness.report('w1', crashReport('1', 1, active));
  harness.report('w2', crashReport('1', 1, active));
  expect(harness.replies.get(1)?.kind).toEqual('in-doubt');
  expect(harness.started.length).toEqual(2);
});

// Guards against an end that is acknowledged while no row includes it, so that
// the next owner starts its task again.
it('no end of a job given up during a takeover is acknowledged before it is saved', () => {
  const rows = new FakeRows();
  withTwoWorkers(rows).submit(1, { isVolatile: false });
  const next = nextOwner(rows);
  const crashes = [crash('2', { [TASK]: 12 }), crash('3', { [TASK]: 12 })];
  next.report('w1', { snapshot: true, adopted: ['e1'], crashes });
  next.report('w1', { ends: [done(OTHER)] });
  next.advance(1000);
  const recorded = next.orders.flatMap(({ order }) => order.recorded);
  expect(recorded).toEqual([]);
});
