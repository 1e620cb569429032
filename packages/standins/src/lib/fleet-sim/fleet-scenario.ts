import { BatchState, JOB_PARTS, fleetKeys } from '@sapphiremux/core';
import type { BatchContent, JobStepContent } from '@sapphiremux/core';
import type { NetworkFault } from '../sim/network.js';
import type { Violation } from '../sim/oracle.js';
import {
  DEADLY_JOBS,
  JOB_COUNT,
  LONGEST_VOLATILE_JOB,
  LONG_VOLATILE_JOB,
  StrikeTarget,
} from './fleet-commands.js';
import type { FleetCommand, FleetScenario } from './fleet-commands.js';
import { FleetWorld } from './fleet-world.js';
import type { FleetWorldOptions, StruckRun } from './fleet-world.js';
import type { SimBatchEntry } from './sim-batch-entry.js';
import type { SimDriver } from './sim-driver.js';
import { encodeSpec, padSpec } from './sim-spec.js';
import { MAX_LATE_MS, StoreMode } from '../sim/faulty-store.js';
import { DRAIN_DURATION_MS, WorkerMode } from './sim-worker.js';
import type { SimWorker } from './sim-worker.js';

/** Time until the entries and workers are ready. */
const STARTUP_MS = 6000;
/** Time within which all leases and retries expire and all jobs end. */
const SETTLE_MS = 24_000;
/** Time within which planned stops that have begun are completed. */
const PLANNED_STOP_MS = 7000;
/** Time from the begin of a store fault until a draining worker leaves. */
const STORE_FAULT_LEAD_MS = 500;
/** Time from the planned end of a worker to the start of the next incarnation. */
const MAINTENANCE_MS = 2000;
/** Time within which a registration with other content is replaced. */
const ROW_REPAIR_MS = 2000;
/** Time within which a job for a single idle worker ends. */
const WORKER_JOBS_MS = 4000;
/** Time for the replies to the final status requests. */
const FINAL_STATUS_MS = 4000;

/** Options of a simulated fleet that its scenario does not set. */
export type FleetScenarioOptions = Omit<
  FleetWorldOptions,
  'seed' | 'size' | 'resendMs'
>;

/**
 * Runs only the commands of a scenario, which takes a fifth of the time.
 *
 * @param scenario - Seed and commands.
 * @param options - Further options of the simulated fleet.
 * @returns The rules that were broken by the end of the last step.
 */
export const runFleetSteps = (
  scenario: FleetScenario,
  options: FleetScenarioOptions = {},
): readonly Violation[] => playSteps(scenario, options).oracle.violations;

/**
 * Runs a scenario against a simulated fleet, ends all faults and checks that
 * every accepted job ends. Runs of the same scenario are identical.
 *
 * @param scenario - Seed and commands.
 * @param options - Further options of the simulated fleet.
 * @returns The rules that were broken.
 */
export const runFleetScenario = (
  scenario: FleetScenario,
  options: FleetScenarioOptions = {},
): readonly Violation[] => {
  const { seed } = scenario;
  const world = playSteps(scenario, options);
  const { queue } = world;
  // The faults last until the planned stops that have begun have ended.
  queue.runUntil(Math.max(queue.nowMs, world.stopsEndMs));
  world.recover();
  for (const worker of world.workers) {
    world.setWorkerMode(worker, WorkerMode.Healthy);
    worker.resize(1);
  }
  world.configure('levy');
  world.evacuate('north', false);
  world.evacuate('south', false);
  queue.runUntil(queue.nowMs + PLANNED_STOP_MS);
  recoverProcesses(world, 'restart');
  queue.runUntil(queue.nowMs + SETTLE_MS);
  checkAcceptedJobsEnded(world);
  replaceWorker(world, seed);
  submitToEachWorker(world);
  checkAcceptedJobsEnded(world);
  return world.oracle.violations;
};

