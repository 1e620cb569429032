import { now } from './clock.js';

/** Options of {@link TurnFlush}. */
export interface TurnFlushOptions {
  /** Whether the callback takes half of the time at most. */
  readonly isPaced?: boolean;
}

/** Shortest wait for which a timer is set, in milliseconds. */
const MIN_WAIT_MS = 1;

/**
 * Runs a callback after the events of a turn of the event loop. The hosts
 * dispatch their `flush` event in it, so that the messages that result from all
 * events of a turn are sent in one batch.
 *
 * A paced callback takes half of the time at most: after a run that took long,
 * the next one waits as long. Node.js accepts one connection per turn, so that
 * connections would otherwise wait in the accept queue of a busy process while
 * it runs the callback after each of them.
 */
export class TurnFlush {
  private readonly _run: (turnMs: number) => void;
  private readonly _isPaced: boolean;
  private _cancel: (() => void) | undefined;
  private _startedAtMs = 0;
  /** Time before which the callback does not run again. */
  private _notBeforeMs = 0;

  /**
   * @param run - Called with the milliseconds since the first event after its
   *   last call.
   * @param options - Whether the callback is paced; it is not by default.
   */
  constructor(
    run: (turnMs: number) => void,
    { isPaced = false }: TurnFlushOptions = {},
  ) {
    this._run = run;
    this._isPaced = isPaced;
  }

  /** Schedules the callback, unless it is scheduled already. */
  schedule(): void {
    if (this._cancel) {
      return;
    }
    this._startedAtMs = now();
    const waitMs = this._notBeforeMs - this._startedAtMs;
    const run = (): void => {
      this._runNow();
    };
    if (waitMs < MIN_WAIT_MS) {
      const immediate = setImmediate(run);
      this._cancel = () => {
        clearImmediate(immediate);
      };
    } else {
      const timeout = setTimeout(run, waitMs);
      this._cancel = () => {
        clearTimeout(timeout);
      };
    }
  }

  /** Runs the callback now if it is scheduled and does not have to wait. */
  runScheduled(): void {
    if (this._cancel && now() >= this._notBeforeMs) {
      this._cancel();
      this._runNow();
    }
  }

  private _runNow(): void {
    this._cancel = undefined;
    const startedAtMs = now();
    this._run(startedAtMs - this._startedAtMs);
    if (this._isPaced) {
      const endedAtMs = now();
      this._notBeforeMs = endedAtMs + (endedAtMs - startedAtMs);
    }
  }
}
