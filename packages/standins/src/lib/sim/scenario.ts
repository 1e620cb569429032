import { ENTRY_COUNT, RUNNER_COUNT } from './commands.js';
import type { Command, Scenario } from './commands.js';
import type { Disturbance } from './network.js';
import type { Violation } from './oracle.js';
import { EndpointMode } from './sim-runner.js';
import { StoreMode } from './faulty-store.js';
import { World } from './world.js';

const START_MS = 8000;
/** Exceeds the longest deadline, lease and recovery time together. */
const SETTLE_MS = 60_000;
const FINAL_ASK_MS = 5000;

/**
 * Runs a scenario in a simulated cluster, removes all faults and checks that
 * the cluster recovers.
 *
 * @param scenario - The scenario.
 * @returns The violated guarantees.
 */
export const runScenario = (scenario: Scenario): readonly Violation[] => {
  const world = new World({ seed: scenario.seed });
  begin(world);
  for (const { command, thenMs } of scenario.steps) {
    apply(world, command);
    world.queue.runUntil(world.queue.nowMs + thenMs);
  }
  recover(world);
  settle(world);
  return world.oracle.violations;
};

/** Declares the cluster's configuration and waits until it is in force. */
export const begin = (world: World): void => {
  world.queue.runUntil(START_MS / 2);
  const [entry] = world.entries;
  if (entry) {
    world.propose(entry, [
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
  world.queue.runUntil(START_MS);
};

const apply = (world: World, command: Command): void => {
  switch (command.kind) {
    case 'submit':
      submit(world, command.entry, command.job, command.isUrgent);
      return;
    case 'ask':
    case 'cancel':
      world.ask(
        entryOf(world, command.entry),
        jobName(command.job),
        command.kind === 'cancel',
        1000,
      );
      return;
    case 'request':
      world.request(entryOf(world, command.entry), command.idempotent);
      return;
    case 'ticket': {
      const name = command.south ? 'south' : 'north';
      const entry = entryOf(world, command.entry);
      world.setDataCentre(entry, name, command.inService);
      return;
    }
    case 'racing-tickets': {
      const name = command.south ? 'south' : 'north';
      world.setDataCentre(entryOf(world, 0), name, false);
      world.setDataCentre(entryOf(world, 1), name, true);
      return;
    }
    case 'kill-entry':
      world.killEntry(entryOf(world, command.entry));
      return;
    case 'pause-entry':
      entryOf(world, command.entry).pause();
      return;
    case 'stop-entry': {
      const entry = entryOf(world, command.entry);
      entry.post(() => {
        entry.dispatch({ kind: 'stop' });
      });
      return;
    }
    case 'kill-runner':
      world.killRunner(runnerOf(world, command.runner));
      return;
    case 'pause-runner':
      runnerOf(world, command.runner).pause();
      return;
    case 'stop-runner': {
      const runner = runnerOf(world, command.runner);
      runner.post(() => {
        runner.dispatch({ kind: 'stop' });
      });
      return;
    }
    case 'cut':
    case 'cut-one-way':
    case 'silence':
    case 'stall':
      disturb(world, command);
      return;
    case 'cut-entries':
      cutEntries(world, command.entry);
      return;
    case 'cut-store':
      world.network.cut(entryOf(world, command.entry).name, 'store');
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
      runnerOf(world, command.runner).mode = command.mode;
      return;
    case 'leave':
      leave(world, command.runner, command.isLeaving);
  }
};

const disturb = (
  world: World,
  command: Extract<Command, { kind: Disturbance }>,
): void => {
  const entry = entryOf(world, command.entry);
  const runner = runnerOf(world, command.runner);
  const links = world.linksBetween(entry, runner);
  world.network.disturb(command.kind, entry.name, runner.name, links);
};

const cutEntries = (world: World, index: number): void => {
  const { name } = entryOf(world, index);
  for (const other of world.entries) {
    world.network.cutBoth(name, other.name);
  }
};

const leave = (world: World, index: number, isLeaving: boolean): void => {
  const runner = runnerOf(world, index);
  if (!isLeaving) {
    world.oracle.onReturning(runner.name, world.queue.nowMs);
  }
  runner.isLeaving = isLeaving;
  if (isLeaving && runner.mode !== EndpointMode.Gone) {
    world.oracle.onTakenOut(runner.name, world.queue.nowMs);
  }
};

const submit = (
  world: World,
  entry: number,
  job: number,
  isUrgent: boolean,
): void => {
  const id = jobName(job);
  const isFirst = !submitted(world).has(id);
  submitted(world).add(id);
  const taskCount = 1 + ((job * 5) % 9);
  world.submit(entryOf(world, entry), { id, taskCount, isUrgent, isFirst });
};

const SUBMITTED = new WeakMap<World, Set<string>>();

const submitted = (world: World): Set<string> => {
  let ids = SUBMITTED.get(world);
  if (!ids) {
    ids = new Set();
    SUBMITTED.set(world, ids);
  }
  return ids;
};

/** Removes all faults and gives the cluster time to recover. */
export const recover = (world: World): void => {
  world.store.mode = StoreMode.Up;
  world.network.heal();
  resumeAll(world);
  restartAll(world);
  for (const runner of world.runners) {
    runner.mode = EndpointMode.Up;
    world.oracle.onReturning(runner.name, world.queue.nowMs);
    runner.isLeaving = false;
  }
  world.queue.runUntil(world.queue.nowMs + SETTLE_MS);
  // A planned stop may have completed during the recovery time.
  restartAll(world);
  world.queue.runUntil(world.queue.nowMs + START_MS);
};

/**
 * Checks the guarantees for a recovered cluster: every accepted job has an
 * outcome, all processes have the same configuration in force and no caller is
 * left without a reply.
 */
export const settle = (world: World): void => {
  const { oracle, queue } = world;
  for (const id of world.accepted) {
    const entry = entryOf(world, 0);
    const toEvent = (replyId: number) => ({
      kind: 'ask' as const,
      replyId,
      job: id,
      waitMs: 0,
      cancel: false,
      forward: true,
    });
    entry.ask(toEvent, (reply) => {
      if (reply.kind === 'job' && reply.status.outcome) {
        oracle.onStatus(id, reply.status, queue.nowMs);
      } else {
        oracle.report('accepted jobs end', queue.nowMs, JSON.stringify(reply));
      }
    });
  }
  queue.runUntil(queue.nowMs + FINAL_ASK_MS);
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

const entryOf = (world: World, index: number) => {
  const entry = world.entries[index % ENTRY_COUNT];
  if (!entry) {
    throw new Error('The simulated cluster has no entries.');
  }
  return entry;
};

const runnerOf = (world: World, index: number) => {
  const runner = world.runners[index % RUNNER_COUNT];
  if (!runner) {
    throw new Error('The simulated cluster has no runners.');
  }
  return runner;
};

const jobName = (job: number): string => `job-${String(job)}`;
