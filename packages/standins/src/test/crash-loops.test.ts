import { expect } from 'earl';
import { DEADLY_JOBS } from '../lib/fleet-sim/fleet-commands.js';
import { runFleetScenario } from '../lib/fleet-sim/fleet-scenario.js';
import { step } from './sample.js';

const [, RECORDED] = DEADLY_JOBS;

const submit = step({ kind: 'submit', entry: 0, job: RECORDED }, 0);

// Guards against a task that crashed worker after worker until its job was
// cancelled.
it('a task that crashes its workers is given up', () => {
  expect(runFleetScenario({ seed: 1, steps: [submit] })).toEqual([]);
});

// Guards against a count of crashes that ends with the entry that kept it.
for (const killAfterMs of [5, 12, 300, 1200, 2500, 4000]) {
  it(`a task that crashes its workers is given up if its entry is killed after ${String(killAfterMs)} ms`, () => {
    const steps = [
      { ...submit, thenMs: killAfterMs },
      step({ kind: 'kill-entry', entry: 0 }, 2000),
      step({ kind: 'kill-entry', entry: 1 }, 500),
      step({ kind: 'restart' }, 0),
    ];
    expect(runFleetScenario({ seed: 1, steps })).toEqual([]);
  });
}
