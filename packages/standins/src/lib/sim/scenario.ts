import fc from 'fast-check';
import type { Violation } from './oracle.js';
import { EndpointMode } from './sim-runner.js';
import { StoreMode } from './sim-store.js';
import { World } from './world.js';

/** One thing that a caller, an operator or fate does. */
export type Command =
  | {
      readonly kind: 'submit';
      readonly entry: number;
      readonly job: number;
      readonly isUrgent: boolean;
    }
  | {
      readonly kind: 'ask' | 'cancel';
      readonly entry: number;
      readonly job: number;
    }
  | {
      readonly kind: 'request';
      readonly entry: number;
      readonly idempotent: boolean;
    }
  | {
      readonly kind: 'ticket';
      readonly entry: number;
      readonly south: boolean;
      readonly inService: boolean;
    }
  | { readonly kind: 'racing-tickets'; readonly south: boolean }
  | {
      readonly kind: 'kill-entry' | 'pause-entry' | 'stop-entry';
      readonly entry: number;
    }
  | {
      readonly kind: 'kill-runner' | 'pause-runner' | 'stop-runner';
      readonly runner: number;
    }
  | {
      readonly kind: 'cut' | 'cut-one-way' | 'silence' | 'stall';
      readonly entry: number;
      readonly runner: number;
    }
  | { readonly kind: 'cut-entries' | 'cut-store'; readonly entry: number }
  | { readonly kind: 'heal' | 'resume' | 'restart' }
  | { readonly kind: 'store'; readonly mode: StoreMode }
  | {
      readonly kind: 'endpoint';
      readonly runner: number;
      readonly mode: EndpointMode;
    }
  | {
      readonly kind: 'leave';
      readonly runner: number;
      readonly isLeaving: boolean;
    };

/** A command and the time until the next one. */
export interface Step {
  readonly command: Command;
  readonly thenMs: number;
}

/** A whole run. */
export interface Scenario {
  readonly seed: number;
  readonly steps: readonly Step[];
}

const ENTRY_COUNT = 3;
const RUNNER_COUNT = 4;
const JOB_COUNT = 6;
const MAX_STEPS = 30;
const MAX_GAP_MS = 4000;
const START_MS = 8000;
/** Longer than every deadline, lease and lost time together. */
const SETTLE_MS = 60_000;
const FINAL_ASK_MS = 5000;

/** @returns Generator of scenarios. */
export const scenarios = (): fc.Arbitrary<Scenario> =>
  fc.record({
    seed: fc.nat(),
    steps: fc.array(
      fc.record({
        command: commands(),
        thenMs: fc.oneof(fc.nat(20), fc.nat(500), fc.nat(MAX_GAP_MS)),
      }),
      { maxLength: MAX_STEPS, size: 'max' },
    ),
  });

/**
 * Runs a scenario and then lets everything recover.
 *
 * @param scenario - What happens.
 * @returns The promises that were not kept.
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

/** Declares the estate and waits until it is in force. */
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
  command: Extract<
    Command,
    { kind: 'cut' | 'cut-one-way' | 'silence' | 'stall' }
  >,
): void => {
  const entry = entryOf(world, command.entry);
  const runner = runnerOf(world, command.runner);
  switch (command.kind) {
    case 'cut':
      world.network.cut(entry.name, runner.name);
      world.network.cut(runner.name, entry.name);
      return;
    case 'cut-one-way':
      world.network.cut(runner.name, entry.name);
      return;
    case 'silence':
      world.linksBetween(entry, runner).forEach((link) => {
        world.network.silence(link);
      });
      return;
    case 'stall':
      world.linksBetween(entry, runner).forEach((link) => {
        world.network.stall(link);
      });
  }
};

const cutEntries = (world: World, index: number): void => {
  const { name } = entryOf(world, index);
  for (const other of world.entries) {
    world.network.cut(name, other.name);
    world.network.cut(other.name, name);
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

/** Ends every fault and gives the estate time to settle. */
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
  // A planned stop may have ended during the time to settle.
  restartAll(world);
  world.queue.runUntil(world.queue.nowMs + START_MS);
};

/** Checks what must hold once nothing is disturbed any more. */
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
      const detail = `${entry.name} owes ${String(entry.openCalls)} answers`;
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
    throw new Error('A world has entries.');
  }
  return entry;
};

const runnerOf = (world: World, index: number) => {
  const runner = world.runners[index % RUNNER_COUNT];
  if (!runner) {
    throw new Error('A world has runners.');
  }
  return runner;
};

const jobName = (job: number): string => `job-${String(job)}`;

const entryIndex = (): fc.Arbitrary<number> => fc.nat(ENTRY_COUNT - 1);

const runnerIndex = (): fc.Arbitrary<number> => fc.nat(RUNNER_COUNT - 1);

const kinds = <K extends string>(...names: K[]): fc.Arbitrary<K> =>
  fc.constantFrom(...names);

const commands = (): fc.Arbitrary<Command> =>
  fc.oneof(
    { weight: 10, arbitrary: submissions() },
    { weight: 5, arbitrary: fc.oneof(questions(), requests()) },
    { weight: 4, arbitrary: tickets() },
    { weight: 8, arbitrary: faults() },
    {
      weight: 3,
      arbitrary: fc.record({ kind: kinds('heal', 'resume', 'restart') }),
    },
  );

const submissions = (): fc.Arbitrary<Command> =>
  fc.record({
    kind: fc.constant('submit'),
    entry: entryIndex(),
    job: fc.nat(JOB_COUNT - 1),
    isUrgent: fc.boolean(),
  });

const questions = (): fc.Arbitrary<Command> =>
  fc.record({
    kind: kinds('ask', 'ask', 'cancel'),
    entry: entryIndex(),
    job: fc.nat(JOB_COUNT - 1),
  });

const requests = (): fc.Arbitrary<Command> =>
  fc.record({
    kind: fc.constant('request'),
    entry: entryIndex(),
    idempotent: fc.boolean(),
  });

const tickets = (): fc.Arbitrary<Command> =>
  fc.oneof(
    fc.record({
      kind: fc.constant('ticket'),
      entry: entryIndex(),
      south: fc.boolean(),
      inService: fc.boolean(),
    }),
    fc.record({ kind: fc.constant('racing-tickets'), south: fc.boolean() }),
  );

const faults = (): fc.Arbitrary<Command> =>
  fc.oneof(
    fc.record({
      kind: kinds('kill-entry', 'pause-entry', 'stop-entry'),
      entry: entryIndex(),
    }),
    fc.record({
      kind: kinds('kill-runner', 'pause-runner', 'stop-runner'),
      runner: runnerIndex(),
    }),
    fc.record({
      kind: kinds('cut', 'cut-one-way', 'silence', 'stall'),
      entry: entryIndex(),
      runner: runnerIndex(),
    }),
    fc.record({ kind: kinds('cut-entries', 'cut-store'), entry: entryIndex() }),
    fc.record({
      kind: fc.constant('store'),
      mode: fc.constantFrom(...Object.values(StoreMode)),
    }),
    fc.record({
      kind: fc.constant('endpoint'),
      runner: runnerIndex(),
      mode: fc.constantFrom(...Object.values(EndpointMode)),
    }),
    fc.record({
      kind: fc.constant('leave'),
      runner: runnerIndex(),
      isLeaving: fc.boolean(),
    }),
  );
