import type { Room } from '../messages.js';
import {
  BatchState,
  TaskPhase,
  criticalPathEstimateMs,
  isFinal,
  laterEstimateMs,
} from '../request/batch-job.js';
import type {
  BatchContent,
  BatchJob,
  BatchTask,
} from '../request/batch-job.js';
import { ZERO_ROOM, subtractRoom } from '../request/room.js';
import { runKey } from '../request/run-key.js';
import type { RouteTable } from '../version/route-table.js';
import type { LogFields } from './batch-events.js';
import type { CrashBulkhead } from './crash-bulkhead.js';
import type { CrashLedger } from './crash-ledger.js';
import {
  mayHaveBegun,
  orderJobs,
  rankOf,
  reservedCapacity,
  shouldRefuse,
} from './batch-order.js';
import type { CompletionRank, RankedJob } from './batch-order.js';
import type { OwnedJob } from './owned-job.js';
import { chooseWorker, isHeldBack, maxSlownessOf } from './worker-choice.js';
import type { Candidate, TaskRequirements } from './worker-choice.js';
import type { WorkerFleet } from './worker-fleet.js';
import type { WorkerHealth } from './worker-health.js';
import type { WorkerView } from './worker-view.js';
import { Shortage } from './worker-subset.js';

/** Options of {@link JobPlacer}. */
export interface JobPlacerOptions {
  readonly fleet: WorkerFleet;
  readonly health: WorkerHealth;
  readonly crashes: CrashLedger;
  readonly bulkhead: CrashBulkhead;
  readonly routes: RouteTable;
  /** Data centre of the entry. */
  readonly dataCentre: string;
  /** Ratio of a task's run time with remote data to that with local data. */
  readonly remoteDataFactor: number;
  /** Uniform random numbers from 0 to 1. */
  readonly random: () => number;
  readonly log: (message: string, fields: LogFields) => void;
}

interface PlacementCandidate extends Candidate {
  readonly view: WorkerView;
  readonly service: string;
  free: Room;
  hasPendingOrder: boolean;
  hasSuspect: boolean;
}

/** State that the placements of one round share. */
interface PlacementRound {
  readonly candidates: readonly PlacementCandidate[];
  /** Workers to which queues with tasks that crash workers are confined. */
  readonly bulkhead: ReadonlySet<string>;
  /** Share of the workers' CPU that is in use. */
  readonly usedShare: number;
}

/** Limits on the workers of the tasks of one job. */
interface JobLimits {
  /** CPU to leave free at a worker of the given capacity, in millicores. */
  readonly reserve: (capacityMilli: number) => number;
  /** Time until the job has to end. */
  readonly dueInMs: number;
}

/**
 * Holds the jobs that have tasks to place and places these tasks on workers,
 * most urgent jobs first, as far as the workers have capacity.
 */
export class JobPlacer {
  private readonly _options: JobPlacerOptions;
  private readonly _waiting = new Set<OwnedJob>();
  private _shortage = Shortage.None;

  /** @param options - Workers, their health, routes and random numbers. */
  constructor(options: JobPlacerOptions) {
    this._options = options;
  }

  /** Number of jobs that may have tasks to place. */
  get size(): number {
    return this._waiting.size;
  }

  /** Why jobs were still waiting after the last placement. */
  get shortage(): Shortage {
    return this._waiting.size > 0 ? this._shortage : Shortage.None;
  }

  /** @param ownedJob - A job that may have tasks to place. */
  add(ownedJob: OwnedJob): void {
    this._waiting.add(ownedJob);
  }

  /** @param ownedJob - A job that has no tasks to place. */
  delete(ownedJob: OwnedJob): void {
    this._waiting.delete(ownedJob);
  }

  /** @returns Expected run time of a job's critical path in milliseconds. */
  expectedMs(content: BatchContent): number {
    return this._options.health.expectedMs(
      content.queue,
      criticalPathEstimateMs(content),
    );
  }

  /**
   * @param now - Current time in milliseconds.
   * @returns Volatile jobs that have not begun and are to be refused, because
   *   their results would probably come too late for their callers.
   */
  jobsToRefuse(now: number): OwnedJob[] {
    return [...this._waiting].filter(({ job, deadlineMs }) => {
      const { estimate } = this._estimateCompletion(job, now);
      return (
        job.content.isVolatile &&
        !mayHaveBegun(job) &&
        shouldRefuse(estimate, {
          waitedMs: now - job.acceptedAtMs,
          timeoutMs: deadlineMs - job.acceptedAtMs,
        })
      );
    });
  }

