import { expect } from 'earl';
import { StrikeTarget } from '../lib/fleet-sim/fleet-commands.js';
import type { FleetScenario } from '../lib/fleet-sim/fleet-commands.js';
import { runFleetScenario } from '../lib/fleet-sim/fleet-scenario.js';
import { RunMoment } from '../lib/fleet-sim/sim-worker.js';
import { StoreMode } from '../lib/sim/faulty-store.js';
import { step } from './sample.js';

const { CrashWorker, CutLink, HangRun, KillOwner, LateStore } = StrikeTarget;
const { LateWorker, PauseOwner, StallLink } = StrikeTarget;

// Guards against the lapse of all runs at a worker that answers its driver: the end
// of a superseded run is acknowledged only after the lease has lapsed, and a run
// that hangs keeps the driver from waiting for a time without runs.
it('a worker in touch keeps its lease while a run hangs', () => {
  const scenario: FleetScenario = {
    seed: 3,
    resendMs: 1617,
    steps: [
      step({ kind: 'crash-worker', worker: 0 }, 175),
      step({ kind: 'cut-workers', entry: 0, spared: 1 }, 14),
      step({ kind: 'resume' }, 308),
      step({ kind: 'status', entry: 0, job: 0 }, 6),
      step({ kind: 'status', entry: 0, job: 0 }, 80),
      step({ kind: 'store', mode: StoreMode.Slow }, 15),
      step(
        {
          kind: 'stop-entry',
          entry: 0,
          startAfterMs: 640,
          store: { mode: StoreMode.Up, afterMs: 2782 },
        },
        28,
      ),
      step({ kind: 'resize-worker', worker: 3, share: 0.5 }, 6),
      step(
        { kind: 'submit', entry: 1, job: 7, resend: { to: 2, delayMs: 15 } },
        44,
      ),
      step(
        { kind: 'submit', entry: 0, job: 1, resend: { to: 0, delayMs: 829 } },
        61,
      ),
      step(
        {
          kind: 'strike',
          moment: RunMoment.Sent,
          faults: [
            { target: StallLink, delayMs: 53, forMs: 3955 },
            { target: LateWorker, delayMs: 405, forMs: 1151 },
            { target: CrashWorker, delayMs: 28, forMs: 4123 },
          ],
        },
        137,
      ),
      step({ kind: 'status', entry: 1, job: 7 }, 134),
      step(
        { kind: 'submit', entry: 1, job: 9, resend: { to: 2, delayMs: 18 } },
        10,
      ),
      step(
        {
          kind: 'strike',
          moment: RunMoment.Started,
          faults: [
            { target: KillOwner, delayMs: 27, forMs: 727 },
            { target: LateStore, delayMs: 1005, forMs: 381 },
            { target: CutLink, delayMs: 12, forMs: 974 },
          ],
        },
        2,
      ),
      step(
        { kind: 'submit', entry: 2, job: 5, resend: { to: 2, delayMs: 12 } },
        185,
      ),
      step(
        { kind: 'submit', entry: 2, job: 2, resend: { to: 2, delayMs: 18 } },
        39,
      ),
      step({ kind: 'restart' }, 1087),
      step(
        {
          kind: 'strike',
          moment: RunMoment.Started,
          faults: [
            { target: CrashWorker, delayMs: 156, forMs: 252 },
            { target: HangRun, delayMs: 831, forMs: 3931 },
            { target: PauseOwner, delayMs: 1440, forMs: 131 },
          ],
        },
        19,
      ),
      step({ kind: 'resume' }, 1478),
      step(
        {
          kind: 'strike',
          moment: RunMoment.Started,
          faults: [{ target: HangRun, delayMs: 34, forMs: 2590 }],
        },
        42,
      ),
    ],
  };
  expect(runFleetScenario(scenario)).toEqual([]);
});
