import { expect } from 'earl';
import { LONG_VOLATILE_JOB } from '../lib/fleet-sim/fleet-commands.js';
import type { FleetStep } from '../lib/fleet-sim/fleet-commands.js';
import { runFleetScenario } from '../lib/fleet-sim/fleet-scenario.js';
import { HostFault } from '../lib/fleet-sim/sim-batch-entry.js';
import { WorkerMode } from '../lib/fleet-sim/sim-worker.js';
import {
  RESENT_MS,
  SEEDS,
  SUBMIT,
  WORKERS,
  brokenRules,
  forWorkers,
  resetCallers,
} from './resend-steps.js';
import { step } from './sample.js';

/** A volatile job of three tasks that take 1.5 s each. */
const JOB = 2;

/**
 * A busy entry reads a submission whose caller has been reset and has sent the
 * job to another entry.
 */
const LATE_READ = [
  step({ kind: 'slow-entry', entry: 0, turnsMs: [1600] }, 5),
  step(
    { kind: 'submit', entry: 0, job: JOB, resend: { to: 1, delayMs: 0 } },
    10,
  ),
  step({ kind: 'reset-callers', entry: 0, isPartial: false }, 3000),
];

it('a submission that is read after its caller was reset starts no runs', () => {
  expect(brokenRules(LATE_READ)).toEqual({});
});

it('the fleet simulation shows runs that begin before the close of their caller is read', () => {
  expect(
    Object.keys(
      brokenRules(LATE_READ, { hostFault: HostFault.ImmediateSubmissions }),
    ),
  ).toEqual(['one run at a time']);
});

/** A recorded job of seven tasks that take 1.5 s each, for six places. */
const FILLING_JOB = 6;

/** Turns of an entry that becomes slow while a job waits there. */
interface SlowTurns {
  readonly submitAtMs: number;
  readonly slowAtMs: number;
  readonly turnsMs: readonly number[];
  readonly isStandStill: boolean;
  readonly resetAtMs: number;
}

/**
 * Capacity becomes free at about 1.5 s. The caller of the waiting job is reset
 * and sends it to another entry, where it starts before the slow one goes on.
 */
const freedAndReset = ({
  submitAtMs,
  slowAtMs,
  resetAtMs,
  ...turns
}: SlowTurns): FleetStep[] => [
  step({ kind: 'submit', entry: 1, job: FILLING_JOB }, submitAtMs),
  { ...SUBMIT, thenMs: slowAtMs - submitAtMs },
  step({ kind: 'slow-entry', entry: 0, ...turns }, resetAtMs - slowAtMs),
  resetCallers(2 * RESENT_MS),
];

/** The second turn reads the reports of free capacity and the reset. */
const READ_TOGETHER = freedAndReset({
  submitAtMs: 100,
  slowAtMs: 150,
  turnsMs: [1400, 90, 100],
  isStandStill: false,
  resetAtMs: 170,
});

/** The second turn polls the reports and stands still; the reset comes later. */
const STANDS_STILL = freedAndReset({
  submitAtMs: 1300,
  slowAtMs: 1450,
  turnsMs: [100, 1400, 100],
  isStandStill: true,
  resetAtMs: 1560,
});

it('a waiting job whose caller was reset starts no runs when capacity is freed', () => {
  expect(brokenRules(READ_TOGETHER)).toEqual({});
});

it('the fleet simulation shows runs that begin before a reset in the same turn is handled', () => {
  const { LateCloses } = HostFault;
  const rules = brokenRules(READ_TOGETHER, { hostFault: LateCloses });
  expect(Object.keys(rules)).toEqual(['one run at a time']);
});

/** Id of the job that waits. */
const WAITING_JOB_ID = (LONG_VOLATILE_JOB + 1).toString(16).padStart(16, '0');

/** Number of seeds for which the slow entry places runs of the waiting job. */
const countPlacements = (
  steps: readonly FleetStep[],
  hostFault?: HostFault,
): number =>
  SEEDS.filter((seed) => {
    const placed: string[] = [];
    const onLog = (_atMs: number, entry: string, text: string): void => {
      const isPlaced = text.startsWith('runs placed');
      if (entry === 'entry-1' && isPlaced && text.includes(WAITING_JOB_ID)) {
        placed.push(text);
      }
    };
    runFleetScenario({ seed, steps }, { hostFault, onLog });
    return placed.length > 0;
  }).length;

