import { parseArgs } from 'node:util';
import fc from 'fast-check';
import { scenarios } from '../lib/sim/commands.js';
import { runScenario } from '../lib/sim/scenario.js';

const MS_PER_SECOND = 1000;

const { values } = parseArgs({
  options: {
    runs: { type: 'string', default: '300' },
    seed: { type: 'string', default: '1' },
    path: { type: 'string', default: '' },
    'shrink-seconds': { type: 'string', default: '20' },
  },
});

const seed = Number(values.seed);
const shrinkMs = Number(values['shrink-seconds']) * MS_PER_SECOND;
let runs = 0;
let failedAtMs: number | undefined;

const result = fc.check(
  fc.property(scenarios(), (scenario) => {
    runs += 1;
    if (failedAtMs !== undefined && performance.now() - failedAtMs > shrinkMs) {
      // A smaller case is not looked for any longer.
      return;
    }
    const violations = runScenario(scenario);
    if (violations.length > 0) {
      failedAtMs ??= performance.now();
      throw new Error(
        violations
          .slice(0, 5)
          .map((v) => `${v.promise} at ${v.atMs.toFixed(1)}: ${v.detail}`)
          .join('\n'),
      );
    }
  }),
  { seed, numRuns: Number(values.runs), path: values.path },
);

if (result.failed) {
  const [scenario] = result.counterexample ?? [];
  console.log(`seed of the world: ${String(scenario?.seed)}`);
  for (const step of scenario?.steps ?? []) {
    console.log(JSON.stringify(step));
  }
  console.log((result.errorInstance as Error | null)?.message ?? '');
  console.log(
    `replay: npm run fuzz -- --seed ${String(result.seed)} --path "${result.counterexamplePath ?? ''}" --runs 1`,
  );
  process.exitCode = 1;
}
console.log(
  `${String(runs)} runs, ${result.failed ? '1 failure' : 'no failure'}`,
);
