import { expect } from 'earl';
import type { FleetScenario } from '../lib/fleet-sim/fleet-commands.js';
import { runFleetScenario } from '../lib/fleet-sim/fleet-scenario.js';
import { StoreMode } from '../lib/sim/faulty-store.js';
import { step } from './sample.js';

// Guards against an entry that stays without its lease: the write of its member
// row gets no reply, another entry fences it before it has read the row back, and
// it neither registers again nor retires, so it refuses recorded jobs for good.
it('an entry that is fenced before it knows that it is registered retires', () => {
  const scenario: FleetScenario = {
    seed: 923_842_562,
    steps: [
      step(
        { kind: 'submit', entry: 2, job: 5, resend: { to: 1, delayMs: 108 } },
        148,
      ),
      step({ kind: 'slow-driver', worker: 1, turnsMs: [997, 1301] }, 15),
      step(
        {
          kind: 'stop-entry',
          entry: 1,
          startAfterMs: 2,
          store: { mode: StoreMode.LosingReplies, afterMs: 10 },
        },
        11,
      ),
      step({ kind: 'configure', renewal: true }, 1066),
      step(
        { kind: 'submit', entry: 0, job: 3, resend: { to: 1, delayMs: 18 } },
        783,
      ),
      step({ kind: 'stop-driver', worker: 3 }, 0),
      step({ kind: 'stall', entry: 1, worker: 3 }, 0),
      step({ kind: 'resize-worker', worker: 2, share: 1 }, 137),
      step({ kind: 'power-off-all' }, 39),
      step({ kind: 'cut-entries', entry: 0 }, 117),
      step({ kind: 'reset-callers', entry: 1, isPartial: true }, 544),
      step({ kind: 'restart' }, 197),
      step({ kind: 'store', mode: StoreMode.Slow }, 59),
      step(
        { kind: 'submit', entry: 2, job: 10, resend: { to: 1, delayMs: 13 } },
        5,
      ),
    ],
  };
  expect(runFleetScenario(scenario)).toEqual([]);
});