// Worker drivers refuse starts that come this late, so no rule is broken.
it('an entry that stood still places nothing for a caller that was reset meanwhile', () => {
  expect(brokenRules(STANDS_STILL)).toEqual({});
  expect(countPlacements(STANDS_STILL)).toEqual(0);
});

it('the fleet simulation shows placements after the entry stood still', () => {
  const { UnknownPollAge } = HostFault;
  expect(countPlacements(STANDS_STILL, UnknownPollAge) > 0).toEqual(true);
});

it('a busy entry does not extend the runs of a caller that has been reset', () => {
  const steps = [
    SUBMIT,
    step({ kind: 'slow-entry', entry: 0, turnsMs: [100, 500, 1500] }, 101),
    resetCallers(RESENT_MS),
  ];
  expect(brokenRules(steps)).toEqual({});
});

it('runs end before their job is resent if entry and driver are busy', () => {
  const steps = [
    SUBMIT,
    step({ kind: 'slow-entry', entry: 0, turnsMs: [600] }, 1),
    resetCallers(550),
    ...forWorkers([0], (worker) => ({
      kind: 'slow-driver',
      worker,
      turnsMs: [800],
    })),
    step({ kind: 'heal' }, RESENT_MS),
  ];
  expect(brokenRules(steps)).toEqual({});
});

it('runs end before their job is resent if their driver is cut off and busy', () => {
  const steps = [
    SUBMIT,
    ...forWorkers(WORKERS, (worker) => ({ kind: 'cut', entry: 0, worker })),
    resetCallers(600),
    ...forWorkers([0], (worker) => ({
      kind: 'slow-driver',
      worker,
      turnsMs: [800],
    })),
    step({ kind: 'status', entry: 1, job: 0 }, RESENT_MS),
  ];
  expect(brokenRules(steps)).toEqual({});
});

it('runs of a killed entry end before their job is resent if stops are not answered', () => {
  const steps = [
    SUBMIT,
    ...forWorkers(WORKERS, (worker) => ({
      kind: 'worker',
      worker,
      mode: WorkerMode.LosingReplies,
    })),
    step({ kind: 'kill-entry', entry: 0 }, RESENT_MS),
  ];
  expect(brokenRules(steps)).toEqual({});
});

it('runs end before their job is resent if stops are carried out late', () => {
  const steps = [
    SUBMIT,
    ...forWorkers(WORKERS, (worker) => ({
      kind: 'worker',
      worker,
      mode: WorkerMode.Late,
    })),
    step({ kind: 'kill-entry', entry: 0 }, RESENT_MS),
  ];
  expect(brokenRules(steps)).toEqual({});
});

it('a restarted driver ends the runs that no entry claims before their job is resent', () => {
  const steps = [
    SUBMIT,
    ...forWorkers(WORKERS, (worker) => ({ kind: 'kill-driver', worker })),
    resetCallers(100),
    step({ kind: 'restart' }, RESENT_MS),
  ];
  expect(brokenRules(steps)).toEqual({});
});

it('runs end before their job is resent after a power-off of entries and drivers', () => {
  const steps = [
    SUBMIT,
    step({ kind: 'power-off-all' }, 100),
    step({ kind: 'restart' }, RESENT_MS),
  ];
  expect(brokenRules(steps)).toEqual({});
});

// Guards against a start of a killed driver that the worker begins after its
// entry has learnt from the next driver that nothing runs there. For a driver
// that stays away for longer see fleet-overlap.test.ts.
it('a restarted driver lets no late start of the one before run beside a later one', () => {
  for (const absentMs of [200, 1000, 1900]) {
    const steps = [
      step({ kind: 'worker', worker: 0, mode: WorkerMode.LateGrants }, 102),
      step({ kind: 'submit', entry: 0, job: LONG_VOLATILE_JOB }, 3),
      step({ kind: 'kill-driver', worker: 0 }, absentMs),
      step({ kind: 'restart' }, RESENT_MS),
    ];
    expect(brokenRules(steps)).toEqual({});
  }
});
