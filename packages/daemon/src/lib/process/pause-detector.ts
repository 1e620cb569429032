/** Minimum jump between the two clocks that counts as a pause. */
const MIN_JUMP_MS = 250;

/**
 * Detects that the process may have been paused.
 *
 * The monotonic clock stops while a VM is suspended, but the wall clock
 * advances. A forward step of the wall clock looks the same and is also
 * reported; a backward step cannot be a pause.
 */
export class PauseDetector {
  private _offsetMs: number | undefined;

  /**
   * @param monotonicMs - Monotonic clock in milliseconds.
   * @param wallMs - Wall clock in milliseconds.
   * @returns How far the wall clock has advanced ahead of the monotonic clock
   * since the first call or the last jump, in milliseconds; `undefined` when
   * that is too little or negative.
   */
  check(monotonicMs: number, wallMs: number): number | undefined {
    const offsetMs = wallMs - monotonicMs;
    const jumpMs = offsetMs - (this._offsetMs ?? offsetMs);
    this._offsetMs ??= offsetMs;
    if (Math.abs(jumpMs) < MIN_JUMP_MS) {
      return undefined;
    }
    this._offsetMs = offsetMs;
    return jumpMs > 0 ? jumpMs : undefined;
  }
}
