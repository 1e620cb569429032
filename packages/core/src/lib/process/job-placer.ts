import type { Room, StartGroup } from '../messages.js';
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
import { groupBy } from '../group-by.js';
import { ZERO_ROOM, subtractRoom } from '../request/room.js';
import { runKey } from '../request/run-key.js';
import { MAX_START_WAIT_MS } from '../scheduling/start-queue.js';
import type { RouteTable } from '../version/route-table.js';
import { OverloadControl, isUseless } from '../scheduling/overload-control.js';
import type { OverloadOptions } from '../scheduling/overload-options.js';
import { WaitingJobs } from '../scheduling/waiting-jobs.js';
import type { WaitingJob } from '../scheduling/waiting-jobs.js';
import { WorkerAbsence } from '../scheduling/worker-absence.js';
import { SubmitRefusal } from './batch-events.js';
import type { LogFields } from './batch-events.js';
import type { CrashBulkhead } from './crash-bulkhead.js';
import type { CrashLedger } from './crash-ledger.js';
import {
  CompletionEstimate,
  reservedCapacity,
  shouldRefuse,
} from './batch-order.js';
import type { OwnedJob } from './owned-job.js';
import type { StoppingRuns } from './stopping-runs.js';
import { chooseWorker, isHeldBack, maxSlownessOf } from './worker-choice.js';
import type { Candidate, TaskRequirements } from './worker-choice.js';
import type { WorkerFleet } from './worker-fleet.js';
import type { WorkerHealth } from './worker-health.js';
import type { WorkerView } from './worker-view.js';
import { Shortage } from './worker-subset.js';

/** Options of {@link JobPlacer}. */
export interface JobPlacerOptions {
  readonly fleet: WorkerFleet;
  /** Runs whose tasks are not placed again before they have ended. */
  readonly stoppingRuns: StoppingRuns;
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
  readonly overload?: Partial<OverloadOptions> | undefined;
  readonly log: (message: string, fields: LogFields) => void;
}

/** A volatile job that is not served, and why. */
export interface UnservedJob {
  readonly ownedJob: OwnedJob;
  readonly reason: SubmitRefusal;
}

/** Age of the last reports of most workers above which the rate is unknown. */
const MAX_REPORT_AGE_MS = 400;
/**
 * Longest time that a suspect leaves its only worker to those of other jobs, in
 * milliseconds. It covers three crashes with the restarts of the worker.
 */
const MAX_SUSPECT_WAIT_MS = 15_000;

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
  /** Work started in this round, by service. */
  readonly started: Map<string, StartedWork>;
  /** Jobs whose tasks wait for a faster worker although capacity is free. */
  readonly heldBack: Set<OwnedJob>;
  /** Share of the workers' CPU that is in use. */
  readonly usedShare: number;
}

/** Limits on the workers of the tasks of one job. */
interface JobLimits {
  /** CPU to leave free at a worker of the given capacity, in millicores. */
  readonly reserve: (capacityMilli: number) => number;
  /** Time until the job has to end. */
  readonly dueInMs: number;
  readonly wait: StartWait;
}

/** What a round tells of the service rates. */
type ObservedRound = Pick<
  PlacementRound,
  'candidates' | 'started' | 'heldBack'
>;

interface StartedWork {
  /** In core-milliseconds. */
  work: number;
  starts: number;
}

const MILLI = 1000;
/** A round in which no task could be placed. */
const EMPTY_ROUND: ObservedRound = {
  candidates: [],
  started: new Map(),
  heldBack: new Set(),
};

/**
 * Holds the jobs that have tasks to place and places these tasks on workers,
 * most urgent jobs first, as far as the workers have capacity.
 */
export class JobPlacer {
  private readonly _options: JobPlacerOptions;
  private readonly _waiting: WaitingJobs;
  private readonly _absence = new WorkerAbsence();
  /** Decisions while capacity is short. */
  readonly overload: OverloadControl;
  private _shortage = Shortage.None;

