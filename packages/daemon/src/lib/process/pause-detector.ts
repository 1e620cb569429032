/** Least jump between the clocks that counts as a pause, in milliseconds. */
const JUMP_MS = 250;

/**
 * Notices that the process may have been paused.
 *
 * The steady clock stands still while a VM is suspended; the time of day goes
 * on. A step of the time of day ahead looks the same and is treated alike; a
 * step back can't be a pause.
 */
export class PauseDetector {
  private _offsetMs: number | undefined;

  /**
   * @param steadyMs - Steady clock in milliseconds.
   * @param wallMs - Time of day in milliseconds.
   * @returns The jump ahead since the last call, when it is large.
   */
  check(steadyMs: number, wallMs: number): number | undefined {
    const offsetMs = wallMs - steadyMs;
    const jumpMs = offsetMs - (this._offsetMs ?? offsetMs);
    this._offsetMs ??= offsetMs;
    if (Math.abs(jumpMs) < JUMP_MS) {
      return undefined;
    }
    this._offsetMs = offsetMs;
    return jumpMs > 0 ? jumpMs : undefined;
  }
}
