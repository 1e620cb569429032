import { EndKind } from '../messages.js';
import type { Room, RunEnd, StartRefusal } from '../messages.js';
import { provesNotBegun } from './start-refusal.js';

/** One step of a job: a number of identical tasks. */
export interface JobStepContent {
  readonly count: number;
  readonly needs: Room;
  /** Estimated run time of a task; 0 when not given. */
  readonly estimateMs: number;
  /** Indexes of earlier steps whose tasks must be done first. */
  readonly after: readonly number[];
  /** Label that the worker must have. */
  readonly requires?: string;
  /** Label of the rack that holds the data of the tasks. */
  readonly affinity?: string;
  /** Maximum number of tasks of the step on one worker. */
  readonly antiAffinity?: number;
  readonly checkpointing: boolean;
}

/** A job as a desk submitted it, and the settings of its queue at that time. */
export interface BatchContent {
  readonly queue: string;
  readonly service: string;
  readonly spec: string;
  readonly steps: readonly JobStepContent[];
  /** Number of failed runs of one task at which the job fails. */
  readonly attempts: number;
  /**
   * Whether the job is not recorded. Its caller waits for its end and may send
   * it again.
   */
  readonly isVolatile: boolean;
  /** Priority of the queue; 0 is the highest. */
  readonly priority: number;
  /**
   * Factor of the latency objective, which is `stretch` times the critical path
   * plus `slackMs`.
   */
  readonly stretch: number;
  readonly slackMs: number;
}

/**
 * @param content - Content of a job.
 * @returns Estimated run time of its critical path in milliseconds.
 */
export const criticalPathEstimateMs = (content: BatchContent): number =>
  pathMs(content, () => true);

/**
 * @param content - Content of a job.
 * @param isOpen - Whether a step counts, by its index.
 * @returns Estimated run time of the critical path over these steps, in
 *   milliseconds.
 */
export const pathMs = (
  content: BatchContent,
  isOpen: (step: number) => boolean,
): number => {
  const ends: number[] = [];
  content.steps.forEach((step, index) => {
    const startMs = Math.max(
      0,
      ...step.after.map((number) => ends[number] ?? 0),
    );
    ends.push(startMs + (isOpen(index) ? step.estimateMs : 0));
  });
  return Math.max(0, ...ends);
};

/**
 * @param steps - Steps of a job.
 * @param number - Index of one of them.
 * @returns Estimated run time of the longest chain of steps after it, in
 *   milliseconds.
 */
export const laterEstimateMs = (
  steps: readonly JobStepContent[],
  number: number,
): number => {
  const laterMs: number[] = [];
  for (let later = steps.length - 1; later > number; later -= 1) {
    // Steps only depend on earlier ones, so the chains after it are known.
    const step = steps[later];
    const chainMs = (step?.estimateMs ?? 0) + (laterMs[later] ?? 0);
    for (const earlier of step?.after ?? []) {
      laterMs[earlier] = Math.max(laterMs[earlier] ?? 0, chainMs);
    }
  }
  return laterMs[number] ?? 0;
};

/** State of a job as reported to its desk. */
export enum BatchState {
  Queued = 'queued',
  Running = 'running',
  Completed = 'completed',
  Failed = 'failed',
  Cancelled = 'cancelled',
}

/** @returns Whether the state is final: the job never leaves it. */
export const isFinal = (state: BatchState): boolean =>
  state === BatchState.Completed ||
  state === BatchState.Failed ||
  state === BatchState.Cancelled;

/** Progress of a task. */
export enum TaskPhase {
  /** Earlier steps are not done. */
  Blocked,
  /** Ready to be placed. */
  Ready,
  /** Sent to a worker. */
  Placed,
  /**
   * A previous owner of the job may have placed it; not all workers have
   * reported yet.
   */
  Unknown,
  Done,
}

