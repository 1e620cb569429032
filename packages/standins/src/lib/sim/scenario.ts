import { ENTRY_COUNT, RUNNER_COUNT } from './commands.js';
import type { Command, Scenario } from './commands.js';
import type { NetworkFault } from './network.js';
import type { Violation } from './oracle.js';
import { EndpointMode } from './sim-runner.js';
import { StoreMode } from './faulty-store.js';
import { World } from './world.js';

/** Time within which started processes are ready and use the configuration. */
const STARTUP_MS = 8000;
/** Exceeds the longest deadline, lease and recovery time together. */
const RECOVERY_MS = 60_000;
const FINAL_QUERY_MS = 5000;

/**
 * Runs a scenario in a simulated cluster, removes all faults and checks that
 * the cluster recovers.
 *
 * @param scenario - The scenario.
 * @returns The violated guarantees.
 */
export const runScenario = (scenario: Scenario): readonly Violation[] => {
  const world = new World({ seed: scenario.seed });
  declareConfiguration(world);
  for (const { command, thenMs } of scenario.steps) {
    applyCommand(world, command);
    world.queue.runUntil(world.queue.nowMs + thenMs);
  }
  removeFaults(world);
  checkRecovered(world);
  return world.oracle.violations;
};

/** Declares the cluster's configuration and waits until it is in force. */
export const declareConfiguration = (world: World): void => {
  world.queue.runUntil(STARTUP_MS / 2);
  const [entry] = world.entries;
  if (entry) {
    world.proposeTicket(entry, [
      ...['north', 'south'].map((name) => ({
        subject: `data-centre/${name}`,
        setting: { kind: 'data-centre' as const, inService: true },
      })),
      {
        subject: 'endpoint/levy',
        setting: {
          kind: 'endpoint',
          inService: true,
          dataCentres: ['north', 'south'],
        },
      },
      {
        subject: 'desk/dakar',
        setting: { kind: 'desk', ratePerSecond: 1000, burst: 1000 },
      },
    ]);
  }
  world.queue.runUntil(STARTUP_MS);
};

const applyCommand = (world: World, command: Command): void => {
  switch (command.kind) {
    case 'submit':
      submit(world, command.entry, command.job, command.isUrgent);
      return;
    case 'ask':
    case 'cancel':
      world.queryJob(
        entryAt(world, command.entry),
        jobId(command.job),
        command.kind === 'cancel',
        1000,
      );
      return;
    case 'request':
      world.request(entryAt(world, command.entry), command.idempotent);
      return;
    case 'ticket': {
      const name = command.south ? 'south' : 'north';
      const entry = entryAt(world, command.entry);
      world.setDataCentreInService(entry, name, command.inService);
      return;
    }
    case 'racing-tickets': {
      const name = command.south ? 'south' : 'north';
      world.setDataCentreInService(entryAt(world, 0), name, false);
      world.setDataCentreInService(entryAt(world, 1), name, true);
      return;
    }
    case 'kill-entry':
      world.killEntry(entryAt(world, command.entry));
      return;
    case 'pause-entry':
      entryAt(world, command.entry).pause();
      return;
    case 'stop-entry': {
      const entry = entryAt(world, command.entry);
      entry.post(() => {
        entry.dispatch({ kind: 'stop' });
      });
      return;
    }
    case 'kill-runner':
      world.killRunner(runnerAt(world, command.runner));
      return;
    case 'pause-runner':
      runnerAt(world, command.runner).pause();
      return;
    case 'stop-runner': {
      const runner = runnerAt(world, command.runner);
      runner.post(() => {
        runner.dispatch({ kind: 'stop' });
      });
      return;
    }
    case 'cut':
    case 'cut-one-way':
    case 'silence':
    case 'stall':
      injectNetworkFault(world, command);
      return;
    case 'cut-entries':
      cutFromEntries(world, command.entry);
      return;
    case 'cut-store':
      world.network.cut(entryAt(world, command.entry).name, 'store');
      return;
    case 'heal':
      world.network.heal();
      return;
    case 'resume':
      resumeAll(world);
      return;
    case 'restart':
      restartAll(world);
      return;
    case 'store':
      world.store.mode = command.mode;
      return;
    case 'endpoint':
      runnerAt(world, command.runner).mode = command.mode;
      return;
    case 'leave':
      leave(world, command.runner, command.isLeaving);
  }
};

