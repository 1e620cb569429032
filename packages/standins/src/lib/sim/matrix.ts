import type { EntryAction, RunnerAction } from '@sapphiremux/core';
import { storeKeys } from '@sapphiremux/core';
import type { Violation } from './oracle.js';
import {
  declareConfiguration,
  removeFaults,
  checkRecovered,
} from './scenario.js';
import { StoreMode } from './faulty-store.js';
import { World } from './world.js';
import type { SimAction } from './world.js';

/** Step in the processing of a job or ticket at which a fault is injected. */
export enum Step {
  /** An entry writes the row with the specification of a job. */
  Claim = 'claim',
  /** An entry sends starts of tasks to a runner. */
  Place = 'place',
  /** A runner calls its endpoint. */
  Start = 'start',
  /** The endpoint executes a task. */
  Execute = 'execute',
  /** A runner sends results to an entry. */
  Result = 'result',
  /** An entry writes the outcome of a job. */
  Finalize = 'finalize',
  /** An entry replies to a caller with the outcome of a job. */
  Answer = 'answer',
  /** An entry writes a ticket. */
  Ticket = 'ticket',
  /** The successor of a killed entry sends a fence request to a runner. */
  Takeover = 'takeover',
  /** An entry sends a configuration that drains a data centre to a runner. */
  Drain = 'drain',
  /** An entry that completes a planned stop deletes its owner row. */
  Stop = 'stop',
}

/** Fault to inject. */
export enum Fault {
  /** The process that performs the step is killed and restarted later. */
  Kill = 'kill',
  /** The process is paused and resumed later. */
  Pause = 'pause',
  /** The process is partitioned from all others and the store for a time. */
  Cut = 'cut',
  /** The open connections of the process drop all messages. */
  Silence = 'silence',
  /** The store does not respond for a time. */
  StoreDown = 'store down',
  /** The store responds late for a time. */
  Slow = 'slow',
  /** The store loses the replies to some writes for a time. */
  LostReply = 'lost answer',
  /** The step is performed twice. */
  Duplicate = 'duplicate',
  /** The step, or all messages of the process, are delayed. */
  Reorder = 'reorder',
}

/**
 * Whether the fault is injected before or after the step is carried out. Makes
 * no difference for {@link Step.Execute}, whose faults are injected during the
 * execution, and for {@link Fault.Duplicate}.
 */
export enum FaultTiming {
  Before = 'before',
  After = 'after',
}

/** One cell of the matrix of faults and steps. */
export interface Cell {
  readonly step: Step;
  readonly fault: Fault;
  readonly timing: FaultTiming;
}

/** Result of a cell. */
export interface CellResult {
  readonly cell: Cell;
  /** Whether the step was reached, so that the fault was injected. */
  readonly isInjected: boolean;
  readonly violations: readonly Violation[];
}

const SEED = 11;
const FAULT_DURATION_MS = 8000;
const RESTART_DELAY_MS = 3000;
const REORDER_DELAY_MS = 300;
/** Time from the call of the endpoint to the fault during the execution. */
const EXECUTION_FAULT_DELAY_MS = 10;
/** Virtual time in which the jobs of the workload can complete. */
const WORKLOAD_MS = 12_000;

/** @returns The cells for every fault before and after every step. */
export const allCells = (): Cell[] =>
  Object.values(Step).flatMap((step) =>
    Object.values(Fault).flatMap((fault) =>
      Object.values(FaultTiming).map((timing) => ({ step, fault, timing })),
    ),
  );

/**
 * Tells whether a fault can occur at a step. A runner calls its endpoint with
 * an HTTP client that sends each call once, so these calls can be neither
 * duplicated nor reordered.
 *
 * @param cell - A cell of the matrix.
 * @returns Whether the cell can be run.
 */
export const isApplicable = ({ step, fault }: Cell): boolean => {
  const isCall = step === Step.Start || step === Step.Execute;
  return !(isCall && (fault === Fault.Duplicate || fault === Fault.Reorder));
};

