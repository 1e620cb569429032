import type { CrashedRun, WorkerCrash } from '../messages.js';

/** Crashes that are remembered; entries with new links learn of them. */
const MAX_CRASHES = 8;
const CRASH_RETENTION_MS = 120_000;

/**
 * Remembers the recent crashes of a worker, so that an entry that opens a link
 * after a crash learns which runs were active then. Such an entry may have
 * taken over the jobs of these runs, or received them from their callers again.
 */
export class CrashHistory {
  private _crashes: { crash: WorkerCrash; readonly atMs: number }[] = [];

  /**
   * Records a crash. If it is the last known one, the runs are added to it.
   *
   * @param life - Incarnation that crashed.
   * @param runs - Runs that may have been active then.
   * @param now - Current time in milliseconds.
   * @returns The crash with all its runs.
   */
  add(life: string, runs: readonly CrashedRun[], now: number): WorkerCrash {
    const last = this._crashes.at(-1);
    if (last?.crash.life === life) {
      last.crash = { life, runs: [...last.crash.runs, ...runs] };
      return last.crash;
    }
    const crash: WorkerCrash = { life, runs: [...runs] };
    this._crashes = [...this._crashes, { crash, atMs: now }].slice(
      -MAX_CRASHES,
    );
    return crash;
  }

  /**
   * @param now - Current time in milliseconds.
   * @returns The remembered crashes, earlier ones first.
   */
  recent(now: number): WorkerCrash[] {
    return this._crashes
      .filter(({ atMs }) => now - atMs < CRASH_RETENTION_MS)
      .map(({ crash }) => crash);
  }
}
