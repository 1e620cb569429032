import { expect } from 'earl';
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
