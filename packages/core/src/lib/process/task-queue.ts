import type { Job } from '../request/job.js';
import { PriorityClass } from '../request/job-spec.js';

/** A task that waits for placement. */
export interface QueuedTask {
  readonly job: Job;
  readonly index: number;
}

/** Options of {@link TaskQueue}. */
export interface TaskQueueOptions {
  /** Minimum share of placements for routine tasks while any wait. */
  readonly routineShare?: number;
}

/** Waiting tasks of one priority class. */
interface ClassQueue {
  /** Jobs in order of arrival, each with the indexes of its waiting tasks. */
  readonly jobs: Map<Job, number[]>;
  size: number;
}

const DEFAULT_ROUTINE_SHARE = 0.1;

/**
 * Queue of the tasks that wait for one pool of one endpoint.
 *
 * Urgent tasks go first; while both classes wait, routine tasks get a minimum
 * share of the placements, so neither starves. Tasks are grouped by job, so
 * that a job that can't be placed is skipped in one step.
 */
export class TaskQueue {
  private readonly _routineShare: number;
  private readonly _urgent: ClassQueue = { jobs: new Map(), size: 0 };
  private readonly _routine: ClassQueue = { jobs: new Map(), size: 0 };
  /**
   * Grows by the routine share with each placement while both classes wait, and
   * a routine placement uses up 1. Routine tasks go first when the next growth
   * would reach 1.
   */
  private _routineCredit = 0;

  /** @param options - Share of the routine class. */
  constructor(options: TaskQueueOptions = {}) {
    this._routineShare = options.routineShare ?? DEFAULT_ROUTINE_SHARE;
  }

  /** Number of waiting tasks. */
  get size(): number {
    return this._urgent.size + this._routine.size;
  }

  /**
   * @param job - The job of the task.
   * @param index - Position of the task in its job.
   */
  push(job: Job, index: number): void {
    const classQueue = this._classQueueOf(job);
    const indexes = classQueue.jobs.get(job);
    if (indexes) {
      indexes.push(index);
    } else {
      classQueue.jobs.set(job, [index]);
    }
    classQueue.size += 1;
  }

  /**
   * Removes all waiting tasks of a job.
   *
   * @param job - The job.
   */
  remove(job: Job): void {
    const classQueue = this._classQueueOf(job);
    classQueue.size -= classQueue.jobs.get(job)?.length ?? 0;
    classQueue.jobs.delete(job);
  }

  /**
   * Removes and returns the next task that can be placed.
   *
   * @param canPlace - Returns whether a task can be placed now. It is called
   * with the first waiting task of each job; if it returns `false`, the whole
   * job is skipped.
   * @returns The task, or `undefined` if no task can be placed.
   */
  take(canPlace: (task: QueuedTask) => boolean): QueuedTask | undefined {
    const bothWaiting = this._urgent.size > 0 && this._routine.size > 0;
    if (!bothWaiting) {
      return this._takeFrom(
        this._urgent.size > 0 ? this._urgent : this._routine,
        canPlace,
      );
    }
    const routineFirst = this._routineCredit + this._routineShare >= 1;
    const first = routineFirst ? this._routine : this._urgent;
    const second = routineFirst ? this._urgent : this._routine;
    const task =
      this._takeFrom(first, canPlace) ?? this._takeFrom(second, canPlace);
    if (task) {
      this._updateRoutineCredit(task);
    }
    return task;
  }

  /** @returns Jobs with waiting tasks and their number, urgent jobs first. */
  *waiting(): Generator<[Job, number]> {
    for (const classQueue of [this._urgent, this._routine]) {
      for (const [job, indexes] of classQueue.jobs) {
        yield [job, indexes.length];
      }
    }
  }

  private _updateRoutineCredit(task: QueuedTask): void {
    if (task.job.spec.priority === PriorityClass.Routine) {
      this._routineCredit = Math.max(0, this._routineCredit - 1);
    }
    this._routineCredit = Math.min(1, this._routineCredit + this._routineShare);
  }

  private _classQueueOf(job: Job): ClassQueue {
    return job.spec.priority === PriorityClass.Urgent
      ? this._urgent
      : this._routine;
  }

  private _takeFrom(
    classQueue: ClassQueue,
    canPlace: (task: QueuedTask) => boolean,
  ): QueuedTask | undefined {
    for (const [job, indexes] of classQueue.jobs) {
      const index = indexes[0];
      if (index === undefined) {
        continue;
      }
      const task = { job, index };
      if (canPlace(task)) {
        indexes.shift();
        classQueue.size -= 1;
        if (indexes.length === 0) {
          classQueue.jobs.delete(job);
        }
        return task;
      }
    }
    return undefined;
  }
}