/** One task of a job. */
export interface BatchTask {
  /** Name that is sent to workers. */
  readonly name: string;
  readonly step: number;
  readonly index: number;
  phase: TaskPhase;
  /** Number of the current run; 0 before the first one. */
  run: number;
  /**
   * Number below which no further run is numbered. It is above that of an adopted
   * run if there was an owner in between.
   */
  highestRun: number;
  /** VM of the latest run; empty while the task waits for a run. */
  worker: string;
  /** Numbers of the runs that failed; each run counts once. */
  readonly failedRuns: Set<number>;
  checkpoint: string;
  /** Time at which it was last placed or became ready. */
  sinceMs: number;
  /**
   * Number of runs that this owner has placed and whose refusals do not prove
   * that they never began.
   */
  unrefutedRuns: number;
  /** Number of the run that completed the task; 0 if none has. */
  doneRun: number;
  /** Number of the latest run whose end was reported; 0 if none was. */
  endedRun: number;
  /** Number of runs that were stopped because they had stalled. */
  stalledStops: number;
  /** Whether it is never started again, because it crashes its workers. */
  isGivenUp: boolean;
  /** Whether the placed run is being stopped because it has stalled. */
  isStalled: boolean;
  /** Whether the placed run was found to take long at any worker. */
  isLong: boolean;
  /** VMs at which a run of the task failed or stalled. */
  readonly avoidedWorkers: Set<string>;
}

/** A worker crash under a task. */
export interface TaskCrash {
  /** Identifies the crash among all crashes. */
  readonly key: string;
  /** How long the run of the task had been active at most, in milliseconds. */
  readonly activeMs: number;
  /**
   * By how much it may have been active for less, in milliseconds; greater than
   * `activeMs` if it may not have begun. Rows of earlier versions lack it.
   */
  readonly uncertaintyMs?: number;
}

/** Progress of a job as its progress row records it. */
export interface BatchProgress {
  /** Positions of done tasks in the task list of the job. */
  readonly done: readonly number[];
  /** Number of failed runs by position of the task. */
  readonly failures: Readonly<Record<string, number>>;
  /** Numbers of these runs; rows of earlier versions have only their count. */
  readonly failedRuns?: Readonly<Record<string, readonly number[]>>;
  /** Worker crashes under the tasks, by position of the task. */
  readonly crashes?: Readonly<Record<string, readonly TaskCrash[]>>;
}

/**
 * Runs of one epoch are numbered from `epoch * RUNS_PER_EPOCH + 1`, so that the
 * runs of a later owner have higher numbers.
 */
export const RUNS_PER_EPOCH = 10_000;

/** Options of {@link BatchJob}. */
export interface BatchJobOptions {
  readonly id: string;
  readonly content: BatchContent;
  /** Increases with each change of owner. */
  readonly epoch: number;
  readonly acceptedAtMs: number;
  /** Progress that a previous owner recorded; other tasks are unknown. */
  readonly progress?: BatchProgress;
}

/**
 * An open job: tracks the phase and the latest run of each task, makes tasks
 * ready when the steps before them are done, and derives the state of the job.
 */
export class BatchJob {
  readonly id: string;
  readonly content: BatchContent;
  readonly epoch: number;
  readonly acceptedAtMs: number;
  readonly tasks: readonly BatchTask[];
  state = BatchState.Queued;
  private readonly _byName = new Map<string, BatchTask>();

  /** @param options - Content, epoch and recorded progress of the job. */
  constructor(options: BatchJobOptions) {
    const { id, content, epoch, acceptedAtMs, progress } = options;
    this.id = id;
    this.content = content;
    this.epoch = epoch;
    this.acceptedAtMs = acceptedAtMs;
    this.tasks = content.steps.flatMap((step, number) =>
      Array.from({ length: step.count }, (_, index) => ({
        name: `${id}.0.${String(number)}.${String(index)}`,
        step: number,
        index,
        phase: progress ? TaskPhase.Unknown : TaskPhase.Blocked,
        run: 0,
        highestRun: epoch * RUNS_PER_EPOCH,
        worker: '',
        failedRuns: new Set<number>(),
        checkpoint: '',
        sinceMs: acceptedAtMs,
        unrefutedRuns: 0,
        doneRun: 0,
        endedRun: 0,
        stalledStops: 0,
        isStalled: false,
        isLong: false,
        isGivenUp: false,
        avoidedWorkers: new Set<string>(),
      })),
    );
    for (const task of this.tasks) {
      this._byName.set(task.name, task);
    }
    if (progress) {
      this._restore(progress);
    }
    this.unblock(acceptedAtMs);
  }