  /** @param options - Workers, their health, routes and random numbers. */
  constructor(options: JobPlacerOptions) {
    this._options = options;
    const { routes, health, bulkhead, random, overload } = options;
    this._waiting = new WaitingJobs({
      expectedMs: (queue, estimateMs) => health.expectedMs(queue, estimateMs),
      isPrioritised: (service) => this._options.routes.hasPriorities(service),
      weightOf: (priority) => this.overload.weightOf(priority),
    });
    this.overload = new OverloadControl({
      waiting: this._waiting,
      routes,
      isConfined: (content) => bulkhead.confines(content),
      random,
      settings: overload,
    });
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

  /**
   * @param job - A job.
   * @param task - A task of it whose start a worker has refused.
   */
  onStartRefused(job: BatchJob, task: BatchTask): void {
    this.overload.onStartRefused(job.content.service, this._workOf(job, task));
  }

  /** @returns Work of the job that has yet to start, in core-milliseconds. */
  workOf(ownedJob: OwnedJob): number {
    return this._waiting.get(ownedJob)?.workCoreMs ?? 0;
  }

  /** @returns Expected run time of a job's critical path in milliseconds. */
  expectedMs(content: BatchContent): number {
    return this._options.health.expectedMs(
      content.queue,
      criticalPathEstimateMs(content),
    );
  }

  /**
   * @param content - A job.
   * @returns Weight by its priority if its service has queues of different
   *   priorities.
   */
  weightOf(
    content: Pick<BatchContent, 'service' | 'priority'>,
  ): number | undefined {
    return this._options.routes.hasPriorities(content.service)
      ? this.overload.weightOf(content.priority)
      : undefined;
  }

  /**
   * @param now - Current time in milliseconds.
   * @returns Volatile jobs that are not served, because their results would
   *   probably come too late for their callers.
   */
  tooLate(now: number): UnservedJob[] {
    return this._waiting
      .ordered(now)
      .filter((waiting) => {
        const { job, deadlineMs } = waiting.job;
        if (!job.content.isVolatile) {
          return false;
        }
        if (job.mayHaveBegun) {
          return waiting.isPrioritised && isUseless(waiting, now);
        }
        return shouldRefuse(waiting.estimate, {
          waitedMs: now - job.acceptedAtMs,
          timeoutMs: deadlineMs - job.acceptedAtMs,
        });
      })
      .map(({ job }) => ({ ownedJob: job, reason: SubmitRefusal.Overload }));
  }

  /**
   * Places the tasks that fit on the workers.
   *
   * @param now - Current time in milliseconds.
   * @returns Volatile jobs that are not served, because no worker can be used,
   *   capacity is short or their results would come too late.
   */
  place(now: number): UnservedJob[] {
    this._shortage = Shortage.None;
    if (this._waiting.size === 0) {
      this._observeRates(EMPTY_ROUND, now);
      return [];
    }
    const candidates = this._candidates(now);
    const unserved = this._withoutWorkers(candidates, now);
    if (candidates.length === 0) {
      // The linked workers have yet to answer, or none may be used.
      this._shortage = Shortage.Capacity;
      this._observeRates(EMPTY_ROUND, now);
      return unserved;
    }
    const { bulkhead, fleet } = this._options;
    const round = {
      candidates,
      bulkhead: bulkhead.workers(fleet.views),
      started: new Map<string, StartedWork>(),
      heldBack: new Set<OwnedJob>(),
      usedShare: usedShareOf(candidates),
    };
    for (const waiting of this._waiting.ordered(now)) {
      if (mustLeaveCapacity(waiting, now)) {
        const { job: ownedJob } = waiting;
        unserved.push({ ownedJob, reason: SubmitRefusal.Overload });
      } else if (this._waiting.has(waiting.job)) {
        this._placeJob(waiting, round, now);
      }
    }
    this._observeRates(round, now);
    for (const { job } of this.overload.select(now)) {
      unserved.push({ ownedJob: job, reason: SubmitRefusal.Overload });
    }
    return unserved;
  }

  /** Volatile jobs of services without a usable worker for some time. */
  private _withoutWorkers(
    candidates: readonly PlacementCandidate[],
    now: number,
  ): UnservedJob[] {
    const services = new Set(candidates.map(({ service }) => service));
    const jobs = this._waiting.ordered(now);
    const waitingServices = groupBy(jobs, ({ job }) => job.job.content.service);
    const unserved: UnservedJob[] = [];
    for (const [service, group] of waitingServices) {
      this._absence.observe(service, services.has(service), now);
      if (this._absence.isAbsent(service, now)) {
        for (const { job: ownedJob } of group) {
          const { job } = ownedJob;
          if (job.content.isVolatile && !job.mayHaveBegun) {
            unserved.push({ ownedJob, reason: SubmitRefusal.NoWorkers });
          }
        }
      }
    }
    return unserved;
  }

  /** Updates the service rates after a placement round. */
  private _observeRates(
    { candidates, started, heldBack }: ObservedRound,
    now: number,
  ): void {
    const isWaiting = new Set<string>();
    for (const { job, isPrioritised } of this._waiting.ordered(now)) {
      if (isPrioritised && this._waiting.has(job) && !heldBack.has(job)) {
        isWaiting.add(job.job.content.service);
      }
    }
    for (const service of new Set([...isWaiting, ...this.overload.services])) {
      const workers = candidates.filter((worker) => worker.service === service);
      const recent = workers.filter(
        ({ view }) => now - view.lastReportAtMs <= MAX_REPORT_AGE_MS,
      );
      const { work = 0, starts = 0 } = started.get(service) ?? {};
      this.overload.observe(
        service,
        {
          startedWork: work,
          starts,
          isWaiting: isWaiting.has(service),
          // Without waiting jobs, the workers are not looked at.
          areReportsRecent:
            !isWaiting.has(service) || 2 * recent.length > workers.length,
        },
        now,
      );
    }
  }

  private _placeJob(
    waiting: WaitingJob,
    round: PlacementRound,
    now: number,
  ): void {
    const { job: ownedJob, estimate, isPrioritised, latestStartMs } = waiting;
    const { job } = ownedJob;
    const { ready } = job;
    const { stoppingRuns } = this._options;
    if (isFinal(job.state) || ready.length === 0) {
      this._waiting.delete(ownedJob);
      return;
    }
    const placed: string[] = [];
    const waitedMs = now - job.acceptedAtMs;
    const share = this.overload.reservedShare(job.content, now);
    const limits: JobLimits = {
      reserve: (capacityMilli) =>
        reservedCapacity(estimate, waitedMs, capacityMilli, share),
      dueInMs: latestStartMs + this.expectedMs(job.content) - now,
      wait: startWaitOf(waiting, now),
    };
    // Tasks of a step have the same needs; those of other steps may still fit.
    const unplaceableSteps = new Set<number>();
    for (const task of ready) {
      if (unplaceableSteps.has(task.step) || stoppingRuns.has(task.name)) {
        continue;
      }
      const placedRun = this._placeTask(ownedJob, task, round, limits, now);
      if (placedRun === undefined) {
        unplaceableSteps.add(task.step);
        continue;
      }
      if (isPrioritised) {
        this._countStart(job, task, round.started);
      }
      placed.push(placedRun);
    }
    if (placed.length > 0) {
      job.state = BatchState.Running;
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
    } else if (placed.length > 0) {
      this._waiting.onPlaced(ownedJob);
    }
  }

  private _countStart(
    job: BatchJob,
    task: BatchTask,
    started: Map<string, StartedWork>,
  ): void {
    const { service } = job.content;
    const sum = started.get(service) ?? { work: 0, starts: 0 };
    sum.work += this._workOf(job, task);
    sum.starts += 1;
    started.set(service, sum);
  }

  private _workOf(job: BatchJob, task: BatchTask): number {
    const { needs, estimateMs } = job.stepOf(task);
    const { queue } = job.content;
    const expectedMs = this._options.health.expectedMs(queue, estimateMs);
    return (needs.cpuMilli / MILLI) * expectedMs;
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
        // A successor finds the runs of a recorded job by the rows of the workers.
        (job.content.isVolatile || !candidate.view.isRemoved) &&
        satisfiesAntiAffinity(job, task, candidate.name),
    );
    const isSuspect = this._options.crashes.isSuspect(task.name);
    if (
      isSuspect &&
      now - task.sinceMs < MAX_SUSPECT_WAIT_MS &&
      this._isBehindSuspects(ownedJob, task, candidates, now)
    ) {
      round.heldBack.add(ownedJob);
      return undefined;
    }
    const chosen = chooseWorker(requirements, candidates, random);
    if (!chosen) {
      if (isHeldBack(requirements, candidates)) {
        round.heldBack.add(ownedJob);
      } else {
        this._updateShortage(job, task, round.candidates);
      }
      return undefined;
    }
    chosen.free = subtractRoom(chosen.free, step.needs);
    chosen.hasPendingOrder = true;
    chosen.hasSuspect ||= isSuspect;
    const { view } = chosen;
    const run = job.place(task, view.name, now);
    const trialEndsAtMs = isSuspect
      ? now + this._options.crashes.trialMs(task.name)
      : undefined;
    addStartToOrder(view, job, task, run, trialEndsAtMs, limits.wait);
    return `${task.name.slice(ownedJob.id.length)}#${String(run)}@${view.name}`;
  }

