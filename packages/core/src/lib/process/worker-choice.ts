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
  readonly hasOrder: boolean;
  /** Whether it is ejected because of recent failures. */
  readonly isSetAside: boolean;
}

/** What a task requires of its worker. */
export interface Wanted {
  readonly needs: Room;
  readonly requires: string | undefined;
  readonly affinity: string | undefined;
  /** Ratio of the run time away from the data to the run time near it. */
  readonly farFactor: number;
  /** Workers to use only if no other one fits. */
  readonly avoid: ReadonlySet<string>;
  /** CPU to leave free at a worker of the given capacity, in millicores. */
  readonly reserve: (capacityMilli: number) => number;
  /** Data centre of the entry. */
  readonly dataCentre: string;
}

/** Cost reduction for a worker in the data centre of the entry. */
const LOCAL_BONUS = 0.03;
/**
 * Cost reduction for a worker that is sent an order in this round anyway, so
 * that tasks of one job share workers. Small enough that a worker which is 10%
 * slower is not chosen for it.
 */
const SAME_ORDER_BONUS = 0.08;
/** Weight of a worker's utilisation; spreads load among equal workers. */
const FILL_WEIGHT = 0.1;

/**
 * Chooses the worker that is expected to finish a task first.
 *
 * Load pattern: steady load on workers of different speed and size, with several
 * entries choosing at the same time. Free capacity and a random factor decide
 * between equal workers, so that entries do not all choose the same one. For
 * jobs of many short tasks, orders to many workers would cost more than the
 * tasks, so the tasks of one job share workers that have the capacity.
 *
 * @param wanted - Requirements of the task.
 * @param candidates - Workers that accept starts.
 * @param random - Uniform random numbers from 0 to 1.
 * @returns The worker, or `undefined` if the task fits on none.
 */
export const chooseWorker = <C extends Candidate>(
  wanted: Wanted,
  candidates: readonly C[],
  random: () => number,
): C | undefined => {
  const able = candidates.filter(
    (worker) =>
      fits(wanted.needs, worker.free) &&
      leavesReserve(wanted, worker) &&
      (wanted.requires === undefined ||
        worker.labels.includes(wanted.requires)),
  );
  // Ejected workers and workers that failed the task are used only if no other
  // worker fits; otherwise the task would have to wait.
  const better = able.filter(
    (worker) => !worker.isSetAside && !wanted.avoid.has(worker.name),
  );
  const pool = better.length > 0 ? better : able;
  let best: C | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const worker of pool) {
    const cost = costOf(wanted, worker, random);
    if (cost < bestCost) {
      best = worker;
      bestCost = cost;
    }
  }
  return best;
};

const leavesReserve = (wanted: Wanted, worker: Candidate): boolean => {
  const { cpuMilli } = worker.capacity;
  const leftMilli = worker.free.cpuMilli - wanted.needs.cpuMilli;
  const isIdle = worker.free.cpuMilli >= cpuMilli;
  return isIdle || leftMilli >= wanted.reserve(cpuMilli);
};

const costOf = (
  wanted: Wanted,
  worker: Candidate,
  random: () => number,
): number => {
  const isFar =
    wanted.affinity !== undefined && !worker.labels.includes(wanted.affinity);
  const local = worker.dataCentre === wanted.dataCentre ? LOCAL_BONUS : 0;
  const together = worker.hasOrder ? SAME_ORDER_BONUS : 0;
  const cpu = Math.max(1, worker.free.cpuMilli);
  const fill = FILL_WEIGHT * (wanted.needs.cpuMilli / cpu);
  const base = worker.slowness * (isFar ? wanted.farFactor : 1);
  return base + fill * (1 + random()) - local - together;
};
