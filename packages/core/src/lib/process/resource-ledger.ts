import type { Resources } from '../messages.js';

const NONE: Resources = { cores: 0, memoryMb: 0, accelerators: 0 };

/** Resources of a worker, and what running tasks hold of them. */
export class ResourceLedger {
  private _total: Resources = NONE;
  private _held: Resources = NONE;

  /** All resources of the worker. */
  get total(): Resources {
    return this._total;
  }

  set total(total: Resources) {
    this._total = total;
  }

  /** Resources that no task holds. */
  get free(): Resources {
    return add(this._total, this._held, -1);
  }

  /**
   * @param needs - What a task declares.
   * @returns Whether the task fits now.
   */
  fits(needs: Resources | undefined): boolean {
    return needs === undefined || fitsInto(needs, this.free);
  }

  /** @param needs - What a starting task declares. */
  hold(needs: Resources | undefined): void {
    this._held = add(this._held, needs ?? NONE, 1);
  }

  /** @param needs - What an ended task declared. */
  release(needs: Resources | undefined): void {
    this._held = add(this._held, needs ?? NONE, -1);
  }
}

/**
 * @param needs - Resources wanted.
 * @param available - Resources there are.
 * @returns Whether each amount is available.
 */
export const fitsInto = (needs: Resources, available: Resources): boolean =>
  needs.cores <= available.cores &&
  needs.memoryMb <= available.memoryMb &&
  needs.accelerators <= available.accelerators;

const add = (a: Resources, b: Resources, sign: 1 | -1): Resources => ({
  cores: a.cores + sign * b.cores,
  memoryMb: a.memoryMb + sign * b.memoryMb,
  accelerators: a.accelerators + sign * b.accelerators,
});