  /**
   * Whether a suspect has to leave its only worker, which has crashed under it,
   * to suspects of other jobs: to those on trial there, and to those that had
   * run for less time at their crash. If suspects shared that worker, a sound
   * one would crash with the cause until both are given up.
   *
   * Where there are several workers, the choice among them keeps suspects apart.
   * They may share one if need be, because after the loss of a machine there
   * are many of them, most of them sound.
   */
  private _isBehindSuspects(
    ownedJob: OwnedJob,
    task: BatchTask,
    candidates: readonly PlacementCandidate[],
    now: number,
  ): boolean {
    const { crashes } = this._options;
    const [worker, ...others] = candidates;
    if (
      !worker ||
      others.length > 0 ||
      !crashes.hasCrashed(worker.name, task.name)
    ) {
      return false;
    }
    const isOnTrial = [...worker.view.placed.values()].some(
      ({ job, trialEndsAtMs = 0 }) =>
        job !== ownedJob.id && now < trialEndsAtMs,
    );
    return (
      isOnTrial ||
      this._waiting
        .ordered(now)
        .some(
          ({ job: other }) =>
            other !== ownedJob &&
            other.job.content.service === worker.service &&
            other.job.ready.some(
              ({ name }) =>
                crashes.hasCrashed(worker.name, name) &&
                crashes.trialMs(name) < crashes.trialMs(task.name),
            ),
        )
    );
  }
}

