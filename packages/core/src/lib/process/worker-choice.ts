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
}

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

/**
 * Chooses the worker that is expected to finish a task first.
 *
 * Load pattern: steady load on workers of different speed and size, with
 * several entries choosing at the same time, whose knowledge of the free capacity
 * is some milliseconds old. Each entry uses the workers first that it prefers, so
 * that entries do not all choose the same ones. Free capacity and a random factor
 * decide between equal workers.
 * For jobs of many short tasks, orders to many workers would cost more than the
 * tasks, so the tasks of one job share workers that have the capacity.
 *
 * @param requirements - Requirements of the task.
 * @param candidates - Workers that accept starts.
 * @param random - Uniform random numbers from 0 to 1.
 * @returns The worker, or `undefined` if the task fits on none.
 */
export const chooseWorker = <C extends Candidate>(
  requirements: TaskRequirements,
  candidates: readonly C[],
  random: () => number,
): C | undefined => {
  const eligible = candidates.filter(
    (worker) =>
      fits(requirements.needs, worker.free) &&
      leavesReserve(requirements, worker) &&
      (requirements.requires === undefined ||
        worker.labels.includes(requirements.requires)),
  );
  // Ejected workers, workers that failed the task and workers that may crash are
  // used only if no other worker fits; otherwise the task would have to wait.
  const preferred = eligible.filter(
    (worker) =>
      !worker.isEjected &&
      !worker.hasSuspect &&
      !requirements.avoidedWorkers.has(worker.name),
  );
  const pool = preferred.length > 0 ? preferred : eligible;
  let best: C | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const worker of pool) {
    const cost = costOf(requirements, worker, random);
    if (cost < bestCost) {
      best = worker;
      bestCost = cost;
    }
  }
  return best;
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

const costOf = (
  requirements: TaskRequirements,
  worker: Candidate,
  random: () => number,
): number => {
  const isDataRemote =
    requirements.affinity !== undefined &&
    !worker.labels.includes(requirements.affinity);
  const localDiscount =
    worker.dataCentre === requirements.dataCentre ? LOCAL_DISCOUNT : 0;
  const orderDiscount = worker.hasPendingOrder ? PENDING_ORDER_DISCOUNT : 0;
  const preferredDiscount = worker.isPreferred ? PREFERRED_DISCOUNT : 0;
  const cpu = Math.max(1, worker.free.cpuMilli);
  const loadCost = LOAD_WEIGHT * (requirements.needs.cpuMilli / cpu);
  const base =
    worker.slowness * (isDataRemote ? requirements.remoteDataFactor : 1);
  const discount = localDiscount + orderDiscount + preferredDiscount;
  return base + loadCost * (1 + random()) - discount;
};
