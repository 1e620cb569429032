import type { RunEnd } from '../messages.js';

interface ListedEntry {
  readonly end: RunEnd;
  recorded: boolean;
  readonly listedAtMs: number;
}

/**
 * The ends that a worker lists and that are not acknowledged yet.
 *
 * The worker forgets ends up to one number, so an end is acknowledged once it
 * and all before it are recorded by their owners.
 */
export class EndList {
  private readonly _entries = new Map<number, ListedEntry>();
  private _ackedThrough = 0;
  private _highest = 0;

  /** Ends up to this number may be forgotten by the worker. */
  get ackedThrough(): number {
    return this._ackedThrough;
  }

  /** Whether any end waits for its record. */
  get hasUnrecorded(): boolean {
    return this._entries.size > 0;
  }

  /** Ends that no owner has recorded. */
  get unrecorded(): RunEnd[] {
    return [...this._entries.values()]
      .filter((entry) => !entry.recorded)
      .map((entry) => entry.end);
  }

  /**
   * @param beforeMs - Latest time of listing.
   * @returns Ends without a record that were listed by then.
   */
  waitingSince(beforeMs: number): RunEnd[] {
    return [...this._entries.values()]
      .filter((entry) => !entry.recorded && entry.listedAtMs <= beforeMs)
      .map((entry) => entry.end);
  }

  /**
   * @param end - An end as listed by the worker.
   * @param now - Current time in milliseconds.
   * @returns Whether it is new.
   */
  add(end: RunEnd, now: number): boolean {
    if (end.number <= this._ackedThrough || this._entries.has(end.number)) {
      return false;
    }
    this._entries.set(end.number, { end, recorded: false, listedAtMs: now });
    this._highest = Math.max(this._highest, end.number);
    return true;
  }

  /** @returns Whether the worker still lists the end. */
  isListed(number: number): boolean {
    return this._entries.has(number);
  }

  /** @param number - An end that its owner has recorded. */
  record(number: number): void {
    const entry = this._entries.get(number);
    if (entry) {
      entry.recorded = true;
    }
    this._advance();
  }

  /** Starts over for a new incarnation of the worker. */
  reset(): void {
    this._entries.clear();
    this._ackedThrough = 0;
    this._highest = 0;
  }

  private _advance(): void {
    for (let next = this._ackedThrough + 1; next <= this._highest; next += 1) {
      const entry = this._entries.get(next);
      // After a restart of this process the list may begin anywhere.
      if (entry && !entry.recorded) {
        return;
      }
      this._entries.delete(next);
      this._ackedThrough = next;
    }
  }
}