const playSteps = (
  { seed, resendMs, steps }: FleetScenario,
  options: FleetScenarioOptions,
): FleetWorld => {
  const world = new FleetWorld({ ...options, seed, resendMs });
  const { queue } = world;
  world.configure('levy');
  queue.runUntil(STARTUP_MS);
  for (const { command, thenMs } of steps) {
    applyCommand(world, command, seed);
    queue.runUntil(queue.nowMs + thenMs);
  }
  return world;
};

const applyCommand = (
  world: FleetWorld,
  command: FleetCommand,
  seed: number,
): void => {
  switch (command.kind) {
    case 'submit':
      world.submit(
        entryOf(world, command.entry),
        jobId(command.job),
        sizedContent(command.job, seed),
        command.resend && {
          ...command.resend,
          to: entryOf(world, command.resend.to),
        },
      );
      return;
    case 'reset-callers': {
      const entry = entryOf(world, command.entry);
      world.oracle.onFault(entry.name, false);
      world.resetCallers(entry, command.isPartial);
      return;
    }
    case 'slow-entry':
      slowDown(world, entryOf(world, command.entry), command);
      return;
    case 'slow-driver':
      slowDown(world, driverOf(world, command.worker), command);
      return;
    case 'status':
    case 'cancel':
      world.sendJobRequest(
        entryOf(world, command.entry),
        jobId(command.job),
        command.kind,
      );
      return;
    case 'configure':
      world.configure(command.renewal ? 'renewal' : 'levy');
      return;
    case 'evacuate':
      world.evacuate(command.south ? 'south' : 'north', command.isOut);
      return;
    case 'store':
      world.setStore(command.mode);
      return;
    case 'crash-loop':
      crashRepeatedly(world, command);
      return;
    case 'strike':
      strike(world, command);
      return;
    case 'compact':
      world.store.compact();
      return;
    case 'heal':
    case 'resume':
    case 'restart':
      recoverProcesses(world, command.kind);
      return;
    case 'power-off-all':
      world.entries.forEach((entry) => {
        world.killEntry(entry);
      });
      world.drivers.forEach((driver) => {
        world.killDriver(driver);
      });
      return;
    case 'worker':
      world.setWorkerMode(workerOf(world, command.worker), command.mode);
      return;
    case 'resize-worker':
      workerOf(world, command.worker).resize(command.share);
      return;
    case 'crash-worker':
      workerOf(world, command.worker).crash();
      return;
    case 'drain-worker':
      workerOf(world, command.worker).drain();
      return;
    case 'lose-row':
      world.store.put(
        fleetKeys.worker(driverOf(world, command.worker).name),
        null,
      );
      return;
    case 'cut':
    case 'cut-one-way':
    case 'silence':
    case 'stall':
      injectNetworkFault(world, command);
      return;
    case 'cut-workers':
      cutWorkers(world, command);
      return;
    case 'stop-entry':
      stopEntry(world, command);
      return;
    case 'kill-entry':
    case 'pause-entry':
    case 'cut-entry-store':
    case 'cut-entries':
      injectEntryFault(world, command.kind, entryOf(world, command.entry));
      return;
    case 'kill-driver':
    case 'pause-driver':
    case 'stop-driver':
    case 'cut-driver-store':
    case 'power-off':
      injectDriverFault(world, command.kind, driverOf(world, command.worker));
  }
};

const crashRepeatedly = (
  world: FleetWorld,
  command: Extract<FleetCommand, { kind: 'crash-loop' }>,
): void => {
  const { process, upMs, downMs, isStoreLate } = command;
  const isEntry = 'entry' in process;
  const kill = (): void => {
    if (isEntry) {
      world.killEntry(entryOf(world, process.entry));
    } else {
      world.killDriver(driverOf(world, process.worker));
    }
  };
  const start = (): void => {
    (isEntry
      ? entryOf(world, process.entry)
      : driverOf(world, process.worker)
    ).restart();
  };
  if (isStoreLate) {
    world.setStore(StoreMode.LosingReplies);
  }
  let atMs = 0;
  kill();
  for (const ms of upMs) {
    world.beforeRecovery(atMs + downMs, start);
    atMs += downMs + ms;
    world.beforeRecovery(atMs, kill);
  }
  world.beforeRecovery(atMs + downMs, () => {
    start();
    if (isStoreLate) {
      world.setStore(StoreMode.Up);
    }
  });
};

