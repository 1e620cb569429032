import { expect } from 'earl';
import { WorkerMode } from '../lib/fleet-sim/sim-worker.js';
import { StoreMode } from '../lib/sim/faulty-store.js';
import { brokenRules } from './resend-steps.js';
import { step } from './sample.js';

// Guards against an entry that takes a job over and goes on with an earlier run
// than its predecessor's, whose end then doesn't complete the task.
it('a task that ends under an owner in between does not run again', () => {
  const steps = [
    step({ kind: 'cut', entry: 1, worker: 0 }, 107),
    step({ kind: 'store', mode: StoreMode.Slow }, 1785),
    step(
      {
        kind: 'stop-entry',
        entry: 2,
        startAfterMs: 43,
        store: { mode: StoreMode.Up, afterMs: 3009 },
      },
      2373,
    ),
    step(
      {
        kind: 'stop-entry',
        entry: 0,
        startAfterMs: 785,
        store: { mode: StoreMode.Unresponsive, afterMs: 4691 },
      },
      14,
    ),
    step({ kind: 'cut-entry-store', entry: 0 }, 315),
    step(
      {
        kind: 'stop-entry',
        entry: 1,
        startAfterMs: 840,
        store: { mode: StoreMode.LosingReplies, afterMs: 3181 },
      },
      15,
    ),
    step({ kind: 'kill-driver', worker: 2 }, 1533),
    step({ kind: 'worker', worker: 0, mode: WorkerMode.Unresponsive }, 155),
  ];
  expect(brokenRules(steps)).toEqual({});
});
