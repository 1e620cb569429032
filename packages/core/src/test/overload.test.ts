import { expect } from 'earl';
import { EndKind } from '../lib/messages.js';
import { SubmitRefusal } from '../lib/process/batch-events.js';
import {
  CompletionEstimate,
  reservedCapacity,
} from '../lib/process/batch-order.js';
import { OfferedLoad } from '../lib/scheduling/offered-load.js';
import { JobValue } from '../lib/scheduling/job-value.js';
import { selectRemovals } from '../lib/scheduling/overload-policy.js';
import type { PolicyJob } from '../lib/scheduling/overload-policy.js';
import { retryDelayMs } from '../lib/scheduling/retry-delay.js';
import { ServiceRate } from '../lib/scheduling/service-rate.js';
import { WorkerAbsence } from '../lib/scheduling/worker-absence.js';
import {
  CAPACITY,
  CONTENT,
  EntryHarness,
  FakeRows,
  done,
  withWorker,
} from './entry-harness.js';
import { replay, routesOf, utilityOf } from './overload-replay.js';
import type { QueueResult, ReplayQueue } from './overload-replay.js';

const DURATION_MS = 10_000;
const WORKERS = 8;

/** Load of three queues; at a factor of 1 it takes 35% of eight workers. */
const load = (
  factor: number,
  priorities: readonly [number, number, number] = [0, 1, 2],
): ReplayQueue[] => [
  {
    name: 'short',
    priority: priorities[0],
    perSecond: 9.7 * factor,
    tasks: 8,
    runMs: 86,
  },
  {
    name: 'mid',
    priority: priorities[1],
    perSecond: 28.4 * factor,
    tasks: 2,
    runMs: 286,
  },
  {
    name: 'long',
    priority: priorities[2],
    perSecond: 1.76 * factor,
    tasks: 4,
    runMs: 1286,
  },
];

/** Results of loads that several tests look at. */
const results = new Map<number, Map<string, QueueResult>>();

const resultsAt = (factor: number): Map<string, QueueResult> => {
  const known =
    results.get(factor) ?? replay(load(factor), DURATION_MS, WORKERS);
  results.set(factor, known);
  return known;
};

const sum = (
  results: ReadonlyMap<string, QueueResult>,
  field: keyof QueueResult,
): number => [...results.values()].reduce((n, result) => n + result[field], 0);

const queueOf = (
  results: ReadonlyMap<string, QueueResult>,
  name: string,
): QueueResult => {
  const result = results.get(name);
  if (!result) {
    throw new Error(`no queue ${name}`);
  }
  return result;
};

// Guards against an overload in which the highest priority shares the losses, and
// jobs take capacity although they end too late.
it('an overload of 1.3 costs the lower priorities, and less than without priorities', () => {
  const off = replay(load(3.6, [0, 0, 0]), DURATION_MS, WORKERS);
  const on = replay(load(3.6), DURATION_MS, WORKERS);
  expect(utilityOf([queueOf(on, 'short')])).toBeGreaterThan(0.9);
  expect(utilityOf([queueOf(off, 'short')])).toBeLessThan(0.5);
  expect(utilityOf(on.values())).toBeGreaterThan(0.8);
  expect(utilityOf(off.values())).toBeLessThan(0.6);
});

// Guards against starvation of the queue whose jobs are worth least per work.
it('each queue keeps its guaranteed minimum in a lasting overload', () => {
  for (const result of resultsAt(4.8).values()) {
    const kept = result.offered - result.refused - result.givenUp;
    expect(kept).toBeGreaterThanOrEqual(0.3 * result.offered);
  }
});

// Guards against jobs that are held, and refused or given up when it is too late.
it('nearly all refusals of the upper queues come within a quarter of the objective', () => {
  const upper = ['short', 'mid'].map((name) => queueOf(resultsAt(4.8), name));
  const total = (field: keyof QueueResult): number =>
    upper.reduce((n, result) => n + result[field], 0);
  expect(total('refused')).toBeGreaterThan(100);
  expect(total('refusedLate') + total('givenUp')).toBeLessThan(
    0.1 * total('refused'),
  );
});

