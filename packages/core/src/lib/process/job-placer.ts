import type { Room, StartGroup } from '../messages.js';
import {
  BatchState,
  TaskPhase,
  criticalPathEstimateMs,
  isFinal,
} from '../request/batch-job.js';
import type {
  BatchContent,
  BatchJob,
  BatchTask,
} from '../request/batch-job.js';
import { ZERO_ROOM, subtractRoom } from '../request/room.js';
import { runKey } from '../request/run-key.js';
import { MAX_START_WAIT_MS } from '../scheduling/start-queue.js';
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
import { chooseWorker } from './worker-choice.js';
import type { Candidate } from './worker-choice.js';
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

/** Fields of a start that decide about its wait at the worker driver. */
type StartWait = Pick<StartGroup, 'priority' | 'maxWaitMs'>;

const NO_WAIT: StartWait = { priority: 0, maxWaitMs: 0 };

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
    const round = { candidates, bulkhead: bulkhead.workers(fleet.views) };
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
    const reserve = (capacityMilli: number): number =>
      reservedCapacity(estimate, waitedMs, capacityMilli);
    const wait = this._startWait(ownedJob.job, latestStartMs - now);
    for (const task of ready) {
      const placedRun = this._placeTask(
        ownedJob,
        task,
        { ...round, reserve, wait },
        now,
      );
      if (placedRun === undefined) {
        this._updateShortage(ownedJob.job, task, round.candidates);
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

  /**
   * @param job - A job to place.
   * @param slackMs - Time until its latest start.
   * @returns How long its starts may wait for capacity at a worker. They wait
   *   only for a service whose queues have different priorities.
   */
  private _startWait({ content }: BatchJob, slackMs: number): StartWait {
    if (!this._options.routes.hasPriorities(content.service)) {
      return NO_WAIT;
    }
    const waitMs = Math.min(MAX_START_WAIT_MS, Math.floor(slackMs));
    return { priority: content.priority, maxWaitMs: Math.max(0, waitMs) };
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
    round: PlacementRound & {
      readonly reserve: (capacityMilli: number) => number;
      readonly wait: StartWait;
    },
    now: number,
  ): string | undefined {
    const { job } = ownedJob;
    const step = job.stepOf(task);
    const { remoteDataFactor, dataCentre, random } = this._options;
    const isConfined = this._options.bulkhead.confines(job.content);
    // The bulkhead is for confined queues; others use it only if they have to.
    const avoidedWorkers = isConfined
      ? task.avoidedWorkers
      : unite(task.avoidedWorkers, round.bulkhead);
    const chosen = chooseWorker(
      {
        needs: step.needs,
        requires: step.requires,
        affinity: step.affinity,
        remoteDataFactor,
        avoidedWorkers,
        reserve: round.reserve,
        dataCentre,
      },
      round.candidates.filter(
        (candidate) =>
          candidate.service === job.content.service &&
          (!isConfined || round.bulkhead.has(candidate.name)) &&
          satisfiesAntiAffinity(job, task, candidate.name),
      ),
      random,
    );
    if (!chosen) {
      return undefined;
    }
    chosen.free = subtractRoom(chosen.free, step.needs);
    chosen.hasPendingOrder = true;
    const isSuspect = this._options.crashes.isSuspect(task.name);
    chosen.hasSuspect ||= isSuspect;
    const { view } = chosen;
    const run = job.place(task, view.name, now);
    addStartToOrder(view, job, task, run, isSuspect, round.wait);
    return `${task.name.slice(ownedJob.id.length)}#${String(run)}@${view.name}`;
  }
}

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
  wait: StartWait,
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
    (other) =>
      other.spec === spec &&
      other.needs === needs &&
      other.maxWaitMs === wait.maxWaitMs,
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
      ...wait,
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
