import { expect } from 'earl';
import { StrikeTarget } from '../lib/fleet-sim/fleet-commands.js';
import type {
  FleetStep,
  StrikeFault,
} from '../lib/fleet-sim/fleet-commands.js';
import { RunMoment, WorkerMode } from '../lib/fleet-sim/sim-worker.js';
import { WORKERS, brokenRules, forWorkers } from './resend-steps.js';
import { step } from './sample.js';

// Workers that start again under their ids execute calls that were sent to the
// incarnation before.

/** Jobs of one and two steps, recorded and volatile. */
const JOBS = [0, 1, 2, 3];
const SETTLE_MS = 20_000;

/** Begins faults when the first start of the job is sent. */
const strike = (faults: readonly StrikeFault[]): FleetStep =>
  step({ kind: 'strike', moment: RunMoment.Sent, faults }, 5);

const crash = (delayMs: number, forMs: number): StrikeFault => ({
  target: StrikeTarget.CrashWorker,
  delayMs,
  forMs,
});

const submit = (job: number, thenMs = SETTLE_MS): FleetStep =>
  step(
    { kind: 'submit', entry: 0, job, resend: { to: 1, delayMs: 0 } },
    thenMs,
  );

const KEPT_IDS = { keepsWorkerIds: true, announcesLate: true };

// Guards against a start that is executed after a restart, while its task runs
// elsewhere or for a second time there.
for (const job of JOBS) {
  it(`a start that its worker executes after a restart runs beside no other one: job ${String(job)}`, () => {
    expect(
      brokenRules([strike([crash(0, 300)]), submit(job)], KEPT_IDS),
    ).toEqual({});
  });
}

it('a late start is executed after a restart beside no other one', () => {
  const late = forWorkers(WORKERS, (worker) => ({
    kind: 'worker',
    worker,
    mode: WorkerMode.LateGrants,
  }));
  for (const delayMs of [0, 30, 300]) {
    const steps = [...late, strike([crash(delayMs, 200)]), submit(2)];
    expect(brokenRules(steps, KEPT_IDS)).toEqual({});
  }
});

it('a worker that restarts beside its driver runs nothing twice', () => {
  for (const delayMs of [0, 200]) {
    const kill = { target: StrikeTarget.KillDriver, delayMs, forMs: 900 };
    const steps = [strike([crash(0, 100), kill]), submit(3)];
    expect(brokenRules(steps, KEPT_IDS)).toEqual({});
  }
});

it('a worker that is cut off after its restart runs nothing twice', () => {
  const cut = { target: StrikeTarget.CutLink, delayMs: 200, forMs: 3000 };
  expect(
    brokenRules([strike([crash(0, 300), cut]), submit(3)], KEPT_IDS),
  ).toEqual({});
});

// Guards against a volatile job that fails for two crashes of which its task has
// seen one.
it('a worker that restarts twice runs nothing twice and gives nothing up', () => {
  const steps = [
    strike([crash(0, 100)]),
    submit(2, 400),
    ...forWorkers(WORKERS, (worker) => ({ kind: 'crash-worker', worker })),
    step({ kind: 'heal' }, 200),
    step({ kind: 'restart' }, SETTLE_MS),
  ];
  expect(brokenRules(steps, KEPT_IDS)).toEqual({});
});

// A task that crashes its worker, which starts again 3 s later.
it('a task that crashes a worker that keeps its id runs nothing twice', () => {
  const steps = [submit(8, 6), submit(7, 5)];
  expect(brokenRules(steps, KEPT_IDS)).toEqual({});
});

// Guards against ends of the next incarnation that it forgets unread, for an
// acknowledgement that was meant for the one before.
for (const lateMs of [0, 200]) {
  it(`ends of a restarted worker are read before they are acknowledged: late for ${String(lateMs)} ms`, () => {
    const late = { target: StrikeTarget.LateWorker, delayMs: 0, forMs: lateMs };
    const steps = [
      ...[0, 1].map((job) => submit(job, 300)),
      submit(3, 2800),
      strike([late, crash(0, 60)]),
      submit(4, 30),
      submit(6),
    ];
    expect(brokenRules(steps, KEPT_IDS)).toEqual({});
  });
}