// Guards against refusals while the workers have free capacity.
it('a load that fits is served without any refusal', () => {
  const served = resultsAt(2.4);
  expect([sum(served, 'refused'), sum(served, 'givenUp')]).toEqual([0, 0]);
  expect(sum(served, 'onTime')).toEqual(sum(served, 'offered'));
});

const policyJob = (
  weight: number,
  workCoreMs: number,
  latestStartMs: number,
): PolicyJob => ({
  queue: `weight-${String(weight)}`,
  weight,
  workCoreMs,
  latestStartMs,
});

it('the job with the lowest weight per work is removed, not the late one', () => {
  const long = policyJob(1, 900, 950);
  const short = policyJob(4, 200, 1000);
  const last = policyJob(2, 100, 2000);
  const conditions = { now: 0, serviceRate: 1, removable: () => 10 };
  const removed = selectRemovals([long, short, last], conditions);
  expect([...removed]).toEqual([long]);
  const all = selectRemovals([long, short, last], {
    ...conditions,
    serviceRate: 2,
  });
  expect(all.size).toEqual(0);
});

// Guards against a queue whose largest jobs are hardly served.
it('the largest jobs of a queue are not removed before all others', () => {
  const values = new JobValue();
  const works = [100, 200, 400, 800];
  for (let i = 0; i < 200; i += 1) {
    values.observe('mixed', works[i % works.length] ?? 0);
  }
  const valuesPerWork = works.map(
    (work) => values.valueOf('mixed', 2, work) / work,
  );
  const [smallest = 0] = valuesPerWork;
  const largest = valuesPerWork.at(-1) ?? 0;
  // With one value for all jobs, the ratio would be that of their work: 8.
  expect(smallest / largest).toBeLessThan(3);
  expect(values.valueOf('other', 2, 500)).toEqual(2);
});

it('no job of a queue at its guaranteed minimum is removed', () => {
  const long = policyJob(1, 900, 950);
  const short = policyJob(4, 200, 1000);
  const removed = selectRemovals([long, short], {
    now: 0,
    serviceRate: 1,
    removable: (queue) => (queue === long.queue ? 0 : 10),
  });
  expect([...removed]).toEqual([short]);
});

it('the guaranteed minimum counts the jobs of the last three seconds', () => {
  const offered = new OfferedLoad();
  for (let at = 0; at < 3000; at += 300) {
    offered.onOffered(CONTENT, at);
  }
  expect(offered.removable('q', 0.3, 3000)).toEqual(7);
  offered.onRefused('q', 3000);
  expect(offered.removable('q', 0.3, 3000)).toEqual(6);
  expect(offered.removable('q', 0.3, 10_000)).toEqual(0);
  expect(offered.removable('other', 0.3, 3000)).toEqual(0);
});

it('the service rate is known only while jobs wait and workers report', () => {
  const rate = new ServiceRate();
  const round = {
    startedWork: 500,
    starts: 2,
    isWaiting: true,
    areReportsRecent: true,
  };
  for (let at = 0; at <= 150; at += 50) {
    rate.observe(round, at);
  }
  expect(rate.rate).toEqual(undefined);
  for (let at = 200; at <= 2000; at += 50) {
    rate.observe(round, at);
  }
  expect(Math.round(rate.rate ?? 0)).toEqual(10);
  rate.observe({ ...round, areReportsRecent: false }, 2050);
  expect(rate.rate).toEqual(undefined);
  for (let at = 2100; at <= 3000; at += 50) {
    rate.observe(round, at);
  }
  expect(Math.round(rate.rate ?? 0)).toEqual(10);
  rate.observe({ ...round, isWaiting: false }, 3050);
  expect(rate.rate).toEqual(undefined);
});

