import { expect } from 'earl';
import type { FleetCommand } from '../lib/fleet-sim/fleet-commands.js';
import { runFleetScenario } from '../lib/fleet-sim/fleet-scenario.js';
import { WorkerMode } from '../lib/fleet-sim/sim-worker.js';
import { SUBMIT, WORKERS, forWorkers, resetCallers } from './resend-steps.js';
import { step } from './sample.js';

/** Scenario seed whose worker has been polled just before the start. */
const SEED = 20;

/**
 * Starts are held back for 600 ms while their entry stands still and loses its
 * callers. The worker has a lease that is longer than the limit of these starts.
 */
const brokenRules = (then: FleetCommand): string[] => {
  const steps = [
    step({ kind: 'compact' }, 3000),
    ...forWorkers(WORKERS, (worker) => ({ kind: 'stall', entry: 0, worker })),
    { ...SUBMIT, thenMs: 10 },
    step({ kind: 'pause-entry', entry: 0 }, 0),
    resetCallers(600),
    step({ kind: 'heal' }, 8),
    step(then, 3500),
  ];
  return runFleetScenario({ seed: SEED, steps }).map(
    ({ guarantee }) => guarantee,
  );
};

// Guards against a run that begins late under a lease that was renewed without
// regard to its limit, and that nobody can stop.
it('a start that is read late ends with its limit if its worker goes silent', () => {
  const mode = WorkerMode.Unresponsive;
  expect(brokenRules({ kind: 'worker', worker: 0, mode })).toEqual([]);
});

it('a start that is read late ends with its limit if its driver is killed', () => {
  expect(brokenRules({ kind: 'kill-driver', worker: 0 })).toEqual([]);
});
