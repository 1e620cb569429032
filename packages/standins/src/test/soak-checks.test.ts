import { expect } from 'earl';
import type { StartRecord } from '../lib/platform/fleet-worker.js';
import { checkJobs } from '../lib/soak/checks.js';
import { newJobRecord } from '../lib/soak/job-record.js';
import type { Attempt } from '../lib/soak/job-record.js';

const ID = '00000000000000ab';

const START: StartRecord = {
  task: `${ID}.0.0.0`,
  run: 1,
  startedAtMs: 1050,
  endedAtMs: 1400,
  endKind: 'done',
  isAcknowledged: true,
};

/** Checks a job whose only task has started once, 50 ms after its submission. */
const brokenPromises = (attempt: Partial<Attempt>): string[] => {
  const job = newJobRecord({
    id: ID,
    isVolatile: true,
    taskCounts: [1],
    runMs: 350,
  });
  job.attempts.push({
    entry: 0,
    startedAtMs: 1000,
    endedAtMs: 1150,
    status: 0,
    isCutByStop: false,
    ...attempt,
  });
  return checkJobs([START], new Map([[ID, job]])).map((v) => v.promise);
};

// Guards against a soak that accepts "not run" for a task that has begun.
it('soak checks: a start of a job whose only attempt was rejected is reported', () => {
  expect(brokenPromises({ status: 503 })).toEqual([
    'a rejected job never starts',
  ]);
  expect(brokenPromises({ status: 504 })).toEqual([]);
});

// Guards against a soak that takes a call for unread although its task began.
it('soak checks: a call cut by a planned stop after a task has started is reported', () => {
  const promise = 'a planned stop answers each call that it has read';
  expect(brokenPromises({ isCutByStop: true })).toEqual([promise]);
  expect(brokenPromises({ isCutByStop: true, endedAtMs: 1040 })).toEqual([]);
  expect(brokenPromises({ isCutByStop: false })).toEqual([]);
});
