import { expect } from 'earl';
import { DEADLY_JOBS } from '../lib/fleet-sim/fleet-commands.js';
import type { FleetStep } from '../lib/fleet-sim/fleet-commands.js';
import { runFleetScenario } from '../lib/fleet-sim/fleet-scenario.js';
import { StoreMode } from '../lib/sim/faulty-store.js';
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

// Guards against a task that is not taken for the cause of its crashes, because
// the run times at them are known only roughly; two further crashes are unknown,
// since all processes lost power while the store was away.
it('a task that crashes its workers is given up although two crashes are unknown', () => {
  const steps = [
    submit,
    step({ kind: 'submit', entry: 0, job: 3 }, 0),
    step({ kind: 'store', mode: StoreMode.Refusing }, 57),
    step({ kind: 'crash-worker', worker: 3 }, 1298),
    step({ kind: 'power-off-all' }, 1137),
    step({ kind: 'power-off', worker: 0 }, 792),
    step({ kind: 'cut-entry-store', entry: 1 }, 1252),
    step({ kind: 'drain-worker', worker: 1 }, 827),
  ];
  expect(runFleetScenario({ seed: 0, steps })).toEqual([]);
});

/** Returns the ids of the jobs that failed in a scenario, in ascending order. */
const failedJobs = (steps: readonly FleetStep[], seed: number): string[] => {
  const failed = new Set<string>();
  const onLog = (_atMs: number, _entry: string, text: string): void => {
    const [, id] =
      /^job ended .*"job":"(\w+)","state":"failed"/.exec(text) ?? [];
    if (id !== undefined) {
      failed.add(id);
    }
  };
  expect(runFleetScenario({ seed, steps }, { onLog })).toEqual([]);
  return [...failed].sort();
};

// Guards against sound tasks that are given up with the cause of the crashes,
// because all suspects were started together on the only worker of the service.
it('sound jobs beside a task that crashes their only worker complete', () => {
  const jobs = [7, RECORDED, 3, 1, 4, 6];
  const steps = [
    step({ kind: 'configure', renewal: true }, 400),
    ...jobs.map((job) => step({ kind: 'submit', entry: 0, job }, 50)),
  ];
  for (let seed = 0; seed < 10; seed += 1) {
    expect(failedJobs(steps, seed)).toEqual(['000000000000000a']);
  }
});
