import { expect } from 'earl';
import { LONG_VOLATILE_JOB } from '../lib/fleet-sim/fleet-commands.js';
import { WorkerMode } from '../lib/fleet-sim/sim-worker.js';
import { brokenRules } from './resend-steps.js';
import { step } from './sample.js';

it('late polls of a killed driver keep no run beside a later one', () => {
  const steps = [
    step({ kind: 'worker', worker: 0, mode: WorkerMode.LateGrants }, 102),
    step({ kind: 'submit', entry: 0, job: LONG_VOLATILE_JOB }, 3),
    step({ kind: 'kill-driver', worker: 0 }, 3634),
  ];
  expect(brokenRules(steps)).toEqual({});
});
