import { expect } from 'earl';
import { checkRecovered, declareConfiguration } from '../lib/sim/scenario.js';
import { World } from '../lib/sim/world.js';

const JOB_ID = 'job-a';
const LONG_DEADLINE_MS = 120_000;
const TAKEOVER_MS = 25_000;
const KILL_DELAY_MS = 150;

/**
 * The claim of the resubmission finds a row owned by this entry. It must not
 * take that row for its own claim and start all tasks again.
 */
it('a resubmission during the adoption of a job starts no task twice', () => {
  let isResubmitted = false;
  const world: World = new World({
    seed: 1,
    intercept: (action, perform) => {
      const isAdoption =
        action.role === 'entry' &&
        action.action.kind === 'store' &&
        action.action.req.kind === 'transact' &&
        action.action.req.writes.some(
          ({ key, value }) =>
            key === `job/${JOB_ID}` && (value ?? '').includes('"epoch":2'),
        );
      perform();
      const entry = world.entries.find((e) => e === action.process);
      if (isAdoption && !isResubmitted && entry) {
        isResubmitted = true;
        world.queue.after(0, () => {
          world.submit(entry, { ...submission, isFirstAttempt: false });
        });
      }
    },
  });
  const submission = {
    id: JOB_ID,
    taskCount: 60,
    isUrgent: false,
    isFirstAttempt: true,
    deadlineMs: LONG_DEADLINE_MS,
  };
  const run = (ms: number): void => {
    world.queue.runUntil(world.queue.nowMs + ms);
  };
  declareConfiguration(world);
  const [first] = world.entries;
  if (!first) {
    throw new Error('The simulated cluster has no entry.');
  }
  world.submit(first, submission);
  run(KILL_DELAY_MS);
  world.killEntry(first);
  run(TAKEOVER_MS);
  first.restart();
  run(LONG_DEADLINE_MS);
  checkRecovered(world);
  expect(isResubmitted).toEqual(true);
  expect(world.oracle.violations).toEqual([]);
});
