import fc from 'fast-check';
import type { NetworkFault } from '../sim/network.js';
import { StoreMode } from '../sim/faulty-store.js';
import { GRACE_MS } from './sim-batch-entry.js';
import { RunMoment, WorkerMode } from './sim-worker.js';

/** What a fault that begins at a moment of a run affects. */
export enum StrikeTarget {
  /** The entry that owns the job is killed and starts again. */
  KillOwner = 'kill-owner',
  PauseOwner = 'pause-owner',
  /** The driver process of the run's worker is killed and starts again. */
  KillDriver = 'kill-driver',
  /** The worker crashes and starts again. */
  CrashWorker = 'crash-worker',
  /** The owner and the driver process can't reach each other. */
  CutLink = 'cut-link',
  /** The links between them hold back what they carry, also past a restart. */
  StallLink = 'stall-link',
  /** The store loses replies to writes and carries some of them out late. */
  LateStore = 'late-store',
  /** The worker carries out calls late. */
  LateWorker = 'late-worker',
  /** The run fails, or goes on until it is stopped. */
  FailRun = 'fail-run',
  HangRun = 'hang-run',
}

/** One fault of a strike. */
export interface StrikeFault {
  readonly target: StrikeTarget;
  /** Time from the moment of the strike until the fault begins. */
  readonly delayMs: number;
  /** Duration of the fault. */
  readonly forMs: number;
}

/**
 * One action of a caller or an operator, or one fault, in a generated scenario.
 * Entries, workers and jobs are given by their index.
 */
export type FleetCommand =
  | {
      readonly kind: 'submit';
      readonly entry: number;
      readonly job: number;
      /**
       * Entry to which the caller of a volatile job sends it again if the
       * connection breaks or the job may have run, and the delay beyond the time
       * that callers wait at least.
       */
      readonly resend?: { readonly to: number; readonly delayMs: number };
    }
  | {
      /** Resets the connections of callers that wait for the end of a job. */
      readonly kind: 'reset-callers';
      readonly entry: number;
      /** Whether every second connection is spared. */
      readonly isPartial: boolean;
    }
  /**
   * Slow turns of the event loop of an entry or a worker driver process, which
   * gets too little processor time but isn't paused. An entry may stand still in
   * each of them after it has polled for events, before it handles them.
   */
  | {
      readonly kind: 'slow-entry';
      readonly entry: number;
      readonly turnsMs: readonly number[];
      readonly isStandStill?: boolean;
    }
  | {
      readonly kind: 'slow-driver';
      readonly worker: number;
      readonly turnsMs: readonly number[];
    }
  | {
      readonly kind: 'status' | 'cancel';
      readonly entry: number;
      readonly job: number;
    }
  | {
      readonly kind: 'configure';
      /** Routes the queue to the service `renewal` instead of `levy`. */
      readonly renewal: boolean;
    }
  | {
      readonly kind: 'evacuate';
      /** Applies to the data centre `south` instead of `north`. */
      readonly south: boolean;
      /** Whether the data centre is taken out of service or returned to it. */
      readonly isOut: boolean;
    }
  | {
      /** Planned stop of an entry. */
      readonly kind: 'stop-entry';
      readonly entry: number;
      /** Time from its end until the entry starts again; never if absent. */
      readonly startAfterMs?: number | undefined;
      /** State of the store from a time after the signal on. */
      readonly store?:
        { readonly mode: StoreMode; readonly afterMs: number } | undefined;
    }
  /** Faults of an entry. `cut-entries` disconnects it from the other entries. */
  | {
      readonly kind:
        'kill-entry' | 'pause-entry' | 'cut-entry-store' | 'cut-entries';
      readonly entry: number;
    }
  /**
   * Faults and planned stops of a worker or of its driver process. `power-off`
   * ends both.
   */
  /** `lose-row` deletes the row through which entries discover the worker. */
  | {
      readonly kind:
        | 'kill-driver'
        | 'pause-driver'
        | 'stop-driver'
        | 'cut-driver-store'
        | 'crash-worker'
        | 'drain-worker'
        | 'lose-row'
        | 'power-off';
      readonly worker: number;
    }
  | {
      readonly kind: 'worker';
      readonly worker: number;
      readonly mode: WorkerMode;
    }
  | {
      readonly kind: 'resize-worker';
      readonly worker: number;
      /** Share of the usual capacity. */
      readonly share: number;
    }
  | {
      readonly kind: NetworkFault;
      readonly entry: number;
      readonly worker: number;
    }
  | {
      /** Cuts an entry off from all workers but one. */
      readonly kind: 'cut-workers';
      readonly entry: number;
      readonly spared: number;
    }
  | { readonly kind: 'store'; readonly mode: StoreMode }
  /** An entry or a worker driver process that is killed soon after each start. */
  | {
      readonly kind: 'crash-loop';
      readonly process:
        { readonly entry: number } | { readonly worker: number };
      /** Time from each start to the next kill; the first kill comes at once. */
      readonly upMs: readonly number[];
      /** Time from each kill to the next start. */
      readonly downMs: number;
      /** Whether the store loses replies to writes and performs some late. */
      readonly isStoreLate: boolean;
    }
  /** Faults that begin at a moment of the next run of a job with an owner. */
  | {
      readonly kind: 'strike';
      readonly moment: RunMoment;
      readonly faults: readonly StrikeFault[];
    }
  /**
   * `compact` drops the change history of the store, `heal` ends cuts and stalls
   * of the network, `resume` ends pauses and `restart` starts the processes and
   * workers that have ended. `power-off-all` kills all entries and worker driver
   * processes; the workers run on.
   */
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
  /** See {@link FleetWorldOptions.resendMs}. */
  readonly resendMs?: number;
  readonly steps: readonly FleetStep[];
}