const strike = (
  world: FleetWorld,
  { moment, faults }: Extract<FleetCommand, { kind: 'strike' }>,
): void => {
  world.atNextRun(moment, (struck) => {
    for (const { target, delayMs, forMs } of faults) {
      world.beforeRecovery(delayMs, () => {
        const recover = beginStrike(world, target, struck);
        world.beforeRecovery(forMs, recover);
      });
    }
  });
};

/** Begins a fault of a strike, and returns a function that ends it. */
const beginStrike = (
  world: FleetWorld,
  target: StrikeTarget,
  { owner, worker, task }: StruckRun,
): (() => void) => {
  const driver = driverOf(world, worker);
  switch (target) {
    case StrikeTarget.KillOwner:
      injectEntryFault(world, 'kill-entry', owner);
      return () => {
        owner.restart();
      };
    case StrikeTarget.PauseOwner:
      injectEntryFault(world, 'pause-entry', owner);
      return () => {
        owner.resume();
      };
    case StrikeTarget.KillDriver:
      injectDriverFault(world, 'kill-driver', driver);
      return () => {
        driver.restart();
      };
    case StrikeTarget.CrashWorker:
      workerOf(world, worker).crash();
      return () => {
        workerOf(world, worker).boot();
      };
    case StrikeTarget.CutLink:
    case StrikeTarget.StallLink: {
      const kind = target === StrikeTarget.CutLink ? 'cut' : 'stall';
      const entry = world.entries.indexOf(owner);
      injectNetworkFault(world, { kind, entry, worker });
      return () => {
        world.network.healBetween(owner.name, driver.name);
      };
    }
    case StrikeTarget.LateStore:
      world.setStore(StoreMode.LosingReplies);
      return () => {
        world.setStore(StoreMode.Up);
      };
    case StrikeTarget.LateWorker:
      world.setWorkerMode(workerOf(world, worker), WorkerMode.Late);
      return () => {
        world.setWorkerMode(workerOf(world, worker), WorkerMode.Healthy);
      };
    case StrikeTarget.FailRun:
      workerOf(world, worker).fail(task);
      return () => undefined;
    case StrikeTarget.HangRun:
      workerOf(world, worker).hang(task);
      return () => undefined;
  }
};

const stopEntry = (
  world: FleetWorld,
  command: Extract<FleetCommand, { kind: 'stop-entry' }>,
): void => {
  const { entry, startAfterMs, store } = command;
  const hasBegun = world.stopEntry(entryOf(world, entry), startAfterMs);
  if (hasBegun && store) {
    world.queue.after(store.afterMs, () => {
      world.setStore(store.mode);
    });
  }
};

const slowDown = (
  world: FleetWorld,
  process: SimBatchEntry | SimDriver,
  turns: {
    readonly turnsMs: readonly number[];
    readonly isStandStill?: boolean;
  },
): void => {
  world.oracle.onFault(process.name, false);
  process.slowDown(turns.turnsMs, turns.isStandStill);
};

const injectEntryFault = (
  world: FleetWorld,
  kind: 'kill-entry' | 'pause-entry' | 'cut-entry-store' | 'cut-entries',
  entry: SimBatchEntry,
): void => {
  world.oracle.onFault(entry.name, false);
  switch (kind) {
    case 'kill-entry':
      world.killEntry(entry);
      return;
    case 'pause-entry':
      entry.pause();
      return;
    case 'cut-entry-store':
      world.disconnectFromStore(entry.name);
      return;
    case 'cut-entries':
      for (const other of world.entries) {
        world.network.cutBoth(entry.name, other.name);
      }
  }
};

