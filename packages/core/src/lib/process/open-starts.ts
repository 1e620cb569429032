import { DELAYED_CALL_LIMIT_MS } from './run-limits.js';
import type { TrackedRun } from './tracked-runs.js';

/**
 * @param run - A run of this or an earlier driver process.
 * @returns Whether a start call of the run may still reach some incarnation of the
 *   worker.
 */
export const hasOpenStart = (run: TrackedRun): boolean => {
  const { starts, answeredStarts, undeliveredStarts } = run;
  // Another driver process has started a run without starts of this one.
  return starts === 0 || starts > answeredStarts + undeliveredStarts;
};

/**
 * Start calls without an answer. The next incarnation of the worker may execute
 * them for as long as a call may be late.
 */
export class OpenStarts {
  /** Local time of the last start call of each run. */
  private readonly _sentAtMs = new Map<TrackedRun, number>();
  private readonly _isTracked: (run: TrackedRun) => boolean;

  /**
   * @param isTracked - Returns whether the end of a run is unknown. The start of a
   *   run that is known to have ended concerns nobody.
   */
  constructor(isTracked: (run: TrackedRun) => boolean) {
    this._isTracked = isTracked;
  }

  /**
   * @param run - A run whose start call is sent.
   * @param now - Current time in milliseconds.
   */
  add(run: TrackedRun, now: number): void {
    this._deleteClosed(now);
    this._sentAtMs.set(run, now);
  }

  /**
   * @param now - Current time in milliseconds.
   * @returns Age of a start that may still be executed by another incarnation, in
   *   milliseconds; absent if there is none.
   */
  openMs(now: number): number | undefined {
    this._deleteClosed(now);
    const [sentAtMs] = this._sentAtMs.values();
    return sentAtMs === undefined ? undefined : now - sentAtMs;
  }

  /** Deletes the runs that come before the first one with an open start. */
  private _deleteClosed(now: number): void {
    for (const [run, sentAtMs] of this._sentAtMs) {
      if (
        this._isTracked(run) &&
        hasOpenStart(run) &&
        now - sentAtMs <= DELAYED_CALL_LIMIT_MS
      ) {
        return;
      }
      this._sentAtMs.delete(run);
    }
  }
}
