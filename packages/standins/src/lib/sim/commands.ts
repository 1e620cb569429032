import fc from 'fast-check';
import { EndpointMode } from './sim-runner.js';
import type { NetworkFault } from './network.js';
import { StoreMode } from './faulty-store.js';

/**
 * An action of a caller or an operator, or an injected fault. Entries, runners
 * and jobs are referred to by index.
 */
export type Command =
  | {
      readonly kind: 'submit';
      readonly entry: number;
      readonly job: number;
      readonly isUrgent: boolean;
    }
  /** Queries the state of a job, or cancels it. */
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
  /** Takes a data centre out of service or returns it to service. */
  | {
      readonly kind: 'ticket';
      readonly entry: number;
      /** Whether the data centre is `south` instead of `north`. */
      readonly south: boolean;
      readonly inService: boolean;
    }
  /** Two entries receive contradictory tickets at the same time. */
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
      readonly kind: NetworkFault;
      readonly entry: number;
      readonly runner: number;
    }
  /** Partitions an entry from the other entries, or from the store. */
  | { readonly kind: 'cut-entries' | 'cut-store'; readonly entry: number }
  /** Ends all cuts and stalls, or resumes or restarts all processes. */
  | { readonly kind: 'heal' | 'resume' | 'restart' }
  | { readonly kind: 'store'; readonly mode: StoreMode }
  | {
      readonly kind: 'endpoint';
      readonly runner: number;
      readonly mode: EndpointMode;
    }
  /** The endpoint of a runner announces whether it is leaving. */
  | {
      readonly kind: 'leave';
      readonly runner: number;
      readonly isLeaving: boolean;
    };

/** A command and the virtual time until the next one. */
export interface Step {
  readonly command: Command;
  readonly thenMs: number;
}

/** A reproducible run: the random seed of the simulation and its commands. */
export interface Scenario {
  readonly seed: number;
  readonly steps: readonly Step[];
}

/** Number of entries that commands refer to by index. */
export const ENTRY_COUNT = 3;
/** Number of runners that commands refer to by index. */
export const RUNNER_COUNT = 4;
/** Small, so that several commands of a scenario refer to the same job. */
const JOB_COUNT = 6;
const MAX_STEPS = 30;
const MAX_STEP_DELAY_MS = 4000;

/** @returns Generator of random scenarios for property-based tests. */
export const scenarios = (): fc.Arbitrary<Scenario> =>
  fc.record({
    seed: fc.nat(),
    steps: fc.array(
      fc.record({
        command: commands(),
        thenMs: fc.oneof(fc.nat(20), fc.nat(500), fc.nat(MAX_STEP_DELAY_MS)),
      }),
      // By default, fast-check generates mainly arrays far below the maximum.
      { maxLength: MAX_STEPS, size: 'max' },
    ),
  });

const entryIndex = (): fc.Arbitrary<number> => fc.nat(ENTRY_COUNT - 1);

const runnerIndex = (): fc.Arbitrary<number> => fc.nat(RUNNER_COUNT - 1);

const anyKind = <K extends string>(...names: K[]): fc.Arbitrary<K> =>
  fc.constantFrom(...names);

const commands = (): fc.Arbitrary<Command> =>
  fc.oneof(
    { weight: 10, arbitrary: submissions() },
    { weight: 5, arbitrary: fc.oneof(jobQueries(), requests()) },
    { weight: 4, arbitrary: tickets() },
    { weight: 8, arbitrary: faults() },
    {
      weight: 3,
      arbitrary: fc.record({ kind: anyKind('heal', 'resume', 'restart') }),
    },
  );

const submissions = (): fc.Arbitrary<Command> =>
  fc.record({
    kind: fc.constant('submit'),
    entry: entryIndex(),
    job: fc.nat(JOB_COUNT - 1),
    isUrgent: fc.boolean(),
  });

const jobQueries = (): fc.Arbitrary<Command> =>
  fc.record({
    kind: anyKind('ask', 'ask', 'cancel'),
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
      kind: anyKind('kill-entry', 'pause-entry', 'stop-entry'),
      entry: entryIndex(),
    }),
    fc.record({
      kind: anyKind('kill-runner', 'pause-runner', 'stop-runner'),
      runner: runnerIndex(),
    }),
    fc.record({
      kind: anyKind('cut', 'cut-one-way', 'silence', 'stall'),
      entry: entryIndex(),
      runner: runnerIndex(),
    }),
    fc.record({
      kind: anyKind('cut-entries', 'cut-store'),
      entry: entryIndex(),
    }),
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
