interface ScheduledCallback {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/**
 * Event queue of the simulation. Runs callbacks in order of their virtual
 * time; callbacks for the same time run in the order in which they were added.
 */
export class EventQueue {
  private readonly _heap: ScheduledCallback[] = [];
  private _nowMs = 0;
  private _nextOrder = 0;

  /** Current virtual time in milliseconds. */
  get nowMs(): number {
    return this._nowMs;
  }

  /**
   * Schedules a callback.
   *
   * @param delayMs - Delay in virtual time; a negative delay counts as zero.
   * @param run - The callback.
   */
  after(delayMs: number, run: () => void): void {
    const atMs = this._nowMs + Math.max(0, delayMs);
    this._push({ atMs, order: this._nextOrder++, run });
  }

  /**
   * Runs all callbacks that are due and advances the virtual time.
   *
   * @param untilMs - Virtual time to advance to.
   */
  runUntil(untilMs: number): void {
    for (;;) {
      const next = this._heap[0];
      if (!next || next.atMs > untilMs) {
        this._nowMs = untilMs;
        return;
      }
      this._pop();
      this._nowMs = next.atMs;
      next.run();
    }
  }

  private _push(item: ScheduledCallback): void {
    const heap = this._heap;
    let i = heap.length;
    heap.push(item);
    while (i > 0) {
      const parent = (i - 1) >> 1;
      const above = heap[parent];
      if (!above || !isBefore(item, above)) {
        break;
      }
      heap[i] = above;
      i = parent;
    }
    heap[i] = item;
  }

  private _pop(): void {
    const heap = this._heap;
    const last = heap.pop();
    if (!last || heap.length === 0) {
      return;
    }
    let i = 0;
    for (;;) {
      let child = 2 * i + 1;
      const left = heap[child];
      const right = heap[child + 1];
      if (!left) {
        break;
      }
      let smallest = left;
      if (right && isBefore(right, left)) {
        child += 1;
        smallest = right;
      }
      if (!isBefore(smallest, last)) {
        break;
      }
      heap[i] = smallest;
      i = child;
    }
    heap[i] = last;
  }
}

const isBefore = (a: ScheduledCallback, b: ScheduledCallback): boolean =>
  a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
