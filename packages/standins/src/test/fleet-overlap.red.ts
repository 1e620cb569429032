import { expect } from 'earl';
import type {
  FleetCommand,
  FleetStep,
} from '../lib/fleet-sim/fleet-commands.js';
import { LONG_VOLATILE_JOB } from '../lib/fleet-sim/fleet-commands.js';
import { runFleetScenario } from '../lib/fleet-sim/fleet-scenario.js';
import { WorkerMode } from '../lib/fleet-sim/sim-worker.js';
import { step } from './sample.js';

// Callers of volatile jobs send a job again 1,300 ms after their connection has
// broken. All of its runs must have ended by then.

/** Seeds of the simulation; they decide which workers get the runs. */
const SEEDS = Array.from({ length: 20 }, (_, seed) => seed);
/** Workers to which the job may go. */
const WORKERS = [0, 1, 2];
/** Time for the resent job to begin. */
const RESENT_MS = 3500;

/** @returns How many of the seeds break a rule. */
const countBroken = (steps: readonly FleetStep[]): number =>
  SEEDS.filter((seed) => runFleetScenario({ seed, steps }).length > 0).length;

const SUBMIT = step(
  {
    kind: 'submit',
    entry: 0,
    job: LONG_VOLATILE_JOB,
    resend: { to: 1, delayMs: 0 },
  },
  300,
);

const resetCallers = (thenMs: number): FleetStep =>
  step({ kind: 'reset-callers', entry: 0, isPartial: false }, thenMs);

const forWorkers = (
  workers: readonly number[],
  toCommand: (worker: number) => FleetCommand,
): FleetStep[] => workers.map((worker) => step(toCommand(worker), 0));

it('a busy entry does not extend the runs of a caller that has been reset', () => {
  const steps = [
    SUBMIT,
    step({ kind: 'slow-entry', entry: 0, turnsMs: [100, 500, 1500] }, 101),
    resetCallers(RESENT_MS),
  ];
  expect(countBroken(steps)).toEqual(0);
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
  expect(countBroken(steps)).toEqual(0);
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
  expect(countBroken(steps)).toEqual(0);
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
  expect(countBroken(steps)).toEqual(0);
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
  expect(countBroken(steps)).toEqual(0);
});

it('a restarted driver ends the runs that no entry claims before their job is resent', () => {
  const steps = [
    SUBMIT,
    ...forWorkers(WORKERS, (worker) => ({ kind: 'kill-driver', worker })),
    resetCallers(100),
    step({ kind: 'restart' }, RESENT_MS),
  ];
  expect(countBroken(steps)).toEqual(0);
});

it('runs end before their job is resent after a power-off of entries and drivers', () => {
  const steps = [
    SUBMIT,
    step({ kind: 'power-off-all' }, 100),
    step({ kind: 'restart' }, RESENT_MS),
  ];
  expect(countBroken(steps)).toEqual(0);
});