  /** @returns The task of this name, or `undefined` if the job has none. */
  task(name: string): BatchTask | undefined {
    return this._byName.get(name);
  }

  /** @returns The step that a task belongs to. */
  stepOf(task: BatchTask): JobStepContent {
    const step = this.content.steps[task.step];
    if (!step) {
      throw new Error(`task ${task.name} belongs to no step of its job`);
    }
    return step;
  }

  /** Tasks that may be placed now. */
  get ready(): BatchTask[] {
    return this.tasks.filter((task) => task.phase === TaskPhase.Ready);
  }

  /** Tasks with a run at a worker, as far as this entry has placed or seen it. */
  get placedTasks(): BatchTask[] {
    return this.tasks.filter((task) => task.phase === TaskPhase.Placed);
  }

  /** Progress to record in the progress row. */
  get progress(): BatchProgress {
    const failures: Record<string, number> = {};
    const failedRuns: Record<string, number[]> = {};
    const done: number[] = [];
    this.tasks.forEach((task, position) => {
      if (task.phase === TaskPhase.Done) {
        done.push(position);
      }
      if (task.failedRuns.size > 0) {
        failures[String(position)] = task.failedRuns.size;
        failedRuns[String(position)] = [...task.failedRuns];
      }
    });
    return { done, failures, failedRuns };
  }

  /**
   * Makes blocked tasks ready if the steps that they depend on are done.
   *
   * @param now - Current time in milliseconds.
   */
  unblock(now: number): void {
    const isDone = this.content.steps.map((_, number) =>
      this.tasks.every(
        (task) => task.step !== number || task.phase === TaskPhase.Done,
      ),
    );
    for (const task of this.tasks) {
      const isUnblocked =
        task.phase === TaskPhase.Blocked &&
        this.stepOf(task).after.every((number) => isDone[number]);
      if (isUnblocked) {
        task.phase = TaskPhase.Ready;
        task.sinceMs = now;
      }
    }
  }

  /**
   * @param task - A ready task.
   * @param worker - VM that the run is sent to.
   * @param now - Current time in milliseconds.
   * @returns Number of the new run.
   */
  place(task: BatchTask, worker: string, now: number): number {
    task.phase = TaskPhase.Placed;
    task.highestRun += 1;
    task.run = task.highestRun;
    task.unrefutedRuns += 1;
    task.worker = worker;
    task.sinceMs = now;
    task.isStalled = false;
    task.isLong = false;
    return task.run;
  }

  /**
   * Whether any run of the job may have begun. A run whose refusal proves that
   * it never began does not count; runs of a previous owner count once a worker
   * has reported them.
   */
  get mayHaveBegun(): boolean {
    return this.tasks.some(
      ({ phase, unrefutedRuns, endedRun, failedRuns }) =>
        phase === TaskPhase.Done ||
        unrefutedRuns > 0 ||
        endedRun > 0 ||
        failedRuns.size > 0,
    );
  }

  /**
   * Lets a task be placed again, because the start of its run was refused.
   *
   * @param task - A placed task.
   * @param reason - Why the start was refused.
   * @param now - Current time in milliseconds.
   */
  onRefused(task: BatchTask, reason: StartRefusal, now: number): void {
    if (provesNotBegun(reason, this.content.isVolatile)) {
      task.unrefutedRuns -= 1;
    }
    this.requeue(task, now);
  }

  /**
   * Adopts a run of a previous owner that a worker lists as active.
   *
   * @param task - A task of which a previous owner may have placed a run.
   * @param run - Number of the run.
   * @param worker - VM of the run.
   * @param now - Current time in milliseconds.
   */
  adopt(task: BatchTask, run: number, worker: string, now: number): void {
    task.phase = TaskPhase.Placed;
    task.run = run;
    task.highestRun = Math.max(task.highestRun, run);
    task.unrefutedRuns += 1;
    task.worker = worker;
    task.sinceMs = now;
    this.state = BatchState.Running;
  }

  /**
   * Lets a task be placed again, because its latest run never began or has
   * provably ended.
   *
   * @param task - A placed or unknown task.
   * @param now - Current time in milliseconds.
   */
  requeue(task: BatchTask, now: number): void {
    task.phase = TaskPhase.Blocked;
    task.worker = '';
    this.unblock(now);
  }

