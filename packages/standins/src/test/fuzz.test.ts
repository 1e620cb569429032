import { expect } from 'earl';
import fc from 'fast-check';
import { scenarios } from '../lib/sim/commands.js';
import { runScenario } from '../lib/sim/scenario.js';

const RUNS = 400;
const SEED = 1;

it('guarantees hold in generated scenarios with faults', () => {
  const result = fc.check(
    fc.property(scenarios(), (scenario) => {
      expect(runScenario(scenario)).toEqual([]);
    }),
    { seed: SEED, numRuns: RUNS, endOnFailure: true },
  );
  const replay = `npm run fuzz -- --seed ${String(SEED)} --path "${result.counterexamplePath ?? ''}" --runs 1`;
  expect(result.failed ? replay : '').toEqual('');
});