const injectNetworkFault = (
  world: World,
  command: Extract<Command, { kind: NetworkFault }>,
): void => {
  const entry = entryAt(world, command.entry);
  const runner = runnerAt(world, command.runner);
  const links = world.linksBetween(entry, runner);
  world.network.injectFault(command.kind, entry.name, runner.name, links);
};

const cutFromEntries = (world: World, index: number): void => {
  const { name } = entryAt(world, index);
  for (const other of world.entries) {
    world.network.cutBoth(name, other.name);
  }
};

const leave = (world: World, index: number, isLeaving: boolean): void => {
  const runner = runnerAt(world, index);
  if (!isLeaving) {
    world.oracle.onReturnRequested(runner.name, world.queue.nowMs);
  }
  runner.isLeaving = isLeaving;
  if (isLeaving && runner.mode !== EndpointMode.Unannounced) {
    world.oracle.onOutOfService(runner.name, world.queue.nowMs);
  }
};

const submit = (
  world: World,
  entry: number,
  job: number,
  isUrgent: boolean,
): void => {
  const id = jobId(job);
  const isFirstAttempt = !submittedIds(world).has(id);
  submittedIds(world).add(id);
  const taskCount = 1 + ((job * 5) % 9);
  world.submit(entryAt(world, entry), {
    id,
    taskCount,
    isUrgent,
    isFirstAttempt,
  });
};

/** Ids of the jobs that were submitted in each world. */
const submittedIdsByWorld = new WeakMap<World, Set<string>>();

const submittedIds = (world: World): Set<string> => {
  let ids = submittedIdsByWorld.get(world);
  if (!ids) {
    ids = new Set();
    submittedIdsByWorld.set(world, ids);
  }
  return ids;
};

/** Removes all faults and gives the cluster time to recover. */
export const removeFaults = (world: World): void => {
  world.store.mode = StoreMode.Up;
  world.network.heal();
  resumeAll(world);
  restartAll(world);
  for (const runner of world.runners) {
    runner.mode = EndpointMode.Up;
    world.oracle.onReturnRequested(runner.name, world.queue.nowMs);
    runner.isLeaving = false;
  }
  world.queue.runUntil(world.queue.nowMs + RECOVERY_MS);
  // A planned stop may have completed during the recovery time.
  restartAll(world);
  world.queue.runUntil(world.queue.nowMs + STARTUP_MS);
};

/**
 * Checks the guarantees for a recovered cluster: every accepted job has an
 * outcome, all processes have the same configuration in force and no caller is
 * left without a reply.
 */
export const checkRecovered = (world: World): void => {
  const { oracle, queue } = world;
  for (const id of world.accepted) {
    const entry = entryAt(world, 0);
    const toEvent = (replyId: number) => ({
      kind: 'ask' as const,
      replyId,
      job: id,
      waitMs: 0,
      cancel: false,
      forward: true,
    });
    entry.dispatchWithReply(toEvent, (reply) => {
      if (reply.kind === 'job' && reply.status.outcome) {
        oracle.onStatus(id, reply.status, queue.nowMs);
      } else {
        oracle.report('accepted jobs end', queue.nowMs, JSON.stringify(reply));
      }
    });
  }
  queue.runUntil(queue.nowMs + FINAL_QUERY_MS);
  const versions = new Set([
    ...world.entries.map((entry) => entry.core.config.version),
    ...world.runners.map((runner) => runner.configVersion),
  ]);
  if (versions.size !== 1) {
    const detail = [...versions].join(', ');
    oracle.report('configuration in force everywhere', queue.nowMs, detail);
  }
  for (const entry of world.entries) {
    if (entry.openCalls > 0) {
      const detail = `${entry.name} has ${String(entry.openCalls)} unanswered calls`;
      oracle.report('every caller is answered', queue.nowMs, detail);
    }
  }
};

const resumeAll = (world: World): void => {
  [...world.entries, ...world.runners].forEach((process) => {
    process.resume();
  });
};

const restartAll = (world: World): void => {
  [...world.entries, ...world.runners].forEach((process) => {
    process.restart();
  });
};

const entryAt = (world: World, index: number) => {
  const entry = world.entries[index % ENTRY_COUNT];
  if (!entry) {
    throw new Error('The simulated cluster has no entries.');
  }
  return entry;
};

const runnerAt = (world: World, index: number) => {
  const runner = world.runners[index % RUNNER_COUNT];
  if (!runner) {
    throw new Error('The simulated cluster has no runners.');
  }
  return runner;
};

const jobId = (job: number): string => `job-${String(job)}`;