/**
 * Returns how long the starts of a job may wait for capacity at a worker. Only
 * jobs of services whose queues differ in priority wait there.
 */
const startWaitOf = (
  { job, isPrioritised, latestStartMs }: WaitingJob,
  now: number,
): StartWait => {
  if (!isPrioritised) {
    return NO_WAIT;
  }
  const waitMs = Math.min(MAX_START_WAIT_MS, Math.floor(latestStartMs - now));
  const { priority } = job.job.content;
  return { priority, maxWaitMs: Math.max(0, waitMs) };
};

/** Whether a job gets no capacity, since its result is of no use any more. */
const mustLeaveCapacity = (waiting: WaitingJob, now: number): boolean => {
  const { job } = waiting.job;
  return (
    waiting.estimate === CompletionEstimate.TooLate &&
    waiting.isPrioritised &&
    job.content.isVolatile &&
    (isUseless(waiting, now) || !job.mayHaveBegun)
  );
};

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
  trialEndsAtMs: number | undefined,
  wait: StartWait,
): void => {
  const { needs } = job.stepOf(task);
  const { spec, queue, isVolatile } = job.content;
  view.placed.set(runKey({ task: task.name, run }), {
    job: job.id,
    task: task.name,
    run,
    needs,
    isSuspect: trialEndsAtMs !== undefined,
    trialEndsAtMs,
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
