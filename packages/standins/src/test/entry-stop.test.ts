import { expect } from 'earl';
import { declareConfiguration } from '../lib/sim/scenario.js';
import type { SimEntry } from '../lib/sim/sim-entry.js';
import { World } from '../lib/sim/world.js';

/** Time until a planned stop hands over jobs, 20 s, and a takeover. */
const HAND_OVER_MS = 40_000;

const firstEntry = ({ entries }: World): SimEntry => {
  const [entry] = entries;
  if (!entry) {
    throw new Error('The simulated cluster has no entries.');
  }
  return entry;
};

// Guards against a process that keeps a job that another entry has taken over
// until the deadline of the job, without any runner that tells it.
it('stop: an entry ends once its waiting job has been taken over', () => {
  const world = new World({ seed: 5 });
  declareConfiguration(world);
  const entry = firstEntry(world);
  for (const runner of world.runners) {
    world.killRunner(runner);
  }
  world.queue.runUntil(world.queue.nowMs + 15_000);
  world.submit(entry, {
    id: 'job-a',
    taskCount: 1,
    isUrgent: false,
    isFirstAttempt: true,
    deadlineMs: 600_000,
  });
  world.queue.runUntil(world.queue.nowMs + 1000);
  expect(entry.core.openJobs).toEqual(1);
  let isStopped = false;
  const { queue } = world;
  const beganAtMs = queue.nowMs;
  entry.dispatch({ kind: 'stop' });
  while (!isStopped && queue.nowMs - beganAtMs < 200_000) {
    queue.runUntil(queue.nowMs + 1000);
    isStopped = !entry.isAlive;
  }
  expect(isStopped).toEqual(true);
  expect(queue.nowMs - beganAtMs < HAND_OVER_MS).toEqual(true);
  expect(world.oracle.violations).toEqual([]);
});

// Guards against a process without work that waits for the store until it is
// killed, with the connections of callers still open.
it('stop: an idle entry ends while the store does not answer', () => {
  const world = new World({ seed: 5 });
  declareConfiguration(world);
  const { queue } = world;
  const entry = firstEntry(world);
  // Another entry would fence this one, and its runners would tell it.
  for (const other of world.entries.slice(1)) {
    world.killEntry(other);
  }
  world.network.cut(entry.name, 'store');
  entry.dispatch({ kind: 'stop' });
  queue.runUntil(queue.nowMs + 10_000);
  expect(entry.isAlive).toEqual(false);
  expect(world.oracle.violations).toEqual([]);
});
