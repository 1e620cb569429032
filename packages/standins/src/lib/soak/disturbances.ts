/** Time without a fault after which a process or the store counts as calm. */
const CONTACT_MS = 3000;

interface Span {
  readonly isPlanned: boolean;
  untilMs: number;
}

/** Records when faults were at work, to tell where promises with a time hold. */
export class Disturbances {
  private readonly _spans = new Map<string, Span[]>();

  /**
   * @param name - Name of a process, or `store`.
   * @param isPlanned - Whether it belongs to planned work on the process.
   * @returns Ends the disturbance when called.
   */
  begin(name: string, isPlanned = false): () => void {
    const span = { isPlanned, untilMs: Number.POSITIVE_INFINITY };
    this._spans.set(name, [...(this._spans.get(name) ?? []), span]);
    return () => {
      span.untilMs = Date.now();
    };
  }

  /**
   * @param name - Name of a process, or `store`.
   * @param sinceMs - Time in milliseconds since 1970.
   * @returns Whether there was no disturbance from `CONTACT_MS` before that time
   * until now.
   */
  isCalmSince(name: string, sinceMs: number): boolean {
    return this._isCalm(this._spans.get(name) ?? [], sinceMs);
  }

  /** Like {@link isCalmSince}, but planned work does not count. */
  isUndisturbedSince(name: string, sinceMs: number): boolean {
    const spans = this._spans.get(name) ?? [];
    return this._isCalm(
      spans.filter(({ isPlanned }) => !isPlanned),
      sinceMs,
    );
  }

  private _isCalm(spans: readonly Span[], sinceMs: number): boolean {
    return spans.every(({ untilMs }) => untilMs + CONTACT_MS < sinceMs);
  }
}
