import type { Room } from '../messages.js';
import { fits } from '../request/room.js';

/** A worker that a task may be placed on. */
export interface Candidate {
  readonly name: string;
  readonly dataCentre: string;
  readonly free: Room;
  readonly capacity: Room;
  readonly labels: readonly string[];
  /** Ratio of the expected run time there to the typical one. */
  readonly slowness: number;
  /** Whether an order is sent to it in this round anyway. */
  readonly hasPendingOrder: boolean;
  /** Whether it is ejected because of recent failures. */
  readonly isEjected: boolean;
  /** Whether this entry, rather than another, is to use it first. */
  readonly isPreferred: boolean;
  /** Whether a task runs there under which a worker has crashed before. */
  readonly hasSuspect: boolean;
}

/** What a task requires of its worker. */
export interface TaskRequirements {
  readonly needs: Room;
  readonly requires: string | undefined;
  readonly affinity: string | undefined;
  /** Ratio of the run time with remote data to the run time with local data. */
  readonly remoteDataFactor: number;
  /** Workers to use only if no other one fits. */
  readonly avoidedWorkers: ReadonlySet<string>;
  /** CPU to leave free at a worker of the given capacity, in millicores. */
  readonly reserve: (capacityMilli: number) => number;
  /** Data centre of the entry. */
  readonly dataCentre: string;
  /**
   * Greatest slowness of a worker at which the task ends in time, see
   * {@link maxSlownessOf}; without it the fastest worker is chosen.
   */
  readonly maxSlowness?: number;
  /** Share of the workers' CPU that is in use, from 0 to 1; by default 1. */
  readonly usedShare?: number;
}

/** Times from which the greatest suitable slowness of a worker is derived. */
export interface TaskTimes {
  /** Time until the job has to end. */
  readonly dueInMs: number;
  /** Expected run time of the task at a typical worker. */
  readonly expectedMs: number;
  /** Expected run time of the longest chain of steps after it. */
  readonly laterMs: number;
  /** Number of tasks of its step; the step ends with the slowest of them. */
  readonly width: number;
}

/** Time for the start of a run and the report of its end. */
const TRANSIT_MS = 20;
/** Standard deviation of the run times of tasks of one job, relative to them. */
const TASK_DEVIATION = 0.15;
/**
 * Standard deviations that one run time, and the longest one of several for
 * each doubling of their number, exceed the mean by with a probability of a
 * sixth; computed from the normal distribution for up to 16 tasks.
 */
const MARGIN_DEVIATIONS = 1;
const MARGIN_PER_DOUBLING = 0.35;

/**
 * Computes the greatest slowness of a worker at which a task will probably end
 * in time.
 *
 * @param times - Times of the task and its job.
 * @returns Ratio of the run time to the typical one; 0 or less if the time has
 *   passed, `undefined` without an estimate.
 */
export const maxSlownessOf = ({
  dueInMs,
  expectedMs,
  laterMs,
  width,
}: TaskTimes): number | undefined => {
  if (expectedMs <= 0) {
    return undefined;
  }
  const doublings = Math.log2(Math.max(1, width));
  const deviations = MARGIN_DEVIATIONS + MARGIN_PER_DOUBLING * doublings;
  const longestMs = expectedMs * (1 + TASK_DEVIATION * deviations);
  return (dueInMs - laterMs - TRANSIT_MS) / longestMs;
};

/**
 * @param affinity - Label of the rack that holds the data of a task, if any.
 * @param labels - Labels of a worker.
 * @param remoteDataFactor - Ratio of the run time with remote data to the run
 *   time with local data.
 * @returns Ratio of the run time there to the run time with local data.
 */
export const dataFactorOf = (
  affinity: string | undefined,
  labels: readonly string[],
  remoteDataFactor: number,
): number =>
  affinity === undefined || labels.includes(affinity) ? 1 : remoteDataFactor;

/**
 * Cost reduction for a worker in the data centre of the entry. A worker of
 * typical speed that is near the data of the task has a cost of about 1.
 */
const LOCAL_DISCOUNT = 0.03;
/**
 * Cost reduction for a worker that is sent an order in this round anyway, so
 * that tasks of one job share workers. Small enough that a worker which is 10%
 * slower is not chosen for it.
 */
const PENDING_ORDER_DISCOUNT = 0.04;
/**
 * Cost reduction for a worker that this entry is to use first. Larger than the
 * difference between the usual workers, because a start that another entry has
 * forestalled costs more than a somewhat slower worker.
 */
const PREFERRED_DISCOUNT = 0.4;
/**
 * Weight of the share of a worker's free CPU that the task takes; spreads load
 * among equal workers.
 */
const LOAD_WEIGHT = 0.1;
/** Cost of a worker at which the task would end too late. */
const TOO_SLOW_COST = 1;
/**
 * Ratios of a worker's slowness to the greatest suitable one between which this
 * cost rises from none to all of it: neither of them is known exactly.
 */
const TOO_SLOW_FROM = 0.9;
const TOO_SLOW_TO = 1.1;
/**
 * Share of the CPU in use up to which tasks wait for a worker that is fast
 * enough. Near an overload, capacity that is left unused makes other jobs late:
 * at 1.3 times the usual load, waiting at any share took the jobs on time of the
 * shortest queue from 0.98 to 0.90 in a replay, waiting up to this share to 0.97.
 */
const MAX_HELD_SHARE = 0.8;
/**
 * Multiplier and increment of the linear congruential generator that derives
 * the noise of all candidates from one random number (Numerical Recipes, second
 * edition, section 7.1); a generator of better quality would cost more than the
 * rest of the choice.
 */
