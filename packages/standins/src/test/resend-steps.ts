import type {
  FleetCommand,
  FleetStep,
} from '../lib/fleet-sim/fleet-commands.js';
import { LONG_VOLATILE_JOB } from '../lib/fleet-sim/fleet-commands.js';
import { runFleetScenario } from '../lib/fleet-sim/fleet-scenario.js';
import type { FleetScenarioOptions } from '../lib/fleet-sim/fleet-scenario.js';
import { step } from './sample.js';

// Callers of volatile jobs send a job again 1,300 ms after their connection has
// broken. All of its runs must have ended by then.

/** Seeds of the simulation; they decide which workers get the runs. */
export const SEEDS = Array.from({ length: 20 }, (_, seed) => seed);
/** Workers to which the job may go. */
export const WORKERS = [0, 1, 2];
/** Time for the resent job to begin. */
export const RESENT_MS = 3500;

/**
 * @param steps - Steps of a scenario.
 * @param options - Further options of the simulated fleet.
 * @returns The rules that were broken, with the number of seeds for each.
 */
export const brokenRules = (
  steps: readonly FleetStep[],
  options: FleetScenarioOptions = {},
): Record<string, number> => {
  const counts: Record<string, number> = {};
  for (const seed of SEEDS) {
    const violations = runFleetScenario({ seed, steps }, options);
    for (const rule of new Set(violations.map((v) => v.guarantee))) {
      counts[rule] = (counts[rule] ?? 0) + 1;
    }
  }
  return counts;
};

/** Submits a job that is sent to another entry if its caller gets no result. */
export const SUBMIT = step(
  {
    kind: 'submit',
    entry: 0,
    job: LONG_VOLATILE_JOB,
    resend: { to: 1, delayMs: 0 },
  },
  300,
);

export const resetCallers = (thenMs: number): FleetStep =>
  step({ kind: 'reset-callers', entry: 0, isPartial: false }, thenMs);

export const forWorkers = (
  workers: readonly number[],
  toCommand: (worker: number) => FleetCommand,
): FleetStep[] => workers.map((worker) => step(toCommand(worker), 0));
