import { EndKind } from '../messages.js';
import type { Room, RunEnd } from '../messages.js';

/** One step of a job: tasks that are alike. */
export interface JobStepContent {
  readonly count: number;
  readonly needs: Room;
  /** Rough run time of a task; 0 when not given. */
  readonly estimateMs: number;
  /** Earlier steps, counted from 0, whose tasks must be done first. */
  readonly after: readonly number[];
  /** Label that the worker must have. */
  readonly requires?: string;
  /** Label of the rack that holds the data. */
  readonly affinity?: string;
  /** Most tasks of the step on one worker. */
  readonly antiAffinity?: number;
  readonly checkpointing: boolean;
}

/** What a desk submitted, and the rules of its queue at that time. */
export interface BatchContent {
  readonly queue: string;
  readonly service: string;
  readonly spec: string;
  readonly steps: readonly JobStepContent[];
  /** Failed runs of one task after which the job has failed. */
  readonly attempts: number;
  /** It is not recorded: its caller waits for the end, and may send it again. */
  readonly isVolatile: boolean;
  /** 0 comes first. */
  readonly priority: number;
  /** The objective is `stretch` times the longest chain plus `slackMs`. */
  readonly stretch: number;
  readonly slackMs: number;
}

/**
 * @param content - What was submitted.
 * @returns Estimated run time of the longest chain of steps.
 */
export const chainEstimateMs = (content: BatchContent): number => {
  const ends: number[] = [];
  for (const step of content.steps) {
    const begins = Math.max(
      0,
      ...step.after.map((number) => ends[number] ?? 0),
    );
    ends.push(begins + step.estimateMs);
  }
  return Math.max(0, ...ends);
};

/** State of a job as its desk sees it. */
export enum BatchState {
  Queued = 'queued',
  Running = 'running',
  Completed = 'completed',
  Failed = 'failed',
  Cancelled = 'cancelled',
}

/** @returns Whether a job in this state has ended for good. */
export const isFinal = (state: BatchState): boolean =>
  state === BatchState.Completed ||
  state === BatchState.Failed ||
  state === BatchState.Cancelled;

/** Where a task stands. */
export enum TaskPhase {
  /** Earlier steps are not done. */
  Blocked,
  /** Ready to be placed. */
  Ready,
  /** Sent to a worker. */
  Placed,
  /** A predecessor may have placed it; the workers have not all answered. */
  Unknown,
  Done,
}

/** One task of a job. */
export interface BatchTask {
  /** Name at the workers. */
  readonly name: string;
  readonly step: number;
  readonly index: number;
  phase: TaskPhase;
  /** Number of the last run. */
  run: number;
  /** VM of the last run. */
  worker: string;
  failures: number;
  checkpoint: string;
  /** When it was placed last, or became ready. */
  sinceMs: number;
  /** Runs that were refused in a way that proves that they never began. */
  refusals: number;
  /** Number of the run that was done; 0 before. */
  doneRun: number;
  /** Runs that were stopped because they stood still. */
  overdueStops: number;
  /** Whether the run that is placed is being stopped for that. */
  isOverdue: boolean;
  /** VMs at which a run of it failed or stood still. */
  readonly avoid: Set<string>;
}

/** Ends that a progress row keeps. */
export interface BatchProgress {
  /** Indexes of the tasks that are done, in the job's order. */
  readonly done: readonly number[];
  /** Failed runs by index of the task. */
  readonly failures: Readonly<Record<string, number>>;
}

/** Runs of one epoch are numbered from `epoch * RUNS_PER_EPOCH + 1`. */
export const RUNS_PER_EPOCH = 10_000;

/** Options of {@link BatchJob}. */
export interface BatchJobOptions {
  readonly id: string;
  readonly content: BatchContent;
  /** Rises with each change of owner. */
  readonly epoch: number;
  readonly acceptedAtMs: number;
  /** What a predecessor recorded; its other tasks are unknown. */
  readonly progress?: BatchProgress;
}

