import { now } from './clock.js';
import type { Log } from './logger.js';

/** Options of {@link PlannedStop}. */
export interface PlannedStopOptions {
  readonly log: Log;
  /** Called when the role has not started in time after the stop began. */
  readonly onStartTimeout: () => void;
}

/**
 * Maximum time that a stop waits for the start of the role. A start opens
 * servers and needs no answer of the store, so one that takes longer hangs.
 */
const START_TIMEOUT_MS = 2000;

/**
 * Keeps the decision to stop for the life of the process, from the first signal
 * on: also while the role is still starting, and when the signal is repeated.
 */
export class PlannedStop {
  private readonly _options: PlannedStopOptions;
  /** Time of the first signal. */
  private _sinceMs: number | undefined;
  private _stopRole: ((sinceMs: number) => void) | undefined;
  private _timer: NodeJS.Timeout | undefined;

  /** @param options - Log and callback. */
  constructor(options: PlannedStopOptions) {
    this._options = options;
  }

  /** Begins the stop, unless it has begun. */
  begin(): void {
    const { log, onStartTimeout } = this._options;
    if (this._sinceMs !== undefined) {
      log.info('planned stop in progress, signal ignored');
      return;
    }
    this._sinceMs = now();
    log.info('planned stop');
    if (this._stopRole) {
      this._stopRole(this._sinceMs);
    } else {
      this._timer = setTimeout(() => {
        log.warn('stopped before the start was complete');
        onStartTimeout();
      }, START_TIMEOUT_MS);
    }
  }

  /**
   * @param stopRole - Begins the planned stop of the role, which has started.
   *   Receives the time of the first signal, from which the grace is counted.
   */
  onStarted(stopRole: (sinceMs: number) => void): void {
    this._stopRole = stopRole;
    clearTimeout(this._timer);
    if (this._sinceMs !== undefined) {
      stopRole(this._sinceMs);
    }
  }
}
