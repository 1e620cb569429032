import { expect } from 'earl';
import { declareConfiguration, checkRecovered } from '../lib/sim/scenario.js';
import { World } from '../lib/sim/world.js';

it('a late announcement of an earlier incarnation loses no task', () => {
  const world = new World({ seed: 5 });
  declareConfiguration(world);
  const [entry] = world.entries;
  const [runner] = world.runners;
  if (!entry || !runner) {
    throw new Error('The simulated cluster has no entries or no runners.');
  }
  world.killRunner(runner);
  runner.restart();
  world.queue.runUntil(world.queue.nowMs + 3000);
  world.submit(entry, {
    id: 'job-a',
    taskCount: 8,
    isUrgent: false,
    isFirstAttempt: true,
  });
  world.queue.runUntil(world.queue.nowMs + 20);
  entry.dispatch({
    kind: 'announce',
    req: {
      runner: runner.name,
      incarnation: `${runner.name}.1`,
      address: runner.name,
      dataCentre: runner.dataCentre,
      endpoint: 'levy',
    },
  });
  world.queue.runUntil(world.queue.nowMs + 30_000);
  checkRecovered(world);
  expect(world.oracle.reportedOutcome('job-a')?.kind).toEqual('complete');
  expect(world.oracle.violations).toEqual([]);
});
