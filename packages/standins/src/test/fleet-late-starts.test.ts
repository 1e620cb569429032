import { expect } from 'earl';
import {
  LONG_VOLATILE_JOB,
  StrikeTarget,
} from '../lib/fleet-sim/fleet-commands.js';
import type { FleetStep } from '../lib/fleet-sim/fleet-commands.js';
import { runFleetScenario } from '../lib/fleet-sim/fleet-scenario.js';
import { RunMoment, WorkerMode } from '../lib/fleet-sim/sim-worker.js';
import { RESENT_MS, SUBMIT, forWorkers, resetCallers } from './resend-steps.js';
import { step } from './sample.js';

/** Seeds of the simulation; they decide which worker gets the runs. */
const SEEDS = Array.from({ length: 100 }, (_, seed) => seed);

/** A submission that is disrupted while its starts are on their way. */
const SUBMIT_JUST_BEFORE: FleetStep = { ...SUBMIT, thenMs: 3 };

/** The worker carries out starts late, with their time counted from then. */
const LATE_WORKER = step(
  { kind: 'worker', worker: 0, mode: WorkerMode.LateGrants },
  102,
);

/** A driver that is killed before its worker has answered a start. */
const KILLED_DRIVER = [
  LATE_WORKER,
  SUBMIT_JUST_BEFORE,
  step({ kind: 'kill-driver', worker: 0 }, 0),
  resetCallers(14_000 + RESENT_MS),
];

/** @returns The seeds with which the steps break a rule. */
const brokenSeeds = (steps: readonly FleetStep[], seeds = SEEDS): number[] =>
  seeds.filter((seed) => runFleetScenario({ seed, steps }).length > 0);

// Guards against a start of a killed driver that is carried out beside a run of
// the same job at the entry to which its caller has sent it again.
it('a late start of a killed driver runs beside no later run of a resent volatile job', () => {
  expect(brokenSeeds(KILLED_DRIVER)).toEqual([]);
});

/** Losses of the driver and the entry that have sent a start, by what happens. */
const LOST_WITH_DRIVER: Readonly<Record<string, readonly FleetStep[]>> = {
  'both at once': [
    step({ kind: 'kill-driver', worker: 0 }, 0),
    step({ kind: 'kill-entry', entry: 0 }, 0),
  ],
  'the entry later': [
    step({ kind: 'kill-driver', worker: 0 }, 500),
    step({ kind: 'kill-entry', entry: 0 }, 0),
  ],
  'the driver later': [
    step({ kind: 'kill-entry', entry: 0 }, 100),
    step({ kind: 'kill-driver', worker: 0 }, 0),
  ],
  'the entry after its callers': [
    step({ kind: 'kill-driver', worker: 0 }, 0),
    resetCallers(300),
    step({ kind: 'kill-entry', entry: 0 }, 0),
  ],
};

// Guards against a late start that nobody knows of, because the entry that has
// ordered it is killed with the driver that has sent it.
for (const [order, losses] of Object.entries(LOST_WITH_DRIVER)) {
  it(`a late start of a killed entry and driver runs beside no resent job: ${order}`, () => {
    const settle = step({ kind: 'heal' }, 14_000 + RESENT_MS);
    const steps = [LATE_WORKER, SUBMIT_JUST_BEFORE, ...losses, settle];
    expect(brokenSeeds(steps, SEEDS.slice(0, 40))).toEqual([]);
  });
}

/** Seeds of the scenarios in which no rule is near to be broken. */
const FEW_SEEDS = SEEDS.slice(0, 20);

/** Kills the owner of the next run and its driver as the start is sent. */
const killBoth = (driverMs: number): FleetStep =>
  step(
    {
      kind: 'strike',
      moment: RunMoment.Sent,
      faults: [
        { target: StrikeTarget.KillOwner, delayMs: 3, forMs: 300 },
        { target: StrikeTarget.KillDriver, delayMs: 3, forMs: driverMs },
      ],
    },
    5,
  );

const setWorkers = (mode: WorkerMode): FleetStep[] =>
  forWorkers([0, 1, 2, 3], (worker) => ({ kind: 'worker', worker, mode }));

// Guards against a restarted entry that takes a worker of which it has heard
// nothing for one that holds no starts.
for (const driverMs of [3500, 8600]) {
  for (const job of [3, 6]) {
    it(`a late start of a killed driver runs beside no run of a restarted entry: job ${String(job)}, ${String(driverMs)} ms`, () => {
      const steps = [
        ...setWorkers(WorkerMode.LateGrants),
        killBoth(driverMs),
        step({ kind: 'submit', entry: 0, job }, 20),
        ...setWorkers(WorkerMode.Healthy),
        step({ kind: 'heal' }, 20_000),
      ];
      expect(brokenSeeds(steps, FEW_SEEDS)).toEqual([]);
    });
  }
}

// Guards against a volatile job that its caller sends again to the restarted entry.
it('a restarted entry starts no resent job beside a late start of a killed driver', () => {
  const steps = [
    LATE_WORKER,
    step(
      {
        kind: 'submit',
        entry: 0,
        job: LONG_VOLATILE_JOB,
        resend: { to: 0, delayMs: 0 },
      },
      3,
    ),
    step({ kind: 'kill-driver', worker: 0 }, 0),
    step({ kind: 'kill-entry', entry: 0 }, 300),
    step({ kind: 'restart' }, 0),
    step({ kind: 'kill-driver', worker: 0 }, 14_000 + RESENT_MS),
  ];
  expect(brokenSeeds(steps, SEEDS.slice(0, 40))).toEqual([]);
});

/** Number of log lines of entries with this text. */
const countLines = (steps: readonly FleetStep[], text: string): number => {
  let count = 0;
  for (const seed of FEW_SEEDS) {
    const onLog = (_atMs: number, _entry: string, line: string): void => {
      count += Number(line.startsWith(text));
    };
    runFleetScenario({ seed, steps }, { onLog });
  }
  return count;
};

it('a job is answered in doubt while a start of it may be carried out late', () => {
  const text = 'job not started, another run of it may begin late';
  expect(countLines(KILLED_DRIVER, text) > 0).toEqual(true);
});

it('no notes are sent when workers confirm their stops', () => {
  const steps = [SUBMIT_JUST_BEFORE, resetCallers(14_000)];
  expect(countLines(steps, 'late starts noted')).toEqual(0);
  expect(countLines(steps, 'job accepted') > 0).toEqual(true);
});

// A driver that is only cut off from the entry stops the runs in time, and tells
// the entry to which the job is sent again that it is there.
it('a resent job is started after a cut between its first entry and the drivers', () => {
  const steps = [
    SUBMIT_JUST_BEFORE,
    ...forWorkers([0, 1, 2], (worker) => ({ kind: 'cut', entry: 0, worker })),
    resetCallers(14_000),
  ];
  const text = 'job not started, another run of it may begin late';
  expect(countLines(steps, 'late starts noted {') > 0).toEqual(true);
  expect(countLines(steps, text)).toEqual(0);
  expect(brokenSeeds(steps, FEW_SEEDS)).toEqual([]);
});
