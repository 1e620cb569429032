import { expect } from 'earl';
import { PeerMonitor, ProbeScope } from '../lib/process/peer-monitor.js';
import { TableFollower } from '../lib/process/table-follower.js';
import { chooseWorker, maxSlownessOf } from '../lib/process/worker-choice.js';
import type { Candidate } from '../lib/process/worker-choice.js';
import { WorkerClock } from '../lib/process/worker-clock.js';
import { WorkerHealth } from '../lib/process/worker-health.js';
import { EndList } from '../lib/process/end-list.js';
import { EndKind } from '../lib/messages.js';
import { OverdueReason, StallDetector } from '../lib/request/stalled-runs.js';
import { RouteTable } from '../lib/version/route-table.js';
import type { QueueRoute } from '../lib/version/route-table.js';

const route = (name: string, pathPrefix: string): QueueRoute => ({
  name,
  host: 'h',
  pathPrefix,
  service: 's',
  priority: 0,
  attempts: 1,
  stretch: 1,
  slackMs: 0,
  timeoutMs: 1000,
  hasAdvice: false,
});

it('the longest matching prefix selects the queue', () => {
  const table = new RouteTable();
  const routes = [route('a', '/x/'), route('b', '/x/y/')];
  table.apply({
    kind: 'config',
    config: { version: 3, routes, maxBodyBytes: 0 },
  });
  expect(table.match('h', '/x/y/1')?.name).toEqual('b');
  expect(table.match('other', '/x/y/1')).toEqual(undefined);
});

it('an older configuration does not replace a newer one', () => {
  const table = new RouteTable();
  const apply = (version: number): boolean =>
    table.apply({
      kind: 'config',
      config: { version, routes: [], maxBodyBytes: 0 },
    });
  expect([apply(5), apply(4), table.version]).toEqual([true, false, 5]);
});

it('rows that are missing after a lost history are reported as deleted', () => {
  const changedRows: string[] = [];
  const follower = new TableFollower({
    table: 't',
    waitMs: 10,
    onChange: (row) => changedRows.push(`${row.key}=${row.value ?? 'gone'}`),
  });
  const rows = (...keys: string[]) =>
    keys.map((key) => ({ key, value: key, version: 1 }));
  expect(follower.next(0)?.kind).toEqual('table');
  follower.onReply({ kind: 'table', rows: rows('a', 'b'), version: 1 }, 1);
  expect(follower.next(2)?.kind).toEqual('changes');
  follower.onReply({ kind: 'history-lost' }, 3);
  expect(follower.next(4)?.kind).toEqual('table');
  follower.onReply({ kind: 'table', rows: rows('b'), version: 9 }, 5);
  expect(changedRows).toEqual(['a=a', 'b=b', 'a=gone']);
});

it('a confirmation is dated to when its call was sent', () => {
  const follower = new TableFollower({
    table: 't',
    waitMs: 600,
    onChange: () => undefined,
  });
  follower.next(100);
  follower.onReply({ kind: 'table', rows: [], version: 1 }, 900);
  expect(follower.confirmedAtMs).toEqual(100);
});

it('a pause invalidates a pending confirmation', () => {
  const follower = new TableFollower({
    table: 't',
    waitMs: 600,
    onChange: () => undefined,
  });
  follower.next(100);
  follower.invalidate();
  follower.onReply({ kind: 'table', rows: [], version: 1 }, 900);
  expect(follower.confirmedAtMs).toEqual(Number.NEGATIVE_INFINITY);
});

const addPeer = (monitor: PeerMonitor, name: string, at: number): void => {
  const row = { name, address: name, dataCentre: 'dc' };
  monitor.set(name, row, 1, at);
};

it('a store outage is confirmed only while most entries report it', () => {
  const monitor = new PeerMonitor('a');
  ['b', 'c', 'd'].forEach((name) => {
    addPeer(monitor, name, 0);
  });
  const status = (incarnation: string, storeReachable: boolean) => ({
    incarnation,
    storeReachable,
    pending: {},
  });
  monitor.onProbed('b', status('b', false), 100);
  expect(monitor.confirmsStoreOutage(200)).toEqual(false);
  monitor.onProbed('c', status('c', false), 100);
  expect(monitor.confirmsStoreOutage(200)).toEqual(true);
  monitor.onProbed('c', status('c', true), 300);
  monitor.onProbed('b', status('b', false), 1350);
  monitor.onProbed('c', status('c', true), 1350);
  expect(monitor.confirmsStoreOutage(1400)).toEqual(false);
});