const injectDriverFault = (
  world: FleetWorld,
  kind:
    | 'kill-driver'
    | 'pause-driver'
    | 'stop-driver'
    | 'cut-driver-store'
    | 'power-off',
  driver: SimDriver,
): void => {
  world.oracle.onFault(driver.name, false);
  switch (kind) {
    case 'kill-driver':
      world.killDriver(driver);
      return;
    case 'power-off':
      world.killDriver(driver);
      workerOf(world, world.drivers.indexOf(driver)).crash();
      return;
    case 'pause-driver':
      driver.pause();
      return;
    case 'stop-driver':
      driver.post(() => {
        driver.dispatch({ kind: 'stop' });
      });
      return;
    case 'cut-driver-store':
      world.disconnectFromStore(driver.name);
  }
};

const injectNetworkFault = (
  world: FleetWorld,
  command: Extract<FleetCommand, { kind: NetworkFault }>,
): void => {
  const entry = entryOf(world, command.entry);
  const driver = driverOf(world, command.worker);
  world.oracle.onFault(entry.name, false);
  world.oracle.onFault(driver.name, false);
  const links = world.linksBetween(entry, driver);
  world.network.injectFault(command.kind, entry.name, driver.name, links);
};

const cutWorkers = (
  world: FleetWorld,
  { entry, spared }: Extract<FleetCommand, { kind: 'cut-workers' }>,
): void => {
  world.drivers.forEach((_, worker) => {
    if (worker !== spared) {
      injectNetworkFault(world, { kind: 'cut', entry, worker });
    }
  });
};

/**
 * Executes a command that ends faults. For the oracle the processes stay
 * faulty until {@link FleetWorld.recover}, so its time bounds do not apply.
 */
const recoverProcesses = (
  world: FleetWorld,
  kind: 'heal' | 'resume' | 'restart',
): void => {
  const processes = [...world.entries, ...world.drivers];
  switch (kind) {
    case 'heal':
      world.network.heal();
      return;
    case 'resume':
      processes.forEach((process) => {
        process.resume();
      });
      return;
    case 'restart':
      processes.forEach((process) => {
        process.restart();
      });
      world.workers.forEach((worker) => {
        worker.boot();
      });
  }
};

/**
 * Replaces a worker as planned while the store loses replies to writes and applies
 * some of them late, then waits until all of them have been applied.
 */
const replaceWorker = (world: FleetWorld, seed: number): void => {
  const { queue, workers } = world;
  const worker = workers[seed % workers.length];
  const run = (forMs: number): void => {
    queue.runUntil(queue.nowMs + forMs);
  };
  worker?.drain();
  run(DRAIN_DURATION_MS - STORE_FAULT_LEAD_MS);
  world.setStore(StoreMode.LosingReplies);
  run(STORE_FAULT_LEAD_MS + MAINTENANCE_MS);
  worker?.boot();
  run(MAINTENANCE_MS);
  world.setStore(StoreMode.Up);
  run(MAX_LATE_MS + ROW_REPAIR_MS);
};

/**
 * Submits to each entry a job for each worker of the service in force that only
 * this worker can run, and checks that the job is accepted. A worker that no entry
 * uses leaves an accepted job unfinished.
 */
const submitToEachWorker = (world: FleetWorld): void => {
  const { entries, oracle, queue } = world;
  const workers = world.workers.filter(({ service }) => service === 'levy');
  const ids = entries.flatMap((entry, index) =>
    workers.map(({ vm }, workerIndex) => {
      // The jobs of an entry are in different parts of the store.
      const number = LAST_JOB + 1 + index * JOB_PARTS + workerIndex;
      const content = jobContent(0);
      world.submit(entry, jobId(number), {
        ...content,
        steps: content.steps.map((step) => ({ ...step, requires: vm })),
      });
      return jobId(number);
    }),
  );
  queue.runUntil(queue.nowMs + WORKER_JOBS_MS);
  const accepted = new Set(oracle.acceptedJobIds);
  for (const id of ids.filter((other) => !accepted.has(other))) {
    oracle.onUnfinishedJob(id, 'not accepted');
  }
};

/**
 * Checks that every accepted job has completed or failed unless a cancel was
 * sent, that no cancelled job is active and that no refused job has run.
 */
