interface Scheduled {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** Virtual time: callbacks run in the order of their times. */
export class EventQueue {
  private readonly _heap: Scheduled[] = [];
  private _nowMs = 0;
  private _order = 0;

  /** Current virtual time in milliseconds. */
  get nowMs(): number {
    return this._nowMs;
  }

  /**
   * @param delayMs - Time from now.
   * @param run - What happens then.
   */
  after(delayMs: number, run: () => void): void {
    const atMs = this._nowMs + Math.max(0, delayMs);
    this._push({ atMs, order: this._order++, run });
  }

  /** @param untilMs - Virtual time up to which everything is run. */
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

  private _push(item: Scheduled): void {
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
      let least = left;
      if (right && isBefore(right, left)) {
        child += 1;
        least = right;
      }
      if (!isBefore(least, last)) {
        break;
      }
      heap[i] = least;
      i = child;
    }
    heap[i] = last;
  }
}

const isBefore = (a: Scheduled, b: Scheduled): boolean =>
  a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
