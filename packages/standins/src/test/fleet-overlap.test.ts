import { expect } from 'earl';
import { LONG_VOLATILE_JOB } from '../lib/fleet-sim/fleet-commands.js';
import { WorkerMode } from '../lib/fleet-sim/sim-worker.js';
import { brokenRules } from './resend-steps.js';
import { step } from './sample.js';

/** A recorded job of long runs. */
const LONG_RECORDED_JOB = 3;

it('late polls of a killed driver keep no run beside a later one', () => {
  const steps = [
    step({ kind: 'worker', worker: 0, mode: WorkerMode.LateGrants }, 102),
    step({ kind: 'submit', entry: 0, job: LONG_VOLATILE_JOB }, 3),
    step({ kind: 'kill-driver', worker: 0 }, 3634),
  ];
  expect(brokenRules(steps)).toEqual({});
});

it('a late start of a killed driver runs beside no later run of a recorded job', () => {
  const steps = [
    step({ kind: 'worker', worker: 0, mode: WorkerMode.LateGrants }, 102),
    step({ kind: 'submit', entry: 0, job: LONG_RECORDED_JOB }, 25),
    step({ kind: 'kill-driver', worker: 0 }, 3634),
  ];
  expect(brokenRules(steps)).toEqual({});
});

// The worker has left polls unanswered before, which keep runs active that have
// long begun.
it('late polls of a killed driver are waited for at a worker that acts late', () => {
  const steps = [
    step({ kind: 'worker', worker: 0, mode: WorkerMode.LateGrants }, 1500),
    step({ kind: 'submit', entry: 0, job: LONG_RECORDED_JOB }, 400),
    step({ kind: 'kill-driver', worker: 0 }, 3634),
  ];
  expect(brokenRules(steps)).toEqual({});
});