it('peers that are first heard from and reach the store speak against an outage', () => {
  const monitor = new PeerMonitor('a');
  ['b', 'c', 'd', 'e', 'f'].forEach((name) => {
    addPeer(monitor, name, 0);
  });
  // The watched peers b, c and d are cut off together with the store.
  ['d', 'e', 'f'].forEach((incarnation) => {
    const status = { incarnation, storeReachable: true, pending: {} };
    monitor.onProbed(incarnation, status, 900);
  });
  expect(monitor.confirmsStoreOutage(1000)).toEqual(false);
});

it('a peer whose address answers as another incarnation is suspected', () => {
  const monitor = new PeerMonitor('a');
  addPeer(monitor, 'b', 0);
  const status = { incarnation: 'b2', storeReachable: true, pending: {} };
  monitor.onProbed('b', status, 10);
  expect(monitor.suspects(11).map((p) => p.incarnation)).toEqual(['b']);
});

const ENTRY_NAMES = Array.from(
  { length: 35 },
  (_, index) => `e${String(index).padStart(2, '0')}`,
);

/** A monitor of one of 35 entries, whose peers answer unless listed as down. */
const runMonitor = (
  own: string,
  ms: number,
  scope = ProbeScope.Neighbours,
  down: readonly string[] = [],
): { monitor: PeerMonitor; probes: number } => {
  const monitor = new PeerMonitor(own);
  ENTRY_NAMES.filter((name) => name !== own).forEach((name) => {
    addPeer(monitor, name, 0);
  });
  let probes = 0;
  for (let now = 0; now < ms; now += 50) {
    for (const { incarnation } of monitor.due(scope, now)) {
      probes += 1;
      const status = { incarnation, storeReachable: true, pending: {} };
      const isDown = down.includes(incarnation);
      monitor.onProbed(incarnation, isDown ? undefined : status, now);
    }
  }
  return { monitor, probes };
};

it('the probes of an entry do not grow with the number of entries', () => {
  const { probes } = runMonitor('e07', 10_000);
  // Three watched peers twice a second and one other a second.
  expect(probes).toBeLessThanOrEqual(10 * 7);
});

it('every entry is watched by three others, also when its neighbours are down', () => {
  const down = ['e09', 'e10', 'e12'];
  const suspecting = ENTRY_NAMES.filter((name) => !down.includes(name)).filter(
    (name) => {
      const { monitor } = runMonitor(name, 4000, ProbeScope.Neighbours, down);
      const suspects = monitor.suspects(4000).map((p) => p.incarnation);
      return suspects.includes('e10');
    },
  );
  expect(suspecting).toInclude('e06', 'e07', 'e08');
  const { monitor } = runMonitor('e08', 4000, ProbeScope.Neighbours, down);
  expect(monitor.successorRank('e10', 4000)).toEqual(0);
  const next = runMonitor('e07', 4000, ProbeScope.Neighbours, down);
  expect(next.monitor.successorRank('e10', 4000)).toEqual(1);
});

it('all peers are heard within the lease when the store is in doubt', () => {
  const { monitor } = runMonitor('e07', 700, ProbeScope.All);
  expect(monitor.areStatusesFresh(700, 700)).toEqual(true);
});

const candidate = (
  name: string,
  overrides: Partial<Candidate> = {},
): Candidate => ({
  name,
  dataCentre: 'dc',
  free: { cpuMilli: 8000, memoryMb: 1000, accelerators: 0 },
  capacity: { cpuMilli: 16_000, memoryMb: 2000, accelerators: 0 },
  labels: [],
  slowness: 1,
  hasPendingOrder: false,
  isEjected: false,
  hasSuspect: false,
  isPreferred: false,
  ...overrides,
});

const requirementsOf = (avoidedWorkers: string[] = []) => ({
  needs: { cpuMilli: 1600, memoryMb: 64, accelerators: 0 },
  requires: undefined,
  affinity: undefined,
  remoteDataFactor: 1.5,
  avoidedWorkers: new Set(avoidedWorkers),
  reserve: () => 0,
  dataCentre: 'dc',
});

it('a slow worker, an ejected one and one that failed the task are chosen last', () => {
  const pick = (candidates: Candidate[], avoidedWorkers: string[] = []) =>
    chooseWorker(requirementsOf(avoidedWorkers), candidates, () => 0.5)?.name;
  const slow = candidate('slow', { slowness: 2 });
  expect(pick([slow, candidate('a')])).toEqual('a');
  const ejected = candidate('aside', { isEjected: true });
  expect(pick([ejected, slow])).toEqual('slow');
  expect(pick([candidate('a'), slow], ['a'])).toEqual('slow');
  expect(pick([ejected])).toEqual('aside');
});

