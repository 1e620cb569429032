import type { Resources } from '../messages.js';

const ZERO_RESOURCES: Resources = { cores: 0, memoryMb: 0, accelerators: 0 };

/** Accounts for a worker's resources and the amounts reserved by its tasks. */
export class ResourceLedger {
  private _total: Resources = ZERO_RESOURCES;
  private _reserved: Resources = ZERO_RESOURCES;

  /** Total resources of the worker. */
  get total(): Resources {
    return this._total;
  }

  set total(total: Resources) {
    this._total = total;
  }

  /** Resources that are not reserved; negative if the total has shrunk. */
  get free(): Resources {
    return add(this._total, this._reserved, -1);
  }

  /**
   * @param needs - Resources that a task declares.
   * @returns Whether the free resources suffice.
   */
  fits(needs: Resources | undefined): boolean {
    return needs === undefined || fitsInto(needs, this.free);
  }

  /** @param needs - Resources to reserve for a starting task. */
  reserve(needs: Resources | undefined): void {
    this._reserved = add(this._reserved, needs ?? ZERO_RESOURCES, 1);
  }

  /** @param needs - Resources that were reserved for a task that has ended. */
  release(needs: Resources | undefined): void {
    this._reserved = add(this._reserved, needs ?? ZERO_RESOURCES, -1);
  }
}

/**
 * @param needs - Required resources.
 * @param available - Available resources.
 * @returns Whether the available amount of each resource suffices.
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
