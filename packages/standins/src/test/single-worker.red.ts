import { expect } from 'earl';
import { runFleetScenario } from '../lib/fleet-sim/fleet-scenario.js';
import type { FleetScenario } from '../lib/fleet-sim/fleet-commands.js';

// Found by the fleet fuzzer with the commands of 47ccb10 (seed 5014 path 80, 5020
// path 189 and 5023 path 59), which later commands no longer generate.
const SCENARIOS: Readonly<Record<string, unknown>> = {
  'seed 5014': {
    seed: 2020547521,
    steps: [
      { command: { kind: 'configure', renewal: true }, thenMs: 193 },
      { command: { kind: 'submit', entry: 1, job: 6 }, thenMs: 1061 },
      { command: { kind: 'submit', entry: 2, job: 9 }, thenMs: 544 },
      { command: { kind: 'resume' }, thenMs: 177 },
      { command: { kind: 'submit', entry: 2, job: 3 }, thenMs: 14 },
      { command: { kind: 'resume' }, thenMs: 124 },
      { command: { kind: 'worker', worker: 0, mode: 'hanging' }, thenMs: 1100 },
      { command: { kind: 'submit', entry: 2, job: 2 }, thenMs: 353 },
      { command: { kind: 'cancel', entry: 0, job: 2 }, thenMs: 817 },
      { command: { kind: 'submit', entry: 2, job: 9 }, thenMs: 14 },
      { command: { kind: 'submit', entry: 0, job: 7 }, thenMs: 60 },
      { command: { kind: 'drain-worker', worker: 3 }, thenMs: 29 },
      { command: { kind: 'store', mode: 'slow' }, thenMs: 578 },
      { command: { kind: 'cut', entry: 1, worker: 0 }, thenMs: 92 },
    ],
  },
  'seed 5020': {
    seed: 1917672214,
    steps: [
      { command: { kind: 'submit', entry: 1, job: 0 }, thenMs: 873 },
      { command: { kind: 'configure', renewal: false }, thenMs: 17 },
      { command: { kind: 'evacuate', south: false, isOut: false }, thenMs: 17 },
      { command: { kind: 'status', entry: 0, job: 7 }, thenMs: 3 },
      { command: { kind: 'resume' }, thenMs: 13 },
      { command: { kind: 'configure', renewal: true }, thenMs: 131 },
      { command: { kind: 'submit', entry: 0, job: 3 }, thenMs: 1235 },
      { command: { kind: 'submit', entry: 0, job: 9 }, thenMs: 67 },
      { command: { kind: 'submit', entry: 2, job: 6 }, thenMs: 273 },
      { command: { kind: 'stall', entry: 0, worker: 3 }, thenMs: 18 },
      { command: { kind: 'submit', entry: 0, job: 7 }, thenMs: 487 },
      { command: { kind: 'status', entry: 2, job: 4 }, thenMs: 0 },
      { command: { kind: 'kill-driver', worker: 1 }, thenMs: 340 },
      { command: { kind: 'submit', entry: 1, job: 1 }, thenMs: 8 },
      { command: { kind: 'cancel', entry: 0, job: 1 }, thenMs: 1187 },
      { command: { kind: 'evacuate', south: false, isOut: true }, thenMs: 163 },
      { command: { kind: 'stop-driver', worker: 3 }, thenMs: 1206 },
      { command: { kind: 'compact' }, thenMs: 8 },
      { command: { kind: 'configure', renewal: false }, thenMs: 131 },
      { command: { kind: 'configure', renewal: true }, thenMs: 99 },
    ],
  },
  'seed 5023': {
    seed: 1689831368,
    steps: [
      { command: { kind: 'pause-entry', entry: 2 }, thenMs: 58 },
      { command: { kind: 'cut-entries', entry: 1 }, thenMs: 549 },
      { command: { kind: 'submit', entry: 2, job: 2 }, thenMs: 19 },
      { command: { kind: 'submit', entry: 2, job: 4 }, thenMs: 10 },
      { command: { kind: 'configure', renewal: true }, thenMs: 1497 },
      { command: { kind: 'stall', entry: 1, worker: 0 }, thenMs: 1350 },
      { command: { kind: 'drain-worker', worker: 3 }, thenMs: 12 },
      { command: { kind: 'submit', entry: 1, job: 0 }, thenMs: 3 },
      { command: { kind: 'submit', entry: 0, job: 0 }, thenMs: 9 },
      { command: { kind: 'cut-one-way', entry: 0, worker: 1 }, thenMs: 15 },
      { command: { kind: 'stop-driver', worker: 3 }, thenMs: 245 },
      { command: { kind: 'submit', entry: 0, job: 9 }, thenMs: 10 },
      { command: { kind: 'submit', entry: 0, job: 3 }, thenMs: 377 },
      { command: { kind: 'stop-driver', worker: 2 }, thenMs: 1410 },
      { command: { kind: 'submit', entry: 1, job: 7 }, thenMs: 81 },
      { command: { kind: 'stall', entry: 2, worker: 2 }, thenMs: 19 },
      { command: { kind: 'restart' }, thenMs: 67 },
      { command: { kind: 'submit', entry: 1, job: 6 }, thenMs: 11 },
      { command: { kind: 'cancel', entry: 0, job: 1 }, thenMs: 104 },
      { command: { kind: 'restart' }, thenMs: 9 },
      { command: { kind: 'power-off-all' }, thenMs: 16 },
      { command: { kind: 'store', mode: 'up' }, thenMs: 5 },
      { command: { kind: 'status', entry: 0, job: 6 }, thenMs: 14 },
    ],
  },
};

for (const [name, scenario] of Object.entries(SCENARIOS)) {
  // Guards against jobs that end late since the only worker of their service
  // crashes under a task of another job.
  it(`jobs beside a task that crashes their only worker end in time, ${name}`, () => {
    expect(runFleetScenario(scenario as FleetScenario)).toEqual([]);
  });
}