const LCG_MULTIPLIER = 1_664_525;
const LCG_INCREMENT = 1_013_904_223;
const LCG_MODULUS = 2 ** 32;

/**
 * Chooses the worker for a task: in general the one that is expected to finish
 * it first.
 *
 * Load pattern: steady load on workers of different speed and size, with
 * several entries choosing at the same time, whose knowledge of the free capacity
 * is some milliseconds old. Each entry uses the workers first that it prefers, so
 * that entries do not all choose the same ones. Free capacity and a random factor
 * decide between equal workers.
 * For jobs of many short tasks, orders to many workers would cost more than the
 * tasks, so the tasks of one job share workers that have the capacity.
 *
 * Tasks with a due time avoid workers at which they would be late, which leaves
 * the fast workers to the tasks with little slack. If only workers that are too
 * slow have free capacity, a task is held back as long as it can still end in
 * time on one of the others and capacity is not scarce.
 *
 * @param requirements - Requirements of the task.
 * @param candidates - Workers that accept starts.
 * @param random - Uniform random numbers from 0 to 1.
 * @returns The worker, or `undefined` if the task is not placed now.
 */
export const chooseWorker = <C extends Candidate>(
  requirements: TaskRequirements,
  candidates: readonly C[],
  random: () => number,
): C | undefined => {
  const { avoidedWorkers, maxSlowness, needs, requires } = requirements;
  const mayHold = maxSlowness !== undefined && mayHoldBack(requirements);
  let noise = Math.floor(random() * LCG_MODULUS);
  let best: C | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  let isBestTooSlow = false;
  // Ejected workers, workers that failed the task and workers that may crash are
  // used only if no other worker fits; otherwise the task would have to wait.
  let fallback: C | undefined;
  let fallbackCost = Number.POSITIVE_INFINITY;
  let isFasterBusy = false;
  for (const worker of candidates) {
    if (requires !== undefined && !worker.labels.includes(requires)) {
      continue;
    }
    const slowness =
      worker.slowness *
      dataFactorOf(
        requirements.affinity,
        worker.labels,
        requirements.remoteDataFactor,
      );
    const isTooSlow = maxSlowness !== undefined && slowness > maxSlowness;
    const isLastResort =
      worker.isEjected ||
      worker.hasSuspect ||
      (avoidedWorkers.size > 0 && avoidedWorkers.has(worker.name));
    if (!fits(needs, worker.free) || !leavesReserve(requirements, worker)) {
      isFasterBusy ||= mayHold && !isTooSlow && !isLastResort;
      continue;
    }
    noise = (Math.imul(noise, LCG_MULTIPLIER) + LCG_INCREMENT) >>> 0;
    const loadCost =
      (LOAD_WEIGHT * needs.cpuMilli) / Math.max(1, worker.free.cpuMilli);
    const cost =
      slowness +
      tooSlowCost(slowness, maxSlowness) +
      loadCost * (1 + noise / LCG_MODULUS) -
      discountOf(requirements, worker);
    if (isLastResort) {
      if (cost < fallbackCost) {
        fallback = worker;
        fallbackCost = cost;
      }
    } else if (cost < bestCost) {
      best = worker;
      bestCost = cost;
      isBestTooSlow = isTooSlow;
    }
  }
  return isBestTooSlow && isFasterBusy ? undefined : (best ?? fallback);
};

/**
 * @param requirements - Requirements of a task that was not placed.
 * @param candidates - Workers that accept starts.
 * @returns Whether it was held back, although a worker has free capacity.
 */
export const isHeldBack = (
  requirements: TaskRequirements,
  candidates: readonly Candidate[],
): boolean =>
  mayHoldBack(requirements) &&
  candidates.some(
    (worker) =>
      fits(requirements.needs, worker.free) &&
      leavesReserve(requirements, worker) &&
      (requirements.requires === undefined ||
        worker.labels.includes(requirements.requires)),
  );

const mayHoldBack = ({ usedShare = 1 }: TaskRequirements): boolean =>
  usedShare < MAX_HELD_SHARE;

const tooSlowCost = (
  slowness: number,
  maxSlowness: number | undefined,
): number => {
  if (maxSlowness === undefined || slowness <= TOO_SLOW_FROM * maxSlowness) {
    return 0;
  }
  if (slowness >= TOO_SLOW_TO * maxSlowness) {
    return TOO_SLOW_COST;
  }
  const position = slowness / maxSlowness - TOO_SLOW_FROM;
  return (TOO_SLOW_COST * position) / (TOO_SLOW_TO - TOO_SLOW_FROM);
};

const leavesReserve = (
  requirements: TaskRequirements,
  worker: Candidate,
): boolean => {
  const { cpuMilli } = worker.capacity;
  const leftMilli = worker.free.cpuMilli - requirements.needs.cpuMilli;
  // Waiting for more free capacity at an idle worker would be in vain.
  const isIdle = worker.free.cpuMilli >= cpuMilli;
  return isIdle || leftMilli >= requirements.reserve(cpuMilli);
};

const discountOf = (
  requirements: TaskRequirements,
  worker: Candidate,
): number =>
  (worker.dataCentre === requirements.dataCentre ? LOCAL_DISCOUNT : 0) +
  (worker.hasPendingOrder ? PENDING_ORDER_DISCOUNT : 0) +
  (worker.isPreferred ? PREFERRED_DISCOUNT : 0);
