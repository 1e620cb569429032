import type { Room } from '../messages.js';
import { fits } from '../request/room.js';

/** A worker as the choice sees it. */
export interface Candidate {
  readonly name: string;
  readonly dataCentre: string;
  readonly free: Room;
  readonly capacity: Room;
  readonly labels: readonly string[];
  /** Expected run time there against the usual; 1 is as usual. */
  readonly slowness: number;
  /** Whether an order to it goes out in this turn anyway. */
  readonly hasOrder: boolean;
  /** Whether recent failures speak against it. */
  readonly isSetAside: boolean;
}

/** What a task asks of its worker. */
export interface Wanted {
  readonly needs: Room;
  readonly requires: string | undefined;
  readonly affinity: string | undefined;
  /** Run time away from the data against the time near it. */
  readonly farFactor: number;
  readonly avoid: ReadonlySet<string>;
  /** Processor time to leave free at a worker of the given capacity. */
  readonly reserve: (capacityMilli: number) => number;
  /** Data centre of the entry. */
  readonly dataCentre: string;
}

/** Advantage of a worker in the entry's own data centre, as a share of cost. */
const LOCAL_BONUS = 0.03;
/**
 * Advantage of a worker that gets an order in this turn anyway, as a share of
 * cost: tasks of one job go together while there is room for them. Small
 * enough for a worker that is a tenth slower to lose.
 */
const SAME_ORDER_BONUS = 0.08;
/** Weight of how full the worker would be: spreads load among equals. */
const FILL_WEIGHT = 0.1;

/**
 * Chooses the worker that is expected to finish a task first.
 *
 * Load pattern: steady load on workers of unlike speed and size, with several
 * entries choosing at the same time. Equal workers are told apart by free room
 * and by chance, so that entries do not all choose the same one. Jobs of many
 * short tasks, where an order to each of many workers would cost more than the
 * tasks: those of one job share workers that have the room.
 *
 * @param wanted - What the task asks for.
 * @param candidates - Workers that accept starts.
 * @param random - Uniform random numbers from 0 to 1.
 * @returns The worker, or `undefined` when none has room.
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
  // A failed run or a run of failures is a reason to go elsewhere, but not to
  // leave the task waiting when there is nowhere else.
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
