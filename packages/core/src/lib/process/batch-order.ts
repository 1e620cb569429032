import { RUNS_PER_EPOCH } from '../request/batch-job.js';
import type { BatchJob } from '../request/batch-job.js';

/** What a waiting job can still reach. */
export enum Prospect {
  /** It can end within its objective. */
  InAim,
  /** It can end late, but while its caller still has some use for it. */
  Late,
  /** Its caller has no use for it any longer. */
  Useless,
}

/** What the order of a job goes by. */
export interface JobProspect {
  readonly prospect: Prospect;
  /** Latest start that still meets the bound of the prospect. */
  readonly latestStartMs: number;
}

/** A waiting job with its prospect. */
export interface RankedJob<J> extends JobProspect {
  readonly job: J;
}

/** A job is of some use up to this many times its objective. */
const USEFUL_FACTOR = 3;

/** Times that bound the use of a job, from its acceptance. */
export interface JobBounds {
  readonly acceptedAtMs: number;
  /** Expected run time of its longest chain, from its start. */
  readonly chainMs: number;
  /** Expected run time of what is left of that chain. */
  readonly leftMs: number;
  readonly stretch: number;
  readonly slackMs: number;
}

/**
 * @param bounds - Times of the job.
 * @param now - Current time in milliseconds.
 * @returns What it can reach if it starts now, and how long it may wait.
 */
export const prospectOf = (bounds: JobBounds, now: number): JobProspect => {
  const objectiveMs = bounds.stretch * bounds.chainMs + bounds.slackMs;
  const aimMs = bounds.acceptedAtMs + objectiveMs - bounds.leftMs;
  if (now <= aimMs) {
    return { prospect: Prospect.InAim, latestStartMs: aimMs };
  }
  const lateMs =
    bounds.acceptedAtMs + USEFUL_FACTOR * objectiveMs - bounds.leftMs;
  return {
    prospect: now <= lateMs ? Prospect.Late : Prospect.Useless,
    latestStartMs: lateMs,
  };
};

/**
 * Order in which waiting jobs are placed.
 *
 * Load pattern: bursts, lost workers and restarts that leave more work than
 * room for seconds. First come, first served would make every job late once
 * there is a backlog. Here what can still meet its objective goes first, the
 * most pressing one ahead, and what can't takes the room that is left.
 *
 * @param jobs - Waiting jobs.
 * @returns The same jobs, first one first.
 */
export const orderJobs = <J>(jobs: readonly RankedJob<J>[]): RankedJob<J>[] =>
  [...jobs].sort(
    (a, b) => a.prospect - b.prospect || a.latestStartMs - b.latestStartMs,
  );

/** Share of a worker that work which is late leaves to others. */
const RESERVED_SHARE = 0.2;
/** Late work that must not be given up waits this long for such room. */
const RESERVE_PATIENCE_MS = 5000;

/**
 * Room that a job has to leave free at a worker.
 *
 * Load pattern: a backlog behind several entries after an outage. Each entry
 * orders only its own jobs; without a reserve, one that has only late jobs
 * left takes the room that another needs for what could still be in time.
 *
 * @param prospect - What the job can still reach.
 * @param waitedMs - How long it has waited.
 * @param capacityMilli - Processor time of the worker, in thousandths.
 * @returns Processor time to leave free, in thousandths of a core.
 */
export const reserveOf = (
  prospect: Prospect,
  waitedMs: number,
  capacityMilli: number,
): number => {
  const yields = prospect !== Prospect.InAim && waitedMs < RESERVE_PATIENCE_MS;
  return yields ? RESERVED_SHARE * capacityMilli : 0;
};

/** Share of its caller's patience after which a late job is given up. */
const HELD_SHARE = 0.4;

/**
 * Tells whether a job that has not begun is to be refused.
 *
 * Load pattern: an overload that lasts. A job that is late already gets only
 * the room that others leave; its caller is better off with an answer while
 * there is still time to ask again than with a wait that ends in nothing.
 *
 * @param prospect - What the job can still reach.
 * @param wait - How long it has waited, and how long its caller waits at all.
 */
export const isHopeless = (
  prospect: Prospect,
  wait: { readonly waitedMs: number; readonly patienceMs: number },
): boolean => {
  switch (prospect) {
    case Prospect.InAim:
      return false;
    case Prospect.Late:
      return wait.waitedMs > HELD_SHARE * wait.patienceMs;
    case Prospect.Useless:
      return true;
  }
};

/**
 * @param job - A job.
 * @returns Whether any of its tasks may have begun at a worker.
 */
export const hasBegun = (job: BatchJob): boolean =>
  job.tasks.some((task) => task.run % RUNS_PER_EPOCH > task.refusals);
