import { expect } from 'earl';
import { StoreMode } from '../lib/sim/faulty-store.js';
import { runFleetScenario } from '../lib/fleet-sim/fleet-scenario.js';
import { step } from './sample.js';

it('a deadly task is not started again after a power-off of all entries', () => {
  // A counterexample of the fleet fuzzer, kept as steps because its path in the
  // generator changes with the commands that are generated.
  const steps = [
    step({ kind: 'submit', entry: 0, job: 9 }, 0),
    step({ kind: 'submit', entry: 0, job: 3 }, 0),
    step({ kind: 'store', mode: StoreMode.Refusing }, 57),
    step({ kind: 'crash-worker', worker: 3 }, 1270),
    step({ kind: 'submit', entry: 0, job: 3 }, 28),
    step({ kind: 'power-off-all' }, 1137),
    step({ kind: 'power-off', worker: 0 }, 792),
    step({ kind: 'cut-entry-store', entry: 1 }, 1252),
    step({ kind: 'drain-worker', worker: 1 }, 827),
  ];
  expect(runFleetScenario({ seed: 0, steps })).toEqual([]);
});