// Guards against a rate that counts starts for which another entry was faster.
it('starts that a worker refuses do not count towards the service rate', () => {
  const rate = new ServiceRate();
  const round = { isWaiting: true, areReportsRecent: true };
  for (let at = 0; at <= 2000; at += 50) {
    rate.observe({ ...round, startedWork: 1000, starts: 2 }, at);
    rate.onStartRefused(500);
  }
  expect(Math.round(rate.rate ?? 0)).toEqual(10);
});

it('retry delays follow the backlog and spread the callers', () => {
  const delays = (backlog: number): number[] =>
    [0.1, 0.4, 0.6, 0.9].map((value) =>
      retryDelayMs({ backlog, serviceRate: 10 }, () => value),
    );
  expect(delays(0)).toEqual([1000, 1000, 1000, 2000]);
  expect(delays(40_000)).toEqual([4000, 5000, 5000, 6000]);
  expect(Math.max(...delays(10 ** 9))).toBeLessThanOrEqual(46_000);
});

it('an absence of workers counts only after a grace period', () => {
  const absence = new WorkerAbsence();
  absence.observe('s', true, 0);
  for (let at = 100; at <= 400; at += 100) {
    absence.observe('s', false, at);
    expect(absence.isAbsent('s', at)).toEqual(at === 400);
  }
  absence.observe('s', true, 450);
  expect(absence.isAbsent('s', 450)).toEqual(false);
  // Nothing is known of the time in between.
  absence.observe('s', false, 5000);
  expect(absence.isAbsent('s', 5000)).toEqual(false);
});

it('lower priorities leave a share of each worker free', () => {
  const { OnTime, Late } = CompletionEstimate;
  expect(reservedCapacity(OnTime, 0, 16_000, 0.12)).toEqual(1920);
  expect(reservedCapacity(Late, 0, 16_000, 0.12)).toEqual(3200);
  expect(reservedCapacity(OnTime, 6000, 16_000, 0.12)).toEqual(0);
});

const QUEUES = [
  { name: 'high', priority: 0 },
  { name: 'low', priority: 2 },
];

const withPriorities = (): EntryHarness => {
  const harness = withWorker();
  harness.entry.routes.apply({ kind: 'config', config: routesOf(QUEUES) });
  return harness;
};

const idOf = (n: number): string => n.toString(16).padStart(16, '0');

const [STEP] = CONTENT.steps;
const oneTask = (estimateMs: number, cpuMilli: number) =>
  STEP
    ? [
        {
          ...STEP,
          count: 1,
          estimateMs,
          needs: { ...STEP.needs, cpuMilli },
        },
      ]
    : [];

// Guards against a low priority that fills the last free capacity just before an
// urgent job arrives.
it('a job of low priority waits for capacity beyond the reserve, an urgent one does not', () => {
  const harness = withPriorities();
  const free = { ...CAPACITY, cpuMilli: 2000 };
  harness.submit(1, { queue: 'high', steps: oneTask(100, 100) }, idOf(1));
  harness.report('w1', { free, ends: [done(`${idOf(1)}.0.0.0`)] });
  const steps = oneTask(100, 1000);
  harness.submit(2, { queue: 'low', priority: 2, steps }, idOf(2));
  expect(harness.started).toEqual([`${idOf(1)}.0.0.0#1`]);
  harness.submit(3, { queue: 'high', steps }, idOf(3));
  expect(harness.started.slice(1)).toEqual([`${idOf(3)}.0.0.0#1`]);
});

it('without a higher priority in the last three seconds nothing is reserved', () => {
  const harness = withPriorities();
  harness.report('w1', { free: { ...CAPACITY, cpuMilli: 2000 } });
  const steps = oneTask(100, 1000);
  harness.submit(2, { queue: 'low', priority: 2, steps }, idOf(2));
  expect(harness.started).toEqual([`${idOf(2)}.0.0.0#1`]);
});

