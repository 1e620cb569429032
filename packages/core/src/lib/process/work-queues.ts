import { TaskKind } from '../messages.js';
import type { Units } from '../messages.js';
import type { Job } from '../request/job.js';
import { TaskQueue } from './task-queue.js';

/** Tasks of one endpoint that wait for a unit of one pool. */
export interface WorkQueue {
  readonly endpoint: string;
  readonly pool: keyof Units;
  readonly tasks: TaskQueue;
}

/** All waiting tasks of an entry, by endpoint and pool. */
export class WorkQueues {
  private readonly _routineShare: number;
  private readonly _queues = new Map<string, WorkQueue>();

  /** @param routineShare - Least share of the placements for routine work. */
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

  /** @returns The queue of an endpoint and pool, if there ever was one. */
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

  /** @param job - A job whose waiting tasks are dropped. */
  remove(job: Job): void {
    for (const queue of this._queues.values()) {
      queue.tasks.remove(job);
    }
  }
}

/**
 * @param kind - Kind of a task.
 * @returns The pool that its start draws from.
 */
export const poolOf = (kind: TaskKind): keyof Units =>
  kind === TaskKind.JOB ? 'slots' : 'connections';