const checkAcceptedJobsEnded = (world: FleetWorld): void => {
  const states = new Map<string, BatchState>();
  const [entry] = world.entries;
  if (!entry) {
    return;
  }
  const acceptedJobIds = world.oracle.acceptedJobIds;
  for (const id of acceptedJobIds) {
    world.sendJobRequest(entry, id, 'status', (reply) => {
      if (reply?.kind === 'state') {
        states.set(id, reply.state);
      }
    });
  }
  world.queue.runUntil(world.queue.nowMs + FINAL_STATUS_MS);
  for (const id of acceptedJobIds) {
    const state = states.get(id);
    if (state !== BatchState.Completed && state !== BatchState.Failed) {
      world.oracle.onUnfinishedJob(id, state ?? 'no answer');
    }
  }
  world.oracle.checkSettled();
};

const entryOf = (world: FleetWorld, index: number): SimBatchEntry =>
  world.entries[index] ?? failMissing();

const driverOf = (world: FleetWorld, index: number): SimDriver =>
  world.drivers[index] ?? failMissing();

const workerOf = (world: FleetWorld, index: number): SimWorker =>
  world.workers[index] ?? failMissing();

const failMissing = (): never => {
  throw new Error(
    'the scenario refers to an entry or worker that does not exist',
  );
};

const ID_DIGITS = 16;
const jobId = (job: number): string =>
  (job + 1).toString(16).padStart(ID_DIGITS, '0');

const LAST_JOB = LONG_VOLATILE_JOB;
/** A recorded job that is large in some of the scenarios. */
const LARGE_JOB = 4;
/** Lengths of its specification, in turn over the seeds of the simulation. */
const LARGE_SPECS = [0, 65_000, 66_000, 250_000];

/** Returns {@link jobContent}, near or over the limits of the store for one job. */
const sizedContent = (
  job: number,
  seed: number,
): Omit<BatchContent, 'service'> => {
  const content = jobContent(job);
  const length = LARGE_SPECS[seed % LARGE_SPECS.length] ?? 0;
  return job === LARGE_JOB
    ? { ...content, spec: padSpec(content.spec, length) }
    : content;
};

/**
 * Jobs whose runs take longer than this have few tasks, because a single worker
 * may have to run all of them.
 */
const LONG_RUN_MS = 2000;
/** The longest run exceeds the time within which a cancelled job must stop. */
const RUN_MS = [80, 400, 1500, 3600];
const LONG_VOLATILE_RUN_MS = 3000;
/** Longer than estimated, but not so long that the run counts as stalled. */
const LONGEST_VOLATILE_RUN_MS = 4500;

/**
 * Returns the content of a job: every third is volatile, every second has two
 * steps, and the {@link DEADLY_JOBS} are deadly. {@link LONG_VOLATILE_JOB} and
 * {@link LONGEST_VOLATILE_JOB} are volatile and have one step.
 */
const jobContent = (job: number): Omit<BatchContent, 'service'> => {
  const isLongest = job === LONGEST_VOLATILE_JOB;
  const isLongVolatile = isLongest || job === LONG_VOLATILE_JOB;
  const runMs = isLongVolatile
    ? LONG_VOLATILE_RUN_MS
    : (RUN_MS[job % RUN_MS.length] ?? 0);
  const step: JobStepContent = {
    count: runMs > LONG_RUN_MS ? 2 : 1 + (job % JOB_COUNT),
    needs: { cpuMilli: 1600, memoryMb: 64, accelerators: 0 },
    estimateMs: runMs,
    after: [],
    checkpointing: false,
  };
  return {
    queue: 'q',
    spec: encodeSpec(
      isLongest ? LONGEST_VOLATILE_RUN_MS : runMs,
      DEADLY_JOBS.some((deadly) => deadly === job),
    ),
    steps: job % 2 === 0 ? [step] : [step, { ...step, count: 2, after: [0] }],
    attempts: 2,
    isVolatile: isLongVolatile || job % 3 === 2,
    priority: 0,
    stretch: 1.6,
    slackMs: 60,
  };
};