it('a task that must leave a reserve is placed only where it can or on an idle worker', () => {
  const pick = (freeMilli: number, reserveMilli: number) =>
    chooseWorker(
      { ...requirementsOf(), reserve: () => reserveMilli },
      [
        candidate('a', {
          free: { cpuMilli: freeMilli, memoryMb: 1000, accelerators: 0 },
        }),
      ],
      () => 0.5,
    )?.name;
  expect(pick(4000, 3000)).toEqual(undefined);
  expect(pick(4600, 3000)).toEqual('a');
  // The worker is idle: its remaining capacity can't grow any further.
  expect(pick(16_000, 15_000)).toEqual('a');
});

it('tasks share an order unless its worker is slower or full', () => {
  const withoutOrder = candidate('fresh');
  const chosen = (fields: Partial<Candidate>): string | undefined =>
    chooseWorker(
      requirementsOf(),
      [
        withoutOrder,
        candidate('addressed', { hasPendingOrder: true, ...fields }),
      ],
      () => 0.5,
    )?.name;
  expect(chosen({})).toEqual('addressed');
  expect(chosen({ slowness: 1.1 })).toEqual('fresh');
  expect(chosen({ free: { ...withoutOrder.free, cpuMilli: 1000 } })).toEqual(
    'fresh',
  );
});

// Guards against tasks that start where they will be late although another
// worker will soon have free capacity.
it('a task avoids workers at which it would be late, and waits for others if it can', () => {
  const full = { cpuMilli: 0, memoryMb: 0, accelerators: 0 };
  const pick = (
    maxSlowness: number,
    candidates: Candidate[],
    usedShare = 0.5,
  ): string | undefined =>
    chooseWorker(
      { ...requirementsOf(), maxSlowness, usedShare },
      candidates,
      () => 0.5,
    )?.name;
  const slow = candidate('slow', { slowness: 1.7, isPreferred: true });
  const fast = candidate('fast', { slowness: 0.6, free: full });
  expect(pick(1.4, [slow, candidate('a')])).toEqual('a');
  expect(pick(1.4, [slow, fast])).toEqual(undefined);
  expect(pick(1.4, [slow, fast], 0.9)).toEqual('slow');
  expect(pick(2, [slow, fast])).toEqual('slow');
  // It would be late at the fast worker as well, or no other one is usable.
  expect(pick(0.5, [slow, fast])).toEqual('slow');
  expect(pick(1.4, [slow])).toEqual('slow');
  expect(pick(1.4, [slow, { ...fast, isEjected: true }])).toEqual('slow');
});

it('the suitable slowness falls with the width of a step and the steps after it', () => {
  const times = { dueInMs: 180, expectedMs: 100, laterMs: 0, width: 1 };
  const single = maxSlownessOf(times) ?? 0;
  const wide = maxSlownessOf({ ...times, width: 8 }) ?? 0;
  expect(single > 1.3 && single < 1.6).toEqual(true);
  expect(wide > 1.1 && wide < single).toEqual(true);
  expect(maxSlownessOf({ ...times, laterMs: 160 })).toEqual(0);
  expect(maxSlownessOf({ ...times, expectedMs: 0 })).toEqual(undefined);
});

it('a worker that fails runs while others complete theirs is ejected', () => {
  const health = new WorkerHealth();
  for (let i = 0; i < 30; i += 1) {
    health.onDone({ queue: 'q', worker: 'good' }, 100, 100);
  }
  const ejections = [1, 2, 3, 4].map(() => health.onFailed('bad', 0));
  expect(ejections.includes(true)).toEqual(true);
  expect(health.isEjected('bad', 100)).toEqual(true);
  expect(health.isEjected('bad', 5000)).toEqual(false);
});

it('a worker is ejected even if most ends of all workers are its failures', () => {
  const health = new WorkerHealth();
  // Runs that fail immediately free capacity, which attracts the next runs.
  for (let i = 0; i < 40; i += 1) {
    health.onFailed('bad', i * 100);
    if (i % 4 === 0) {
      health.onDone({ queue: 'q', worker: `w${String(i % 3)}` }, 100, 100);
    }
  }
  expect(health.isEjected('bad', 4000)).toEqual(true);
  expect(health.isEjected('w0', 4000)).toEqual(false);
});

it('jobs that fail on every worker eject no worker', () => {
  const health = new WorkerHealth();
  const ejections = Array.from({ length: 40 }, (_, i) =>
    health.onFailed(`w${String(i % 8)}`, i),
  );
  expect(ejections.slice(8).includes(true)).toEqual(false);
});

