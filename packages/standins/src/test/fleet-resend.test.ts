import { expect } from 'earl';
import { LONG_VOLATILE_JOB } from '../lib/fleet-sim/fleet-commands.js';
import { WorkerMode } from '../lib/fleet-sim/sim-worker.js';
import {
  RESENT_MS,
  SUBMIT,
  WORKERS,
  brokenRules,
  forWorkers,
  resetCallers,
} from './resend-steps.js';
import { step } from './sample.js';

/** A volatile job of three tasks that take 1.5 s each. */
const JOB = 2;

/**
 * A busy entry reads a submission whose caller has been reset and has sent the
 * job to another entry.
 */
const LATE_READ = [
  step({ kind: 'slow-entry', entry: 0, turnsMs: [1600] }, 5),
  step(
    { kind: 'submit', entry: 0, job: JOB, resend: { to: 1, delayMs: 0 } },
    10,
  ),
  step({ kind: 'reset-callers', entry: 0, isPartial: false }, 3000),
];

it('a submission that is read after its caller was reset starts no runs', () => {
  expect(brokenRules(LATE_READ)).toEqual({});
});

it('the fleet simulation shows runs that begin before the close of their caller is read', () => {
  expect(Object.keys(brokenRules(LATE_READ, false))).toEqual([
    'one run at a time',
  ]);
});

it('a busy entry does not extend the runs of a caller that has been reset', () => {
  const steps = [
    SUBMIT,
    step({ kind: 'slow-entry', entry: 0, turnsMs: [100, 500, 1500] }, 101),
    resetCallers(RESENT_MS),
  ];
  expect(brokenRules(steps)).toEqual({});
});

it('runs end before their job is resent if entry and driver are busy', () => {
  const steps = [
    SUBMIT,
    step({ kind: 'slow-entry', entry: 0, turnsMs: [600] }, 1),
    resetCallers(550),
    ...forWorkers([0], (worker) => ({
      kind: 'slow-driver',
      worker,
      turnsMs: [800],
    })),
    step({ kind: 'heal' }, RESENT_MS),
  ];
  expect(brokenRules(steps)).toEqual({});
});

it('runs end before their job is resent if their driver is cut off and busy', () => {
  const steps = [
    SUBMIT,
    ...forWorkers(WORKERS, (worker) => ({ kind: 'cut', entry: 0, worker })),
    resetCallers(600),
    ...forWorkers([0], (worker) => ({
      kind: 'slow-driver',
      worker,
      turnsMs: [800],
    })),
    step({ kind: 'status', entry: 1, job: 0 }, RESENT_MS),
  ];
  expect(brokenRules(steps)).toEqual({});
});

it('runs of a killed entry end before their job is resent if stops are not answered', () => {
  const steps = [
    SUBMIT,
    ...forWorkers(WORKERS, (worker) => ({
      kind: 'worker',
      worker,
      mode: WorkerMode.LosingReplies,
    })),
    step({ kind: 'kill-entry', entry: 0 }, RESENT_MS),
  ];
  expect(brokenRules(steps)).toEqual({});
});

it('runs end before their job is resent if stops are carried out late', () => {
  const steps = [
    SUBMIT,
    ...forWorkers(WORKERS, (worker) => ({
      kind: 'worker',
      worker,
      mode: WorkerMode.Late,
    })),
    step({ kind: 'kill-entry', entry: 0 }, RESENT_MS),
  ];
  expect(brokenRules(steps)).toEqual({});
});

it('a restarted driver ends the runs that no entry claims before their job is resent', () => {
  const steps = [
    SUBMIT,
    ...forWorkers(WORKERS, (worker) => ({ kind: 'kill-driver', worker })),
    resetCallers(100),
    step({ kind: 'restart' }, RESENT_MS),
  ];
  expect(brokenRules(steps)).toEqual({});
});

it('runs end before their job is resent after a power-off of entries and drivers', () => {
  const steps = [
    SUBMIT,
    step({ kind: 'power-off-all' }, 100),
    step({ kind: 'restart' }, RESENT_MS),
  ];
  expect(brokenRules(steps)).toEqual({});
});

// Guards against a start of a killed driver that the worker begins after its
// entry has learnt from the next driver that nothing runs there. For a driver
// that stays away for longer see fleet-overlap.test.ts.
it('a restarted driver lets no late start of the one before run beside a later one', () => {
  for (const absentMs of [200, 1000, 1900]) {
    const steps = [
      step({ kind: 'worker', worker: 0, mode: WorkerMode.LateGrants }, 102),
      step({ kind: 'submit', entry: 0, job: LONG_VOLATILE_JOB }, 3),
      step({ kind: 'kill-driver', worker: 0 }, absentMs),
      step({ kind: 'restart' }, RESENT_MS),
    ];
    expect(brokenRules(steps)).toEqual({});
  }
});