/** A job that is under way: its tasks, their runs and its state. */
export class BatchJob {
  readonly id: string;
  readonly content: BatchContent;
  readonly epoch: number;
  readonly acceptedAtMs: number;
  readonly tasks: readonly BatchTask[];
  state = BatchState.Queued;
  private readonly _byName = new Map<string, BatchTask>();

  /** @param options - Content, epoch and what is known of earlier runs. */
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
        run: epoch * RUNS_PER_EPOCH,
        worker: '',
        failures: 0,
        checkpoint: '',
        sinceMs: acceptedAtMs,
        refusals: 0,
        doneRun: 0,
        overdueStops: 0,
        isOverdue: false,
        avoid: new Set<string>(),
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

  /** @returns The task of this name, if it is one of the job's. */
  task(name: string): BatchTask | undefined {
    return this._byName.get(name);
  }

  /** @returns The step that a task belongs to. */
  stepOf(task: BatchTask): JobStepContent {
    const step = this.content.steps[task.step];
    if (!step) {
      throw new Error(`task ${task.name} has no step`);
    }
    return step;
  }

  /** Tasks that may be placed now. */
  get ready(): BatchTask[] {
    return this.tasks.filter((task) => task.phase === TaskPhase.Ready);
  }

  /** What has to be kept of the ends so far. */
  get progress(): BatchProgress {
    const failures: Record<string, number> = {};
    const done: number[] = [];
    this.tasks.forEach((task, position) => {
      if (task.phase === TaskPhase.Done) {
        done.push(position);
      }
      if (task.failures > 0) {
        failures[String(position)] = task.failures;
      }
    });
    return { done, failures };
  }

  /**
   * Makes tasks ready whose earlier steps are done.
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
      const isFree =
        task.phase === TaskPhase.Blocked &&
        this.stepOf(task).after.every((number) => isDone[number]);
      if (isFree) {
        task.phase = TaskPhase.Ready;
        task.sinceMs = now;
      }
    }
  }

  /**
   * @param task - A ready task.
   * @param worker - VM that it is sent to.
   * @param now - Current time in milliseconds.
   * @returns Number of the new run.
   */
  place(task: BatchTask, worker: string, now: number): number {
    task.phase = TaskPhase.Placed;
    task.run += 1;
    task.worker = worker;
    task.sinceMs = now;
    task.isOverdue = false;
    return task.run;
  }

  /**
   * Makes a task ready again whose run did not begin or has provably ended.
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
   * Takes note of an end.
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
    const isCurrent = isPlacedAs(task, end.run, worker);
    if (!isCurrent && task.phase !== TaskPhase.Unknown) {
      return;
    }
    task.run = Math.max(task.run, end.run);
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
        task.failures += 1;
        task.avoid.add(worker);
        this._again(task, now);
        break;
      case EndKind.STOPPED:
      case EndKind.LAPSED:
      case EndKind.BROKEN:
      case EndKind.ALONE:
      case EndKind.LOST:
      case EndKind.UNSPECIFIED:
        this._again(task, now);
    }
    this._updateState();
  }

  private _again(task: BatchTask, now: number): void {
    // An unknown task may have a later run that no worker has listed yet.
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
        task.failures = count;
      }
    }
    this._updateState();
  }

  private _updateState(): void {
    if (this.tasks.every((task) => task.phase === TaskPhase.Done)) {
      this.state = BatchState.Completed;
    } else if (
      this.tasks.some((task) => task.failures >= this.content.attempts)
    ) {
      this.state = BatchState.Failed;
    }
  }
}

/**
 * Whether a run is the one that a task waits for. Entries that get the same
 * volatile job one after the other number its runs alike, so the worker counts.
 *
 * @param task - A task.
 * @param run - Number of a run.
 * @param worker - VM of the run.
 * @returns Whether the task is placed there with this number.
 */
export const isPlacedAs = (
  task: BatchTask,
  run: number,
  worker: string,
): boolean =>
  task.phase === TaskPhase.Placed && task.run === run && task.worker === worker;