/** Numbers of entries and workers that the simulated fleet has. */
const ENTRY_COUNT = 3;
const WORKER_COUNT = 4;
/** Number of jobs of a scenario; some are volatile, some have several steps. */
export const JOB_COUNT = 8;
/**
 * Further jobs, whose first task crashes each worker that starts it. The first
 * of them is volatile, the second is recorded.
 */
export const DEADLY_JOBS = [JOB_COUNT, JOB_COUNT + 1] as const;
/**
 * A volatile job whose runs last longer than its callers wait before they send
 * it again.
 */
export const LONG_VOLATILE_JOB = JOB_COUNT + DEADLY_JOBS.length;
/**
 * A volatile job of the same size whose runs last longer than callers wait in any
 * scenario. It is not generated.
 */
export const LONGEST_VOLATILE_JOB = 1000;
const MAX_STEPS = 24;
const MAX_GAP_MS = 1500;
const MIN_SLOW_TURN_MS = 100;
const MAX_SLOW_TURN_MS = 2000;
const MAX_SLOW_TURNS = 3;
const MAX_RESEND_DELAY_MS = 1000;
const MAX_START_DELAY_MS = 1000;
// Times until a volatile job is sent again. No safe limits follow below 861 ms.
const MIN_RESEND_MS = 900;
const MAX_RESEND_MS = 3000;
/** Longest time from a moment of a run until the faults of a strike begin. */
const MAX_STRIKE_DELAY_MS = 60;
const MAX_STRIKE_MS = 6000;
const MAX_SHORT_STRIKE_MS = 400;
const MAX_STRIKE_FAULTS = 5;
const MAX_LOOPS = 3;
/** Longest time from a start to the next kill of a crash loop. */
const MAX_UP_MS = 4000;

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
    resendMs: fc.integer({ min: MIN_RESEND_MS, max: MAX_RESEND_MS }),
  });

const entryIndex = (): fc.Arbitrary<number> => fc.nat(ENTRY_COUNT - 1);

const workerIndex = (): fc.Arbitrary<number> => fc.nat(WORKER_COUNT - 1);

const oneOfKinds = <K extends string>(...kinds: K[]): fc.Arbitrary<K> =>
  fc.constantFrom(...kinds);

const commands = (): fc.Arbitrary<FleetCommand> =>
  fc.oneof(
    { weight: 10, arbitrary: submitCommands() },
    { weight: 3, arbitrary: callCommands('status', 'cancel') },
    { weight: 4, arbitrary: slowProcessCommands() },
    { weight: 3, arbitrary: operatorCommands() },
    { weight: 8, arbitrary: faultCommands() },
    { weight: 2, arbitrary: plannedStops() },
    {
      weight: 2,
      arbitrary: fc.record({
        kind: oneOfKinds('cut-workers'),
        entry: entryIndex(),
        spared: workerIndex(),
      }),
    },
    { weight: 4, arbitrary: workerFaultCommands() },
    { weight: 6, arbitrary: strikes() },
    { weight: 2, arbitrary: crashLoops() },
    {
      weight: 3,
      arbitrary: fc.record({
        // `restart` is listed twice to generate it twice as often.
        kind: oneOfKinds('heal', 'resume', 'restart', 'restart', 'compact'),
      }),
    },
    {
      weight: 1,
      arbitrary: fc.record({ kind: oneOfKinds('power-off-all') }),
    },
  );

const jobIndex = (): fc.Arbitrary<number> => fc.nat(LONG_VOLATILE_JOB);

const submitCommands = (): fc.Arbitrary<FleetCommand> =>
  fc.record({
    kind: oneOfKinds('submit'),
    entry: entryIndex(),
    job: jobIndex(),
    resend: fc.record({
      to: entryIndex(),
      delayMs: fc.oneof(fc.nat(20), fc.nat(MAX_RESEND_DELAY_MS)),
    }),
  });

