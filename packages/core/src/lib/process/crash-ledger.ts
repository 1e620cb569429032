import type { WorkerCrash } from '../messages.js';

/** Tasks that are remembered; the ones that crashed longest ago go first. */
const MAX_TASKS = 20_000;

/**
 * Counts the worker crashes under each task, over the runs of all entries.
 *
 * A crash is identified by the worker and its incarnation, so a crash that is
 * reported again is not counted twice.
 */
export class CrashLedger {
  /** Crashes by task. */
  private readonly _crashes = new Map<string, Set<string>>();

  /**
   * Records a crash.
   *
   * @param worker - VM of the worker.
   * @param crash - The crash, with the runs that may have been active then.
   * @returns The tasks for which this crash is new.
   */
  add(worker: string, crash: WorkerCrash): string[] {
    const key = `${worker}/${crash.life}`;
    const affected: string[] = [];
    for (const { task } of crash.runs) {
      const known = this._crashes.get(task) ?? new Set();
      if (!known.has(key)) {
        known.add(key);
        affected.push(task);
        // Moves the task to the end of the eviction order.
        this._crashes.delete(task);
        this._crashes.set(task, known);
      }
    }
    this._evict();
    return affected;
  }

  /** @returns Number of worker crashes under the task. */
  countOf(task: string): number {
    return this._crashes.get(task)?.size ?? 0;
  }

  private _evict(): void {
    for (const task of this._crashes.keys()) {
      if (this._crashes.size <= MAX_TASKS) {
        return;
      }
      this._crashes.delete(task);
    }
  }
}
