import type { EntryAction, RunnerAction } from '@sapphiremux/core';
import { storeKeys } from '@sapphiremux/core';
import type { Violation } from './oracle.js';
import { begin, recover, settle } from './scenario.js';
import { StoreMode } from './faulty-store.js';
import { World } from './world.js';
import type { SimAction } from './world.js';

/** A step in the processing of jobs and tickets at which a fault is injected. */
export enum Step {
  Claim = 'claim',
  Place = 'place',
  Start = 'start',
  Execute = 'execute',
  Result = 'result',
  Finalize = 'finalize',
  Answer = 'answer',
  Ticket = 'ticket',
  Takeover = 'takeover',
  Drain = 'drain',
  Stop = 'stop',
}

/** Fault to inject. */
export enum Fault {
  Kill = 'kill',
  Pause = 'pause',
  Cut = 'cut',
  Silence = 'silence',
  StoreDown = 'store down',
  Slow = 'slow',
  LostAnswer = 'lost answer',
  Duplicate = 'duplicate',
  Reorder = 'reorder',
}

/** Whether the fault is injected before or after the step is carried out. */
export enum Moment {
  Before = 'before',
  After = 'after',
}

/** One cell of the matrix of faults and steps. */
export interface Cell {
  readonly step: Step;
  readonly fault: Fault;
  readonly moment: Moment;
}

/** Result of a cell. */
export interface CellResult {
  readonly cell: Cell;
  /** Whether the step was reached, so that the fault was injected. */
  readonly struck: boolean;
  readonly violations: readonly Violation[];
}

const SEED = 11;
const FAULT_MS = 8000;
const RESTART_AFTER_MS = 3000;
const REORDER_MS = 300;
const MID_EXECUTION_MS = 10;
const RUN_MS = 12_000;

/** @returns The cells for every fault before and after every step. */
export const allCells = (): Cell[] =>
  Object.values(Step).flatMap((step) =>
    Object.values(Fault).flatMap((fault) =>
      Object.values(Moment).map((moment) => ({ step, fault, moment })),
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
export const isPossible = ({ step, fault }: Cell): boolean => {
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
  let struck = false;
  const world = new World({
    seed: SEED,
    intercept: (action, run) => {
      if (struck || !isArmed || !isStep(cell.step, action)) {
        run();
        return;
      }
      struck = true;
      strikeAt(world, cell, action, run);
    },
  });
  let isArmed = false;
  begin(world);
  isArmed = true;
  play(world, cell.step);
  recover(world);
  settle(world);
  expectComplete(world, cell);
  return { cell, struck, violations: world.oracle.violations };
};

const play = (world: World, step: Step): void => {
  const [first, second, third] = world.entries;
  if (!first || !second || !third) {
    throw new Error(
      'The workload needs a simulated cluster with three entries.',
    );
  }
  const job = { isUrgent: false, isFirst: true };
  world.submit(first, { ...job, id: 'job-a', taskCount: 9 });
  world.submit(second, { ...job, id: 'job-b', taskCount: 5 });
  world.request(first, false);
  world.request(second, true);
  world.queue.runUntil(world.queue.nowMs + 100);
  world.ask(third, 'job-a', false, RUN_MS);
  world.ask(second, 'job-b', false, RUN_MS);
  if (step === Step.Takeover) {
    world.killEntry(first);
  } else if (step === Step.Stop) {
    first.post(() => {
      first.dispatch({ kind: 'stop' });
    });
  }
  world.setDataCentre(second, 'south', false);
  world.queue.runUntil(world.queue.nowMs + 400);
  world.submit(third, { ...job, id: 'job-a', isFirst: false, taskCount: 9 });
  world.queue.runUntil(world.queue.nowMs + RUN_MS / 2);
  world.setDataCentre(third, 'south', true);
  world.queue.runUntil(world.queue.nowMs + RUN_MS / 2);
};

const strikeAt = (
  world: World,
  cell: Cell,
  action: SimAction,
  run: () => void,
): void => {
  if (cell.step === Step.Execute) {
    run();
    world.queue.after(MID_EXECUTION_MS, () => {
      strike(world, cell.fault, action, () => undefined);
    });
  } else if (cell.fault === Fault.Duplicate) {
    run();
    run();
  } else if (cell.fault === Fault.Reorder) {
    reorder(world, cell, action, run);
  } else if (cell.moment === Moment.Before) {
    strike(world, cell.fault, action, run);
  } else {
    run();
    strike(world, cell.fault, action, () => undefined);
  }
};

/** Delays the action itself, or all messages on the process's connections. */
const reorder = (
  world: World,
  cell: Cell,
  { process }: SimAction,
  run: () => void,
): void => {
  if (cell.moment === Moment.Before) {
    world.queue.after(REORDER_MS, () => {
      process.post(run);
    });
    return;
  }
  run();
  stallFor(world, process, FAULT_MS);
};

const stallFor = (
  world: World,
  process: SimAction['process'],
  forMs: number,
): void => {
  world.linksOf(process).forEach((link) => {
    world.network.stall(link);
  });
  world.queue.after(forMs, () => {
    world.network.heal();
  });
};

const strike = (
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
      queue.after(RESTART_AFTER_MS, () => {
        process.restart();
      });
      return;
    case Fault.Pause:
      process.pause();
      process.post(run);
      queue.after(FAULT_MS, () => {
        process.resume();
      });
      return;
    case Fault.Cut:
      cutOff(world, process.name);
      run();
      queue.after(FAULT_MS, () => {
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
    case Fault.LostAnswer:
      store.mode = STORE_MODE[fault];
      run();
      queue.after(FAULT_MS, () => {
        store.mode = StoreMode.Up;
      });
      return;
    case Fault.Duplicate:
    case Fault.Reorder:
      run();
  }
};

const STORE_MODE = {
  [Fault.StoreDown]: StoreMode.Silent,
  [Fault.Slow]: StoreMode.Slow,
  [Fault.LostAnswer]: StoreMode.LosingAnswers,
} as const;

const cutOff = (world: World, name: string): void => {
  const others = [...world.entries, ...world.runners].map((p) => p.name);
  for (const other of [...others, 'store']) {
    world.network.cutBoth(name, other);
  }
};

const isStep = (step: Step, { role, action }: SimAction): boolean =>
  role === 'entry' ? isEntryStep(step, action) : isRunnerStep(step, action);

const isRunnerStep = (step: Step, action: RunnerAction): boolean => {
  if (step === Step.Start || step === Step.Execute) {
    return action.kind === 'call';
  }
  return (
    step === Step.Result &&
    action.kind === 'send' &&
    action.msg.results.length > 0
  );
};

const isEntryStep = (step: Step, action: EntryAction): boolean => {
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
const expectComplete = (world: World, { step, fault }: Cell): void => {
  const isRunnerStruck =
    step === Step.Start || step === Step.Execute || step === Step.Result;
  const mayLoseRunner =
    isRunnerStruck &&
    (fault === Fault.Kill || fault === Fault.Pause || fault === Fault.Cut);
  if (mayLoseRunner) {
    return;
  }
  for (const id of world.accepted) {
    const outcome = world.oracle.outcomeOf(id);
    if (outcome?.kind !== 'complete') {
      const detail = `${id}: ${outcome ? outcome.reason : 'no outcome'}`;
      world.oracle.report('the job completes', world.queue.nowMs, detail);
    }
  }
};