it('a slow worker is distinguished from a queue with low estimates', () => {
  const health = new WorkerHealth();
  for (let i = 0; i < 300; i += 1) {
    health.onDone({ queue: 'q', worker: `w${String(i % 5)}` }, 100, 140);
  }
  for (let i = 0; i < 20; i += 1) {
    health.onDone({ queue: 'q', worker: 'slow' }, 100, 560);
  }
  const expectedMs = health.expectedMs('q', 100);
  expect(expectedMs > 126 && expectedMs < 154).toEqual(true);
  expect(health.slowness('slow') > 2.5).toEqual(true);
  expect(health.slowness('w1') < 1.3).toEqual(true);
});

/** Health after runs on workers of speeds 0.6, 1 and 1.6, by name. */
const healthAfter = (runs: number): WorkerHealth => {
  const health = new WorkerHealth();
  const speeds = [0.6, 1, 1.6];
  for (let i = 0; i < runs; i += 1) {
    const index = i % 9;
    const queue = i % 2 === 0 ? 'q' : 'r';
    // Errors of the estimates by a factor of up to 1.6, independent of both.
    const error = 1.6 ** (((i * 7) % 13) / 6 - 1);
    const factor = queue === 'q' ? 1.4 : 0.8;
    const tookMs = (100 * factor * error) / (speeds[index % 3] ?? 1);
    health.onDone({ queue, worker: `w${String(index)}` }, 100, tookMs);
  }
  return health;
};

// Guards against a bound that hides fast workers, and against factors of queues
// and workers that drift away in opposite directions.
it('fast workers are known as such, however many runs have completed', () => {
  for (const runs of [300, 30_000]) {
    const health = healthAfter(runs);
    const errors = [1.667, 1, 0.625].map((expected, index) =>
      Math.abs(health.slowness(`w${String(index)}`) / expected - 1),
    );
    expect(Math.max(...errors)).toBeLessThan(0.25);
    expect(Math.abs(health.expectedMs('q', 100) / 140 - 1)).toBeLessThan(0.2);
    expect(Math.abs(health.expectedMs('r', 100) / 80 - 1)).toBeLessThan(0.2);
  }
});

it('a single run that takes seven times as long does not make its worker slow', () => {
  const health = healthAfter(300);
  const before = health.slowness('w1');
  health.onDone({ queue: 'q', worker: 'w1' }, 100, 980);
  expect(health.slowness('w1') / before).toBeLessThan(1.2);
});

it('a worker that is replaced by one of another speed is learned anew', () => {
  const health = healthAfter(300);
  health.reset('w0');
  expect(health.slowness('w0')).toEqual(1);
  for (let i = 0; i < 10; i += 1) {
    health.onDone({ queue: 'q', worker: 'w0' }, 100, 140 / 1.6);
  }
  expect(health.slowness('w0')).toBeLessThan(0.85);
});

// Guards against runs that wait for the higher limit at a worker that began to
// stall after it had completed a later run.
it('an overdue run is long only while its worker goes on completing runs', () => {
  const detector = new StallDetector();
  const runs = { worker: 'w', active: 8, overdue: 1 };
  const reasonAt = (now: number) => detector.reasonOf(runs, 0, now);
  expect(reasonAt(600)).toEqual(OverdueReason.Stalled);
  detector.onDone('w', 50, 200);
  expect(reasonAt(300)).toEqual(OverdueReason.Long);
  expect(reasonAt(600)).toEqual(OverdueReason.Stalled);
  detector.onDone('w', 300, 500);
  expect(reasonAt(600)).toEqual(OverdueReason.Long);
});

it('a clock reading gives a lower bound of later clock values', () => {
  const clock = new WorkerClock();
  clock.observe(1000, 50);
  expect(clock.lowerBound(150)).toEqual(1098);
});

it('ends are acknowledged up to the first unrecorded one', () => {
  const list = new EndList();
  const end = (number: number) => ({
    task: `t${String(number)}`,
    run: 1,
    kind: EndKind.DONE,
    checkpoint: '',
    life: 'l',
    number,
  });
  [1, 2, 3].forEach((number) => list.add(end(number), 0));
  list.markRecorded(2);
  expect(list.ackedThrough).toEqual(0);
  list.markRecorded(1);
  expect(list.ackedThrough).toEqual(2);
});

it('a worker with a suspected task is chosen only if no other one fits', () => {
  const choose = (candidates: Candidate[]): string | undefined =>
    chooseWorker(requirementsOf(), candidates, () => 0)?.name;
  const suspect = candidate('suspect', { hasSuspect: true, isPreferred: true });
  expect(choose([suspect, candidate('other', { slowness: 3 })])).toEqual(
    'other',
  );
  expect(choose([suspect])).toEqual('suspect');
});