const callCommands = (
  ...kinds: ('status' | 'cancel')[]
): fc.Arbitrary<FleetCommand> =>
  fc.record({
    kind: fc.constantFrom(...kinds),
    entry: entryIndex(),
    job: jobIndex(),
  });

/** Processes that get little processor time, and callers that break off. */
const slowProcessCommands = (): fc.Arbitrary<FleetCommand> => {
  const turnsMs = fc.array(
    fc.integer({ min: MIN_SLOW_TURN_MS, max: MAX_SLOW_TURN_MS }),
    { minLength: 1, maxLength: MAX_SLOW_TURNS },
  );
  return fc.oneof(
    fc.record({
      kind: oneOfKinds('reset-callers'),
      entry: entryIndex(),
      isPartial: fc.boolean(),
    }),
    fc.record({
      kind: oneOfKinds('slow-entry'),
      entry: entryIndex(),
      turnsMs,
      isStandStill: fc.boolean(),
    }),
    fc.record({
      kind: oneOfKinds('slow-driver'),
      worker: workerIndex(),
      turnsMs,
    }),
  );
};

const operatorCommands = (): fc.Arbitrary<FleetCommand> =>
  fc.oneof(
    fc.record({ kind: oneOfKinds('configure'), renewal: fc.boolean() }),
    fc.record({
      kind: oneOfKinds('evacuate'),
      south: fc.boolean(),
      isOut: fc.boolean(),
    }),
  );

/** Faults of the store begin at any time of a stop, also late. */
const plannedStops = (): fc.Arbitrary<FleetCommand> =>
  fc.record({
    kind: oneOfKinds('stop-entry'),
    entry: entryIndex(),
    startAfterMs: fc.option(fc.nat(MAX_START_DELAY_MS), { nil: undefined }),
    store: fc.option(
      fc.record({
        mode: fc.constantFrom(...Object.values(StoreMode)),
        afterMs: fc.nat(GRACE_MS),
      }),
      { nil: undefined },
    ),
  });

const faultCommands = (): fc.Arbitrary<FleetCommand> =>
  fc.oneof(
    fc.record({
      kind: oneOfKinds(
        'kill-entry',
        'pause-entry',
        'cut-entry-store',
        'cut-entries',
      ),
      entry: entryIndex(),
    }),
    fc.record({
      kind: oneOfKinds(
        'kill-driver',
        'pause-driver',
        'stop-driver',
        'cut-driver-store',
        'power-off',
      ),
      worker: workerIndex(),
    }),
    fc.record({
      kind: oneOfKinds('cut', 'cut-one-way', 'silence', 'stall'),
      entry: entryIndex(),
      worker: workerIndex(),
    }),
    fc.record({
      kind: oneOfKinds('store'),
      mode: fc.constantFrom(...Object.values(StoreMode)),
    }),
  );

/** A process may be killed again before its first writes are performed. */
const crashLoops = (): fc.Arbitrary<FleetCommand> =>
  fc.record({
    kind: oneOfKinds('crash-loop'),
    process: fc.oneof(
      fc.record({ entry: entryIndex() }),
      fc.record({ worker: workerIndex() }),
    ),
    upMs: fc.array(fc.oneof(fc.nat(200), fc.nat(MAX_UP_MS)), {
      minLength: 1,
      maxLength: MAX_LOOPS,
    }),
    downMs: fc.nat(MAX_START_DELAY_MS),
    isStoreLate: fc.boolean(),
  });

/** Windows of a few milliseconds around a run are rarely met by chance. */
const strikes = (): fc.Arbitrary<FleetCommand> =>
  fc.record({
    kind: oneOfKinds('strike'),
    moment: fc.constantFrom(...Object.values(RunMoment)),
    faults: fc.uniqueArray(
      fc.record({
        target: fc.constantFrom(...Object.values(StrikeTarget)),
        delayMs: fc.oneof(fc.nat(MAX_STRIKE_DELAY_MS), fc.nat(MAX_GAP_MS)),
        forMs: fc.oneof(
          fc.nat(MAX_SHORT_STRIKE_MS),
          fc.nat(MAX_GAP_MS),
          fc.nat(MAX_STRIKE_MS),
        ),
      }),
      {
        minLength: 1,
        maxLength: MAX_STRIKE_FAULTS,
        size: 'max',
        selector: ({ target }) => target,
      },
    ),
  });

const workerFaultCommands = (): fc.Arbitrary<FleetCommand> =>
  fc.oneof(
    fc.record({
      kind: oneOfKinds('crash-worker', 'drain-worker', 'lose-row'),
      worker: workerIndex(),
    }),
    fc.record({
      kind: oneOfKinds('resize-worker'),
      worker: workerIndex(),
      share: fc.constantFrom(0.25, 0.5, 1),
    }),
    fc.record({
      kind: oneOfKinds('worker'),
      worker: workerIndex(),
      mode: fc.constantFrom(...Object.values(WorkerMode)),
    }),
  );
