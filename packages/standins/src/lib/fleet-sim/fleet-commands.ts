import fc from 'fast-check';
import type { NetworkFault } from '../sim/network.js';
import { StoreMode } from '../sim/faulty-store.js';
import { WorkerMode } from './sim-worker.js';

/**
 * One action of a caller or an operator, or one fault, in a generated scenario.
 * Entries, workers and jobs are given by their index.
 */
export type FleetCommand =
  | {
      readonly kind: 'submit';
      readonly entry: number;
      readonly job: number;
    }
  | {
      readonly kind: 'status' | 'cancel';
      readonly entry: number;
      readonly job: number;
    }
  | { readonly kind: 'configure'; readonly renewal: boolean }
  | {
      readonly kind: 'evacuate';
      readonly south: boolean;
      readonly isOut: boolean;
    }
  | {
      readonly kind:
        | 'kill-entry'
        | 'pause-entry'
        | 'stop-entry'
        | 'cut-entry-store'
        | 'cut-entries';
      readonly entry: number;
    }
  | {
      readonly kind:
        | 'kill-driver'
        | 'pause-driver'
        | 'stop-driver'
        | 'cut-driver-store'
        | 'crash-worker'
        | 'drain-worker'
        | 'power-off';
      readonly worker: number;
    }
  | {
      readonly kind: 'worker';
      readonly worker: number;
      readonly mode: WorkerMode;
    }
  | {
      readonly kind: NetworkFault;
      readonly entry: number;
      readonly worker: number;
    }
  | { readonly kind: 'store'; readonly mode: StoreMode }
  | {
      readonly kind:
        'compact' | 'heal' | 'resume' | 'restart' | 'power-off-all';
    };

/** A command and the virtual time until the next one. */
export interface FleetStep {
  readonly command: FleetCommand;
  readonly thenMs: number;
}

/** A complete scenario: the seed of the simulation and its commands. */
export interface FleetScenario {
  readonly seed: number;
  readonly steps: readonly FleetStep[];
}

const ENTRY_COUNT = 3;
const WORKER_COUNT = 4;
/** Number of jobs of a scenario; some are volatile, some have several steps. */
export const JOB_COUNT = 8;
const MAX_STEPS = 24;
const MAX_GAP_MS = 1500;

/**
 * Generates scenarios for the fleet simulation with fast-check.
 *
 * @returns Arbitrary of scenarios; short gaps between commands are as likely
 * as long ones.
 */
export const fleetScenarios = (): fc.Arbitrary<FleetScenario> =>
  fc.record({
    seed: fc.nat(),
    steps: fc.array(
      fc.record({
        command: commands(),
        thenMs: fc.oneof(fc.nat(20), fc.nat(200), fc.nat(MAX_GAP_MS)),
      }),
      { maxLength: MAX_STEPS, size: 'max' },
    ),
  });

const entryIndex = (): fc.Arbitrary<number> => fc.nat(ENTRY_COUNT - 1);

const workerIndex = (): fc.Arbitrary<number> => fc.nat(WORKER_COUNT - 1);

const constantKind = <K extends string>(...names: K[]): fc.Arbitrary<K> =>
  fc.constantFrom(...names);

const commands = (): fc.Arbitrary<FleetCommand> =>
  fc.oneof(
    { weight: 10, arbitrary: callCommands('submit') },
    { weight: 3, arbitrary: callCommands('status', 'cancel') },
    { weight: 3, arbitrary: operatorCommands() },
    { weight: 8, arbitrary: faultCommands() },
    { weight: 4, arbitrary: workerFaultCommands() },
    {
      weight: 3,
      arbitrary: fc.record({
        kind: constantKind('heal', 'resume', 'restart', 'restart', 'compact'),
      }),
    },
    {
      weight: 1,
      arbitrary: fc.record({ kind: constantKind('power-off-all') }),
    },
  );

const callCommands = (
  ...names: ('submit' | 'status' | 'cancel')[]
): fc.Arbitrary<FleetCommand> =>
  fc.record({
    kind: fc.constantFrom(...names),
    entry: entryIndex(),
    job: fc.nat(JOB_COUNT - 1),
  });

const operatorCommands = (): fc.Arbitrary<FleetCommand> =>
  fc.oneof(
    fc.record({ kind: constantKind('configure'), renewal: fc.boolean() }),
    fc.record({
      kind: constantKind('evacuate'),
      south: fc.boolean(),
      isOut: fc.boolean(),
    }),
  );

const faultCommands = (): fc.Arbitrary<FleetCommand> =>
  fc.oneof(
    fc.record({
      kind: constantKind(
        'kill-entry',
        'pause-entry',
        'stop-entry',
        'cut-entry-store',
        'cut-entries',
      ),
      entry: entryIndex(),
    }),
    fc.record({
      kind: constantKind(
        'kill-driver',
        'pause-driver',
        'stop-driver',
        'cut-driver-store',
        'power-off',
      ),
      worker: workerIndex(),
    }),
    fc.record({
      kind: constantKind('cut', 'cut-one-way', 'silence', 'stall'),
      entry: entryIndex(),
      worker: workerIndex(),
    }),
    fc.record({
      kind: constantKind('store'),
      mode: fc.constantFrom(...Object.values(StoreMode)),
    }),
  );

const workerFaultCommands = (): fc.Arbitrary<FleetCommand> =>
  fc.oneof(
    fc.record({
      kind: constantKind('crash-worker', 'drain-worker'),
      worker: workerIndex(),
    }),
    fc.record({
      kind: constantKind('worker'),
      worker: workerIndex(),
      mode: fc.constantFrom(...Object.values(WorkerMode)),
    }),
  );
