import type { RunRef } from '../messages.js';
import { runKey } from '../request/run-key.js';
import type { WorkerFleet } from './worker-fleet.js';

/** A run that is being stopped. */
export interface StoppingRun {
  /** Run key. */
  readonly key: string;
  /** VM of its worker. */
  readonly worker: string;
}

/**
 * Runs of volatile jobs that the entry has given up, until their workers have
 * confirmed the end of each. The caller may submit such a job to this entry
 * again before that: a worker that leaves calls unanswered stops a run late.
 */
export class StoppingRuns {
  private readonly _fleet: Pick<WorkerFleet, 'get'>;
  /** Runs by the name of their task. */
  private readonly _runs = new Map<string, readonly StoppingRun[]>();

  /** @param fleet - The workers with the runs that have been sent to them. */
  constructor(fleet: Pick<WorkerFleet, 'get'>) {
    this._fleet = fleet;
  }

  /**
   * @param ref - Task and number of a run that is being stopped.
   * @param worker - VM of the run.
   */
  add(ref: RunRef, worker: string): void {
    const others = this._runs.get(ref.task) ?? [];
    this._runs.set(ref.task, [...others, { key: runKey(ref), worker }]);
  }

  /**
   * @param task - Name of a task.
   * @returns Whether an earlier run of it may still be active.
   */
  has(task: string): boolean {
    const runs = this._runs.get(task);
    if (!runs) {
      return false;
    }
    const isActive = runs.some(({ key, worker }) =>
      this._fleet.get(worker)?.placed.has(key),
    );
    if (!isActive) {
      this._runs.delete(task);
    }
    return isActive;
  }

  /** Discards the runs that have ended. */
  prune(): void {
    for (const task of [...this._runs.keys()]) {
      this.has(task);
    }
  }
}