/**
 * Runs a fixed workload of jobs, requests and tickets in a simulated cluster
 * and injects one fault at one step.
 *
 * @param cell - The fault and the step.
 * @returns Whether the fault was injected, and the violated guarantees.
 */
export const runCell = (cell: Cell): CellResult => {
  let isInjected = false;
  const world = new World({
    seed: SEED,
    intercept: (action, run) => {
      if (isInjected || !isArmed || !isAtStep(cell.step, action)) {
        run();
        return;
      }
      isInjected = true;
      injectFaultAt(world, cell, action, run);
    },
  });
  let isArmed = false;
  declareConfiguration(world);
  isArmed = true;
  runWorkload(world, cell.step);
  removeFaults(world);
  checkRecovered(world);
  checkJobsComplete(world, cell);
  return { cell, isInjected, violations: world.oracle.violations };
};

const runWorkload = (world: World, step: Step): void => {
  const [first, second, third] = world.entries;
  if (!first || !second || !third) {
    throw new Error(
      'The workload needs a simulated cluster with three entries.',
    );
  }
  const job = { isUrgent: false, isFirstAttempt: true };
  world.submit(first, { ...job, id: 'job-a', taskCount: 9 });
  world.submit(second, { ...job, id: 'job-b', taskCount: 5 });
  world.request(first, false);
  world.request(second, true);
  world.queue.runUntil(world.queue.nowMs + 100);
  world.queryJob(third, 'job-a', false, WORKLOAD_MS);
  world.queryJob(second, 'job-b', false, WORKLOAD_MS);
  if (step === Step.Takeover) {
    world.killEntry(first);
  } else if (step === Step.Stop) {
    first.post(() => {
      first.dispatch({ kind: 'stop' });
    });
  }
  world.setDataCentreInService(second, 'south', false);
  world.queue.runUntil(world.queue.nowMs + 400);
  world.submit(third, {
    ...job,
    id: 'job-a',
    isFirstAttempt: false,
    taskCount: 9,
  });
  world.queue.runUntil(world.queue.nowMs + WORKLOAD_MS / 2);
  world.setDataCentreInService(third, 'south', true);
  world.queue.runUntil(world.queue.nowMs + WORKLOAD_MS / 2);
};

const injectFaultAt = (
  world: World,
  cell: Cell,
  action: SimAction,
  run: () => void,
): void => {
  if (cell.step === Step.Execute) {
    run();
    world.queue.after(EXECUTION_FAULT_DELAY_MS, () => {
      injectFault(world, cell.fault, action, () => undefined);
    });
  } else if (cell.fault === Fault.Duplicate) {
    run();
    run();
  } else if (cell.fault === Fault.Reorder) {
    reorderMessages(world, cell, action, run);
  } else if (cell.timing === FaultTiming.Before) {
    injectFault(world, cell.fault, action, run);
  } else {
    run();
    injectFault(world, cell.fault, action, () => undefined);
  }
};

/**
 * Delays the action itself past later ones, or stalls all connections of the
 * process after the action.
 */
const reorderMessages = (
  world: World,
  cell: Cell,
  { process }: SimAction,
  run: () => void,
): void => {
  if (cell.timing === FaultTiming.Before) {
    world.queue.after(REORDER_DELAY_MS, () => {
      process.post(run);
    });
    return;
  }
  run();
  stallLinks(world, process, FAULT_DURATION_MS);
};

const stallLinks = (
  world: World,
  process: SimAction['process'],
  durationMs: number,
): void => {
  world.linksOf(process).forEach((link) => {
    world.network.stall(link);
  });
  world.queue.after(durationMs, () => {
    world.network.heal();
  });
};

