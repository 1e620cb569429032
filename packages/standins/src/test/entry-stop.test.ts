import { expect } from 'earl';
import { declareConfiguration } from '../lib/sim/scenario.js';
import { World } from '../lib/sim/world.js';

/** Time until a planned stop hands over jobs, 20 s, and a takeover. */
const HAND_OVER_MS = 40_000;

// Guards against a process that keeps a job that another entry has taken over
// until the deadline of the job, without any runner that tells it.
it('stop: an entry ends once its waiting job has been taken over', () => {
  const world = new World({ seed: 5 });
  declareConfiguration(world);
  const [entry] = world.entries;
  if (!entry) {
    throw new Error('The simulated cluster has no entries.');
  }
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
