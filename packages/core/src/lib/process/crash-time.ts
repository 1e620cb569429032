/** When a worker may have crashed, in local milliseconds. */
export interface CrashBounds {
  readonly earliestMs: number;
  readonly latestMs: number;
}

/** How a call to the worker has failed. */
export enum CallFailure {
  /** The connection of the call was closed before the call timed out. */
  Closed,
  /** The worker's address refused the connection: its process has ended. */
  Refused,
  /** No answer came in time, or another incarnation gave it. */
  Unanswered,
}

/**
 * Bounds the time of a worker's crash by the outcomes of the calls before it.
 *
 * A connection that closes tells the time exactly. A call that times out does
 * not: the worker has crashed at any time since its last answer, or has only
 * stopped answering.
 */
export class CrashTime {
  private _answeredAtMs = Number.NEGATIVE_INFINITY;
  private _earliestMs: number | undefined;
  private _latestMs: number | undefined;

  /** @param now - Current time in milliseconds; the worker has answered. */
  onAnswer(now: number): void {
    this._answeredAtMs = now;
    this._earliestMs = undefined;
    this._latestMs = undefined;
  }

  /**
   * @param failure - How a call has failed.
   * @param now - Current time in milliseconds.
   */
  onFailure(failure: CallFailure, now: number): void {
    switch (failure) {
      case CallFailure.Closed:
        this._earliestMs ??= now;
        this._latestMs = now;
        return;
      case CallFailure.Refused:
        this._earliestMs ??= this._answeredAtMs;
        this._latestMs ??= now;
        return;
      case CallFailure.Unanswered:
        this._earliestMs ??= this._answeredAtMs;
        this._latestMs = undefined;
    }
  }

  /**
   * @param now - Current time in milliseconds, when the crash is known.
   * @returns When the worker may have crashed.
   */
  bounds(now: number): CrashBounds {
    return {
      earliestMs: this._earliestMs ?? this._answeredAtMs,
      latestMs: this._latestMs ?? now,
    };
  }
}
