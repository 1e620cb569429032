import { TaskKind } from '../messages.js';
import type { Units } from '../messages.js';
import type { Job } from '../request/job.js';
import { TaskQueue } from './task-queue.js';

/** Waiting tasks of one endpoint and capacity pool. */
export interface WorkQueue {
  readonly endpoint: string;
  readonly pool: keyof Units;
  readonly tasks: TaskQueue;
}

/** All waiting tasks of an entry, in one queue per endpoint and pool. */
export class WorkQueues {
  private readonly _routineShare: number;
  private readonly _queues = new Map<string, WorkQueue>();

  /** @param routineShare - Minimum share of placements for routine tasks. */
  constructor(routineShare: number) {
    this._routineShare = routineShare;
  }

  /** Number of waiting tasks. */
  get size(): number {
    let size = 0;
    for (const queue of this._queues.values()) {
      size += queue.tasks.size;
    }
    return size;
  }

  /** @returns The queues, empty ones included. */
  all(): Iterable<WorkQueue> {
    return this._queues.values();
  }

  /** @returns The queue, or `undefined` before the first task is pushed to it. */
  find(endpoint: string, pool: keyof Units): WorkQueue | undefined {
    return this._queues.get(`${pool}/${endpoint}`);
  }

  /**
   * @param job - The job of the task.
   * @param index - Position of the task in its job.
   */
  push(job: Job, index: number): void {
    const endpoint = job.spec.tasks[index]?.endpoint ?? '';
    const pool = poolOf(job.kind);
    const key = `${pool}/${endpoint}`;
    let queue = this._queues.get(key);
    if (!queue) {
      const tasks = new TaskQueue({ routineShare: this._routineShare });
      queue = { endpoint, pool, tasks };
      this._queues.set(key, queue);
    }
    queue.tasks.push(job, index);
  }

  /** @param job - A job whose waiting tasks are removed. */
  remove(job: Job): void {
    for (const queue of this._queues.values()) {
      queue.tasks.remove(job);
    }
  }
}

/**
 * @param kind - Kind of a task.
 * @returns The pool from which the task takes a unit.
 */
export const poolOf = (kind: TaskKind): keyof Units =>
  kind === TaskKind.JOB ? 'slots' : 'connections';
