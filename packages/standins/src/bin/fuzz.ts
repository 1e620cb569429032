import { parseArgs } from 'node:util';
import fc from 'fast-check';
import { fleetScenarios } from '../lib/fleet-sim/fleet-commands.js';
import { runFleetScenario } from '../lib/fleet-sim/fleet-scenario.js';
import { HostFault } from '../lib/fleet-sim/sim-batch-entry.js';
import { scenarios } from '../lib/sim/commands.js';
import type { Violation } from '../lib/sim/oracle.js';
import { runScenario } from '../lib/sim/scenario.js';

/**
 * Runs generated scenarios in a simulated world, shrinks the first one that
 * violates a guarantee, and prints its steps with the command that replays it.
 */

const MS_PER_SECOND = 1000;

const { values } = parseArgs({
  options: {
    runs: { type: 'string', default: '300' },
    /** Seed of the generated scenarios. */
    seed: { type: 'string', default: '1' },
    /** Path of a counterexample of fast-check, which is replayed. */
    path: { type: 'string', default: '' },
    /**
     * `estate`: entries with runners beside endpoints; `fleet`: entries on the
     * platform with worker drivers.
     */
    world: { type: 'string', default: 'estate' },
    /** Prints the log lines of the entries; only for `fleet`. */
    log: { type: 'boolean', default: false },
    /** A fault that is planted in the entries, see `HostFault`; for `fleet`. */
    'host-fault': { type: 'string', default: '' },
    /** Maximum time to search for a smaller failing scenario. */
    'shrink-seconds': { type: 'string', default: '20' },
  },
});

const seed = Number(values.seed);
const shrinkLimitMs = Number(values['shrink-seconds']) * MS_PER_SECOND;
let runs = 0;
let failedAtMs: number | undefined;

interface ReplayableScenario {
  readonly seed: number;
  /** Only in scenarios of `fleet`. */
  readonly resendMs?: number;
  readonly steps: readonly object[];
}

interface Counterexample {
  readonly scenario: ReplayableScenario | undefined;
  readonly message: string;
  readonly path: string;
}

/**
 * Runs generated scenarios.
 *
 * @returns The smallest failing scenario found; `undefined` if all pass.
 */
const findFailure = <S extends ReplayableScenario>(
  arbitrary: fc.Arbitrary<S>,
  run: (scenario: S) => readonly Violation[],
): Counterexample | undefined => {
  const property = fc.property(arbitrary, (scenario) => {
    runs += 1;
    const isShrinkTimeOver =
      failedAtMs !== undefined &&
      performance.now() - failedAtMs > shrinkLimitMs;
    if (isShrinkTimeOver) {
      // Every further candidate passes, which ends the shrinking.
      return;
    }
    const violations = run(scenario);
    if (violations.length > 0) {
      failedAtMs ??= performance.now();
      throw new Error(
        violations
          .slice(0, 5)
          .map((v) => `${v.guarantee} at ${v.atMs.toFixed(1)}: ${v.detail}`)
          .join('\n'),
      );
    }
  });
  const runDetails = fc.check(property, {
    seed,
    numRuns: Number(values.runs),
    path: values.path,
  });
  return runDetails.failed
    ? {
        scenario: runDetails.counterexample?.[0],
        message: (runDetails.errorInstance as Error | null)?.message ?? '',
        path: runDetails.counterexamplePath ?? '',
      }
    : undefined;
};

const printLine = (atMs: number, entry: string, text: string): void => {
  console.log(`${atMs.toFixed(1)} ${entry} ${text}`);
};

const failure =
  values.world === 'fleet'
    ? findFailure(fleetScenarios(), (scenario) =>
        runFleetScenario(scenario, {
          announcesLate: true,
          ...(values.log ? { onLog: printLine } : {}),
          hostFault: Object.values(HostFault).find(
            (fault: string) => fault === values['host-fault'],
          ),
        }),
      )
    : findFailure(scenarios(), runScenario);

if (failure) {
  console.log(`simulation seed: ${String(failure.scenario?.seed)}`);
  if (failure.scenario?.resendMs !== undefined) {
    console.log(`resend time: ${String(failure.scenario.resendMs)} ms`);
  }
  for (const step of failure.scenario?.steps ?? []) {
    console.log(JSON.stringify(step));
  }
  console.log(failure.message);
  console.log(
    `replay: npm run fuzz -- --world ${values.world} --seed ${String(seed)} --path "${failure.path}" --runs 1`,
  );
  process.exitCode = 1;
}
console.log(`${String(runs)} runs, ${failure ? '1 failure' : 'no failure'}`);
