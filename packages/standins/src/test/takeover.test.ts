import { expect } from 'earl';
import { declareConfiguration, checkRecovered } from '../lib/sim/scenario.js';
import { EndpointMode } from '../lib/sim/sim-runner.js';
import { StoreMode } from '../lib/sim/faulty-store.js';
import { World } from '../lib/sim/world.js';
import type { ActionInterceptor } from '../lib/sim/world.js';

const LONG_DEADLINE_MS = 120_000;
/** Time within which a member lease expires and a takeover is completed. */
const TAKEOVER_MS = 25_000;

const start = (intercept?: ActionInterceptor) => {
  const world = new World({ seed: 3, ...(intercept ? { intercept } : {}) });
  declareConfiguration(world);
  const [first, second] = world.entries;
  if (!first || !second) {
    throw new Error('The simulated cluster has fewer than two entries.');
  }
  const run = (ms: number): void => {
    world.queue.runUntil(world.queue.nowMs + ms);
  };
  const submission = {
    id: 'job-a',
    taskCount: 6,
    isUrgent: false,
    isFirstAttempt: true,
    deadlineMs: LONG_DEADLINE_MS,
  };
  return { world, first, second, run, submission };
};

const expectNoViolations = (world: World): void => {
  checkRecovered(world);
  expect(world.oracle.violations).toEqual([]);
};

it('a resumed entry cannot claim a job after its takeover', () => {
  const { world, first, second, run, submission } = start();
  first.pause();
  world.submit(first, submission);
  run(TAKEOVER_MS);
  first.resume();
  run(2000);
  world.submit(second, { ...submission, isFirstAttempt: false });
  run(TAKEOVER_MS);
  expectNoViolations(world);
});

it('a resumed entry cannot change an outcome after its takeover', () => {
  let isPaused = false;
  const { world, first, second, run, submission } = start((action, perform) => {
    const isOutcome =
      action.role === 'entry' &&
      action.action.kind === 'store' &&
      JSON.stringify(action.action.req).includes('outcome');
    if (isOutcome && !isPaused) {
      isPaused = true;
      action.process.pause();
      action.process.post(perform);
    } else {
      perform();
    }
  });
  world.submit(first, submission);
  run(5000);
  expect(isPaused).toEqual(true);
  world.runners.forEach((runner) => {
    world.killRunner(runner);
    runner.restart();
  });
  run(TAKEOVER_MS);
  world.queryJob(second, 'job-a', false, 1000);
  run(2000);
  expect(world.oracle.reportedOutcome('job-a')?.kind).toEqual('failed');
  first.resume();
  run(5000);
  expectNoViolations(world);
});

it('a runner gets no task until a successor can find the runner', () => {
  const { world, first, run, submission } = start();
  world.runners.forEach((runner) => {
    runner.mode = EndpointMode.Unannounced;
  });
  run(5000);
  world.submit(first, submission);
  run(1000);
  world.runners.forEach((runner) => {
    world.killRunner(runner);
    runner.mode = EndpointMode.Up;
  });
  // The entry drops the earlier runner incarnations, which got no task.
  run(15_000);
  world.store.mode = StoreMode.Unresponsive;
  world.runners.forEach((runner) => {
    runner.restart();
  });
  run(2500);
  world.killEntry(first);
  world.store.mode = StoreMode.Up;
  run(TAKEOVER_MS);
  first.restart();
  run(TAKEOVER_MS);
  expectNoViolations(world);
});

it('a runner that held a task of an open job is never dropped', () => {
  const { world, first, second, run, submission } = start();
  const [, , ...south] = world.runners;
  const north = world.runners.slice(0, 2);
  south.forEach((runner) => {
    runner.mode = EndpointMode.Unannounced;
  });
  run(5000);
  world.submit(first, { ...submission, taskCount: 12 });
  run(300);
  world.setDataCentreInService(second, 'north', false);
  run(6000);
  north.forEach((runner) => {
    world.killRunner(runner);
  });
  run(15_000);
  world.killEntry(first);
  run(TAKEOVER_MS);
  north.forEach((runner) => {
    runner.restart();
  });
  world.setDataCentreInService(second, 'north', true);
  first.restart();
  run(LONG_DEADLINE_MS);
  expectNoViolations(world);
});

it('an entry that hands over its jobs aborts nothing', () => {
  const { world, first, second, run, submission } = start();
  world.runners.forEach((runner) => {
    runner.isLeaving = true;
  });
  run(3000);
  world.submit(first, submission);
  run(500);
  first.dispatch({ kind: 'stop' });
  run(30_000);
  expect(first.isAlive).toEqual(false);
  world.runners.forEach((runner) => {
    runner.isLeaving = false;
  });
  run(10_000);
  world.queryJob(second, 'job-a', false, 10_000);
  run(10_000);
  expect(world.oracle.reportedOutcome('job-a')?.kind).toEqual('complete');
  first.restart();
  run(TAKEOVER_MS);
  expectNoViolations(world);
});

it('a stopped entry deletes its member row', () => {
  // The stops are spread over more than one lease renewal period of 1.5 s,
  // because a renewal in flight delays the deletion.
  for (let tick = 0; tick < 20; tick++) {
    const { world, first, second, run } = start();
    run(tick * 100);
    first.dispatch({ kind: 'stop' });
    run(3000);
    expect(first.isAlive).toEqual(false);
    const ids = second.core.members.map(({ row }) => row.id);
    expect(ids).toEqual(['entry-3']);
    expect(world.oracle.violations).toEqual([]);
  }
});
