import { expect } from 'earl';
import type { FleetStep } from '../lib/fleet-sim/fleet-commands.js';
import { runFleetScenario } from '../lib/fleet-sim/fleet-scenario.js';
import { step } from './sample.js';

/** Seeds of the simulation; they decide which workers get the runs. */
const SEEDS = Array.from({ length: 20 }, (_, seed) => seed);
/** A volatile job of three tasks that take 1.5 s each. */
const JOB = 2;

/**
 * @param steps - Steps of a scenario.
 * @param defersSubmissions - See the options of the fleet simulation.
 * @returns The rules that were broken with any of the seeds.
 */
const brokenRules = (
  steps: readonly FleetStep[],
  defersSubmissions = true,
): string[] => {
  const violations = SEEDS.flatMap((seed) =>
    runFleetScenario({ seed, steps }, { defersSubmissions }),
  );
  return [...new Set(violations.map(({ guarantee }) => guarantee))];
};

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
  expect(brokenRules(LATE_READ)).toEqual([]);
});

it('the fleet simulation shows runs that begin before the close of their caller is read', () => {
  expect(brokenRules(LATE_READ, false)).toEqual(['one run at a time']);
});
