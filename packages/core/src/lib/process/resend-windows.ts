import type { RunLimits } from './run-limits.js';

/**
 * Time from the end of a caller's wait until its submission is handled here: a
 * new connection, and a busy caller or entry.
 */
const ARRIVAL_SLACK_MS = 250;

interface Window {
  readonly fromMs: number;
  readonly untilMs: number;
}

/**
 * Times at which the callers of lost entries may send their volatile jobs again.
 * Nobody else knows these jobs, and a submission does not show whether it is the
 * first one. But callers wait for {@link RunLimits.resendMs} once their connection
 * has broken, so their submissions arrive that long after the loss of the entry.
 */
export class ResendWindows {
  private readonly _resendMs: number;
  private _windows: Window[] = [];

  /** @param limits - Time for which callers wait, in milliseconds. */
  constructor({ resendMs }: Pick<RunLimits, 'resendMs'>) {
    this._resendMs = resendMs;
  }

  /**
   * @param aliveAtMs - Time at which the entry was last known to be alive.
   * @param lostAtMs - Time at which it was found to be lost.
   */
  onEntryLost(aliveAtMs: number, lostAtMs: number): void {
    this._windows = this._windows.filter(({ untilMs }) => lostAtMs <= untilMs);
    this._windows.push({
      fromMs: aliveAtMs + this._resendMs,
      untilMs: lostAtMs + this._resendMs + ARRIVAL_SLACK_MS,
    });
  }

  /**
   * Notes that the process that this one replaces was lost, at any time before.
   *
   * @param startedAtMs - Time at which this entry started.
   */
  onPredecessorLost(startedAtMs: number): void {
    this.onEntryLost(startedAtMs - this._resendMs, startedAtMs);
  }

  /**
   * @param now - Current time in milliseconds.
   * @returns Whether a submission may come from a caller of a lost entry.
   */
  isOpen(now: number): boolean {
    return this._windows.some(
      ({ fromMs, untilMs }) => now >= fromMs && now <= untilMs,
    );
  }
}