// Guards against an entry that holds callers although it reaches no worker.
it('an entry that is cut off from the workers refuses volatile jobs at once', () => {
  const harness = withWorker();
  harness.submit(1, { isVolatile: false }, idOf(1));
  harness.handle({
    kind: 'link-closed',
    linkId: harness.links.get('w1') ?? 0,
    detail: 'test',
  });
  harness.submit(2, { stretch: 100 }, idOf(2));
  harness.advance(250);
  expect(harness.replies.get(2)).toEqual(undefined);
  harness.advance(100);
  const refusal = {
    kind: 'refused',
    reason: SubmitRefusal.NoWorkers,
    retryAfterMs: 1000,
  } as const;
  expect(harness.replies.get(2)).toEqual(refusal);
  harness.submit(3, { stretch: 100 }, idOf(3));
  expect(harness.replies.get(3)).toEqual(refusal);
  harness.submit(4, { isVolatile: false }, idOf(4));
  harness.advance(2000);
  expect(harness.replies.get(4)).toEqual({ kind: 'accepted' });
});

// Guards against refusals during the first connections after a start.
it('an entry without a link yet holds its first jobs', () => {
  const harness = new EntryHarness(new FakeRows());
  harness.advance(100);
  harness.submit(1, { stretch: 100 });
  harness.advance(1000);
  expect(harness.replies.get(1)).toEqual(undefined);
});

// Guards against a job that is started although its caller can't use the result.
it('a job that is too late to be of use gets no capacity', () => {
  const harness = withPriorities();
  const full = { ...CAPACITY, cpuMilli: 0 };
  harness.report('w1', { free: full });
  const twoTasks = CONTENT.steps;
  harness.submit(1, { queue: 'low', priority: 2, steps: twoTasks }, idOf(1));
  harness.advance(500);
  expect(harness.replies.get(1)).toEqual(undefined);
  harness.now += 200;
  harness.report('w1', { free: CAPACITY });
  expect(harness.started).toEqual([]);
  expect(harness.replies.get(1)?.kind).toEqual('refused');
});

// Guards against a refusal that claims that nothing has run, and against a begun
// job that goes on taking capacity.
it('a begun job that is too late is answered as in doubt and stops', () => {
  const harness = withPriorities();
  harness.report('w1', { free: { ...CAPACITY, cpuMilli: 1700 } });
  harness.submit(1, { queue: 'high' }, idOf(1));
  harness.report('w1', { free: { ...CAPACITY, cpuMilli: 0 } });
  expect(harness.started).toEqual([`${idOf(1)}.0.0.0#1`]);
  for (let passed = 0; passed < 700; passed += 50) {
    harness.advance(50);
    harness.report('w1', { free: { ...CAPACITY, cpuMilli: 0 } });
  }
  expect(harness.replies.get(1)?.kind).toEqual('in-doubt');
  expect(harness.stopped.includes(`${idOf(1)}.0.0.0#1`)).toEqual(true);
});

// Guards against refusals that rest on a service rate which is not known, because
// the workers have not reported.
it('nothing is refused by priority while reports are late', () => {
  const harness = withPriorities();
  const full = { ...CAPACITY, cpuMilli: 0 };
  const submitMany = (from: number): void => {
    for (let n = from; n < from + 40; n += 1) {
      const steps = oneTask(1000, 1600);
      harness.submit(n, { queue: 'low', priority: 2, steps }, idOf(n));
    }
  };
  harness.report('w1', { free: full });
  submitMany(1);
  for (let n = 1; n <= 10; n += 1) {
    harness.advance(40);
    const end = { ...done(`${idOf(n)}.0.0.0`), kind: EndKind.DONE };
    harness.report('w1', {
      ends: [end],
      free: { ...CAPACITY, cpuMilli: 1600 },
    });
    harness.report('w1', { free: full });
  }
  const refused = (): number =>
    [...harness.replies.values()].filter(({ kind }) => kind === 'refused')
      .length;
  expect(refused()).toBeGreaterThan(0);
  const before = refused();
  harness.advance(450);
  submitMany(100);
  expect(refused()).toEqual(before);
});