  /**
   * Places the tasks that fit on the workers.
   *
   * @param now - Current time in milliseconds.
   */
  place(now: number): void {
    this._shortage = Shortage.None;
    if (this._waiting.size === 0) {
      return;
    }
    const candidates = this._candidates(now);
    if (candidates.length === 0) {
      // The linked workers have yet to answer, or none may be used.
      this._shortage = Shortage.Capacity;
      return;
    }
    const { bulkhead, fleet } = this._options;
    const round = {
      candidates,
      bulkhead: bulkhead.workers(fleet.views),
      usedShare: usedShareOf(candidates),
    };
    for (const ranked of this._rankJobs(now)) {
      this._placeJob(ranked, round, now);
    }
  }

  private _placeJob(
    { job: ownedJob, estimate, latestStartMs }: RankedJob<OwnedJob>,
    round: PlacementRound,
    now: number,
  ): void {
    const { ready } = ownedJob.job;
    const placed: string[] = [];
    const waitedMs = now - ownedJob.job.acceptedAtMs;
    const limits: JobLimits = {
      reserve: (capacityMilli) =>
        reservedCapacity(estimate, waitedMs, capacityMilli),
      dueInMs: latestStartMs + this.expectedMs(ownedJob.job.content) - now,
    };
    for (const task of ready) {
      const placedRun = this._placeTask(ownedJob, task, round, limits, now);
      if (placedRun === undefined) {
        break;
      }
      placed.push(placedRun);
    }
    if (placed.length > 0) {
      ownedJob.job.state = BatchState.Running;
      this._options.log('runs placed', {
        job: ownedJob.id,
        runs: placed.join(' '),
        left: ready.length - placed.length,
        waitedMs: Math.round(waitedMs),
        config: this._options.routes.version ?? 0,
      });
    }
    if (placed.length === ready.length) {
      this._waiting.delete(ownedJob);
    }
  }

  private _updateShortage(
    job: BatchJob,
    task: BatchTask,
    candidates: readonly PlacementCandidate[],
  ): void {
    if (this._options.bulkhead.confines(job.content)) {
      // More links would not help: the job may not use other workers.
      return;
    }
    const { requires } = job.stepOf(task);
    const canRunTask = candidates.some(
      ({ service, labels }) =>
        service === job.content.service &&
        (requires === undefined || labels.includes(requires)),
    );
    if (!canRunTask) {
      this._shortage = Shortage.Workers;
    } else if (this._shortage === Shortage.None) {
      this._shortage = Shortage.Capacity;
    }
  }

  private _rankJobs(now: number): RankedJob<OwnedJob>[] {
    const ranked: RankedJob<OwnedJob>[] = [];
    for (const ownedJob of this._waiting) {
      if (isFinal(ownedJob.job.state) || ownedJob.job.ready.length === 0) {
        this._waiting.delete(ownedJob);
        continue;
      }
      ranked.push({
        job: ownedJob,
        ...this._estimateCompletion(ownedJob.job, now),
      });
    }
    return orderJobs(ranked);
  }

  private _estimateCompletion(job: BatchJob, now: number): CompletionRank {
    const { content, acceptedAtMs } = job;
    const criticalPathMs = this.expectedMs(content);
    const { stretch, slackMs } = content;
    const times = {
      acceptedAtMs,
      criticalPathMs,
      remainingMs: criticalPathMs,
      stretch,
      slackMs,
    };
    return rankOf(times, now);
  }

  private _candidates(now: number): PlacementCandidate[] {
    const { fleet, health, routes } = this._options;
    return fleet.linked.flatMap((view): PlacementCandidate[] => {
      const { hello, name } = view;
      const isUsable =
        hello && view.isUsable(now) && !routes.isOutOfService(hello.dataCentre);
      return isUsable
        ? [
            {
              name,
              view,
              service: hello.service,
              dataCentre: hello.dataCentre,
              labels: hello.labels,
              free: view.free,
              capacity: hello.capacity ?? ZERO_ROOM,
              slowness: health.slowness(name),
              hasPendingOrder: view.isDirty,
              isEjected: health.isEjected(name, now),
              isPreferred: view.isPreferred,
              hasSuspect: view.hasSuspect,
            },
          ]
        : [];
    });
  }