  /**
   * @param task - A task of this job.
   * @param run - Number of a run.
   * @returns Whether an earlier owner has started this run in place of the one
   *   that this owner has adopted. Numbers of a volatile job's runs tell nothing.
   */
  hasReplaced(task: BatchTask, run: number): boolean {
    return (
      !this.content.isVolatile &&
      task.phase === TaskPhase.Placed &&
      run > task.run
    );
  }

  /**
   * Applies the end of a run to its task and to the state of the job.
   *
   * @param task - A task of this job.
   * @param end - The end of one of its runs.
   * @param worker - VM of the run.
   * @param now - Current time in milliseconds.
   */
  applyEnd(task: BatchTask, end: RunEnd, worker: string, now: number): void {
    if (task.phase === TaskPhase.Done) {
      return;
    }
    const isCurrent =
      isPlacedAs(task, end.run, worker) ||
      task.phase === TaskPhase.Unknown ||
      (end.kind === EndKind.DONE && this.hasReplaced(task, end.run));
    // A failed run counts as an attempt also if it was given up before. The
    // number of a volatile job's run may be that of another entry's run.
    const counts = isCurrent || !this.content.isVolatile;
    if (end.kind === EndKind.FAILED && counts) {
      task.failedRuns.add(end.run);
      task.avoidedWorkers.add(worker);
    }
    if (!isCurrent) {
      this._updateState();
      return;
    }
    task.highestRun = Math.max(task.highestRun, end.run);
    task.endedRun = Math.max(task.endedRun, end.run);
    if (end.checkpoint !== '') {
      task.checkpoint = end.checkpoint;
    }
    switch (end.kind) {
      case EndKind.DONE:
        task.phase = TaskPhase.Done;
        task.doneRun = end.run;
        this.unblock(now);
        break;
      case EndKind.FAILED:
      case EndKind.STOPPED:
      case EndKind.LAPSED:
      case EndKind.BROKEN:
      case EndKind.ALONE:
      case EndKind.LOST:
      case EndKind.UNSPECIFIED:
        this._requeueIfPlaced(task, now);
    }
    this._updateState();
  }

  /**
   * Gives up a task that crashes its workers, so that the job fails.
   *
   * @param task - A task of this job; has no effect if it is done.
   */
  giveUp(task: BatchTask): void {
    if (task.phase !== TaskPhase.Done) {
      task.isGivenUp = true;
      this._updateState();
    }
  }

  private _requeueIfPlaced(task: BatchTask, now: number): void {
    // An unknown task may have a later run that no worker has reported yet.
    if (task.phase === TaskPhase.Placed) {
      this.requeue(task, now);
    }
  }

  private _restore(progress: BatchProgress): void {
    for (const position of progress.done) {
      const task = this.tasks[position];
      if (task) {
        task.phase = TaskPhase.Done;
      }
    }
    for (const [position, count] of Object.entries(progress.failures)) {
      const task = this.tasks[Number(position)];
      if (task) {
        const runs = progress.failedRuns?.[position] ?? unknownRuns(count);
        runs.forEach((run) => task.failedRuns.add(run));
      }
    }
    this._updateState();
  }

  private _updateState(): void {
    if (this.tasks.every((task) => task.phase === TaskPhase.Done)) {
      this.state = BatchState.Completed;
    } else if (
      this.tasks.some(
        (task) =>
          task.isGivenUp || task.failedRuns.size >= this.content.attempts,
      )
    ) {
      this.state = BatchState.Failed;
    }
  }
}

/** Stand-ins for the numbers of failed runs of which only the count is known. */
const unknownRuns = (count: number): number[] =>
  Array.from({ length: count }, (_, index) => -1 - index);

/**
 * Checks whether a run is the current run of a task. Entries that receive the
 * same volatile job one after the other assign the same run numbers, so the
 * worker is compared as well.
 *
 * @param task - A task.
 * @param run - Number of a run.
 * @param worker - VM of the run.
 * @returns Whether the task is placed at that worker with this run number.
 */
export const isPlacedAs = (
  task: BatchTask,
  run: number,
  worker: string,
): boolean =>
  task.phase === TaskPhase.Placed && task.run === run && task.worker === worker;