const injectFault = (
  world: World,
  fault: Fault,
  { process, role }: SimAction,
  run: () => void,
): void => {
  const { queue, network, store } = world;
  switch (fault) {
    case Fault.Kill:
      if (role === 'entry') {
        world.killEntry(process);
      } else {
        world.killRunner(process);
      }
      queue.after(RESTART_DELAY_MS, () => {
        process.restart();
      });
      return;
    case Fault.Pause:
      process.pause();
      process.post(run);
      queue.after(FAULT_DURATION_MS, () => {
        process.resume();
      });
      return;
    case Fault.Cut:
      isolateProcess(world, process.name);
      run();
      queue.after(FAULT_DURATION_MS, () => {
        network.heal();
      });
      return;
    case Fault.Silence:
      world.linksOf(process).forEach((link) => {
        network.silence(link);
      });
      run();
      return;
    case Fault.StoreDown:
    case Fault.Slow:
    case Fault.LostReply:
      store.mode = STORE_MODES[fault];
      run();
      queue.after(FAULT_DURATION_MS, () => {
        store.mode = StoreMode.Up;
      });
      return;
    case Fault.Duplicate:
    case Fault.Reorder:
      run();
  }
};

const STORE_MODES = {
  [Fault.StoreDown]: StoreMode.Unresponsive,
  [Fault.Slow]: StoreMode.Slow,
  [Fault.LostReply]: StoreMode.LosingReplies,
} as const;

const isolateProcess = (world: World, name: string): void => {
  const others = [...world.entries, ...world.runners].map((p) => p.name);
  for (const other of [...others, 'store']) {
    world.network.cutBoth(name, other);
  }
};

const isAtStep = (step: Step, { role, action }: SimAction): boolean =>
  role === 'entry' ? isEntryAtStep(step, action) : isRunnerAtStep(step, action);

const isRunnerAtStep = (step: Step, action: RunnerAction): boolean => {
  if (step === Step.Start || step === Step.Execute) {
    return action.kind === 'call';
  }
  return (
    step === Step.Result &&
    action.kind === 'send' &&
    action.msg.results.length > 0
  );
};

const isEntryAtStep = (step: Step, action: EntryAction): boolean => {
  switch (step) {
    case Step.Claim:
      return writes(action, storeKeys.job(''), '"spec');
    case Step.Place:
      return action.kind === 'send' && action.msg.starts.length > 0;
    case Step.Finalize:
      return writes(action, storeKeys.job(''), '"outcome');
    case Step.Answer:
      return action.kind === 'reply' && isFinalReply(action);
    case Step.Ticket:
      return writes(action, storeKeys.ticketPrefix, '');
    case Step.Takeover:
      return action.kind === 'fence';
    case Step.Drain:
      return action.kind === 'send' && action.msg.config !== undefined;
    case Step.Stop:
      return writes(action, storeKeys.owner(''), null);
    case Step.Start:
    case Step.Execute:
    case Step.Result:
      return false;
  }
};

const writes = (
  action: EntryAction,
  prefix: string,
  content: string | null,
): boolean =>
  action.kind === 'store' &&
  action.req.kind === 'transact' &&
  action.req.writes.some(
    ({ key, value }) =>
      key.startsWith(prefix) &&
      (content === null ? value === null : (value?.includes(content) ?? false)),
  );

const isFinalReply = (
  action: Extract<EntryAction, { kind: 'reply' }>,
): boolean =>
  action.reply.kind === 'job' && action.reply.status.outcome !== undefined;

/**
 * Reports accepted jobs that did not complete. Jobs may fail only if the fault
 * makes their runner unavailable.
 */
const checkJobsComplete = (world: World, { step, fault }: Cell): void => {
  const isRunnerFault =
    step === Step.Start || step === Step.Execute || step === Step.Result;
  const mayLoseRunner =
    isRunnerFault &&
    (fault === Fault.Kill || fault === Fault.Pause || fault === Fault.Cut);
  if (mayLoseRunner) {
    return;
  }
  for (const id of world.accepted) {
    const outcome = world.oracle.reportedOutcome(id);
    if (outcome?.kind !== 'complete') {
      const detail = `${id}: ${outcome ? outcome.reason : 'no outcome'}`;
      world.oracle.report('the job completes', world.queue.nowMs, detail);
    }
  }
};