  /** @returns The run as logged, or `undefined` if the task fits on no worker. */
  private _placeTask(
    ownedJob: OwnedJob,
    task: BatchTask,
    round: PlacementRound,
    limits: JobLimits,
    now: number,
  ): string | undefined {
    const { job } = ownedJob;
    const step = job.stepOf(task);
    const { remoteDataFactor, dataCentre, health, random } = this._options;
    const { queue, steps } = job.content;
    const isConfined = this._options.bulkhead.confines(job.content);
    // The bulkhead is for confined queues; others use it only if they have to.
    const avoidedWorkers = isConfined
      ? task.avoidedWorkers
      : unite(task.avoidedWorkers, round.bulkhead);
    const requirements: TaskRequirements = {
      needs: step.needs,
      requires: step.requires,
      affinity: step.affinity,
      remoteDataFactor,
      avoidedWorkers,
      reserve: limits.reserve,
      dataCentre,
      usedShare: round.usedShare,
      maxSlowness: maxSlownessOf({
        dueInMs: limits.dueInMs,
        expectedMs: health.expectedMs(queue, step.estimateMs),
        laterMs: health.expectedMs(queue, laterEstimateMs(steps, task.step)),
        width: step.count,
      }),
    };
    const candidates = round.candidates.filter(
      (candidate) =>
        candidate.service === job.content.service &&
        (!isConfined || round.bulkhead.has(candidate.name)) &&
        satisfiesAntiAffinity(job, task, candidate.name),
    );
    const chosen = chooseWorker(requirements, candidates, random);
    if (!chosen) {
      if (!isHeldBack(requirements, candidates)) {
        this._updateShortage(job, task, round.candidates);
      }
      return undefined;
    }
    chosen.free = subtractRoom(chosen.free, step.needs);
    chosen.hasPendingOrder = true;
    const isSuspect = this._options.crashes.isSuspect(task.name);
    chosen.hasSuspect ||= isSuspect;
    const { view } = chosen;
    const run = job.place(task, view.name, now);
    addStartToOrder(view, job, task, run, isSuspect);
    return `${task.name.slice(ownedJob.id.length)}#${String(run)}@${view.name}`;
  }
}

/** Returns the share of the workers' CPU that is in use. */
const usedShareOf = (candidates: readonly PlacementCandidate[]): number => {
  let capacityMilli = 0;
  let freeMilli = 0;
  for (const { capacity, free } of candidates) {
    capacityMilli += capacity.cpuMilli;
    freeMilli += free.cpuMilli;
  }
  return capacityMilli > 0 ? 1 - freeMilli / capacityMilli : 0;
};

/** Returns the union of two sets: one of them, if the other one is empty. */
const unite = (
  a: ReadonlySet<string>,
  b: ReadonlySet<string>,
): ReadonlySet<string> => {
  if (a.size === 0) {
    return b;
  }
  return b.size === 0 ? a : new Set([...a, ...b]);
};

/** Marks a run as placed and adds its start to the next order to the worker. */
const addStartToOrder = (
  view: WorkerView,
  job: BatchJob,
  task: BatchTask,
  run: number,
  isSuspect: boolean,
): void => {
  const { needs } = job.stepOf(task);
  const { spec, queue, isVolatile } = job.content;
  view.placed.set(runKey({ task: task.name, run }), {
    job: job.id,
    task: task.name,
    run,
    needs,
    isSuspect,
    isVolatile,
    sequence: view.nextSequence,
  });
  const start = { task: task.name, run, checkpoint: task.checkpoint };
  const group = view.order.starts.find(
    (other) => other.spec === spec && other.needs === needs,
  );
  if (group) {
    group.runs.push(start);
  } else {
    view.order.starts.push({
      spec,
      queue,
      needs,
      runs: [start],
      volatile: isVolatile,
    });
  }
  view.isDirty = true;
};

/** Whether the anti-affinity limit of the step allows one more task there. */
const satisfiesAntiAffinity = (
  job: BatchJob,
  task: BatchTask,
  worker: string,
): boolean => {
  const { antiAffinity } = job.stepOf(task);
  if (antiAffinity === undefined) {
    return true;
  }
  const placedThere = job.tasks.filter(
    (other) =>
      other.step === task.step &&
      other.phase === TaskPhase.Placed &&
      other.worker === worker,
  );
  return placedThere.length < antiAffinity;
};
