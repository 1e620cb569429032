import type { RunEnd } from '../messages.js';

interface TrackedEnd {
  readonly end: RunEnd;
  recorded: boolean;
  readonly listedAtMs: number;
}

/**
 * Tracks the ends of runs that a worker lists until they can be acknowledged.
 *
 * An acknowledgement is a single number, and the worker forgets all ends up to
 * it. An end is therefore acknowledged only once it and all earlier ends have
 * been recorded by the entries that own the runs.
 */
export class EndList {
  private readonly _tracked = new Map<number, TrackedEnd>();
  private _ackedThrough = 0;
  private _highest = 0;
  /** Numbers in the worker's last list. */
  private _listed: readonly number[] = [];

  /** The worker may forget ends up to this number. */
  get ackedThrough(): number {
    return this._ackedThrough;
  }

  /**
   * Number of ends in the worker's last list that it may forget. If there are
   * none, it has received the acknowledgement.
   */
  get forgettable(): number {
    return this._listed.filter((number) => number <= this._ackedThrough).length;
  }

  /** Whether any end is not acknowledged yet. */
  get hasUnacknowledged(): boolean {
    return this._tracked.size > 0;
  }

  /** Ends that their owners have not recorded yet. */
  get unrecorded(): RunEnd[] {
    return [...this._tracked.values()]
      .filter((tracked) => !tracked.recorded)
      .map((tracked) => tracked.end);
  }

  /**
   * @param beforeMs - Latest time of the first listing, in milliseconds.
   * @returns Unrecorded ends that were first listed at or before that time.
   */
  unrecordedListedBefore(beforeMs: number): RunEnd[] {
    return [...this._tracked.values()]
      .filter((tracked) => !tracked.recorded && tracked.listedAtMs <= beforeMs)
      .map((tracked) => tracked.end);
  }

  /**
   * @param end - An end as listed by the worker.
   * @param now - Current time in milliseconds.
   * @returns Whether the end is new.
   */
  add(end: RunEnd, now: number): boolean {
    if (end.number <= this._ackedThrough || this._tracked.has(end.number)) {
      return false;
    }
    this._tracked.set(end.number, { end, recorded: false, listedAtMs: now });
    this._highest = Math.max(this._highest, end.number);
    return true;
  }

  /**
   * Notes which ends the worker still has.
   *
   * @param numbers - Numbers of all ends in the worker's list.
   */
  observeList(numbers: readonly number[]): void {
    this._listed = numbers;
  }

  /** @returns Whether the end is listed and not acknowledged. */
  isListed(number: number): boolean {
    return this._tracked.has(number);
  }

  /** @param number - Number of an end that its owner has recorded. */
  markRecorded(number: number): void {
    const tracked = this._tracked.get(number);
    if (tracked) {
      tracked.recorded = true;
    }
    this._advanceAcknowledged();
  }

  /** Clears the list for a new incarnation of the worker. */
  reset(): void {
    this._tracked.clear();
    this._ackedThrough = 0;
    this._highest = 0;
    this._listed = [];
  }

  private _advanceAcknowledged(): void {
    for (let next = this._ackedThrough + 1; next <= this._highest; next += 1) {
      const tracked = this._tracked.get(next);
      // Numbers that were never listed are skipped: after a restart of this
      // process the list may begin at any number.
      if (tracked && !tracked.recorded) {
        return;
      }
      this._tracked.delete(next);
      this._ackedThrough = next;
    }
  }
}
