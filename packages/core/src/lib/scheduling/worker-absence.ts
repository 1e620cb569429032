/** How long jobs are held without a usable worker, in the hope of a new link. */
const GRACE_MS = 300;
/** The same for a service of which no worker has been usable yet. */
const FIRST_GRACE_MS = 1500;
/** Interval without an observation after which an absence begins anew. */
const MAX_GAP_MS = 1000;

interface Observation {
  hasBeenUsable: boolean;
  isUsable: boolean;
  /** Time since which no worker is usable. */
  sinceMs: number;
  atMs: number;
}

/**
 * Observes for how long a service has had no worker that could be used.
 *
 * Load pattern: an entry that is cut off from the workers while callers still
 * reach it. It can't serve their jobs, other entries may.
 */
export class WorkerAbsence {
  private readonly _services = new Map<string, Observation>();

  /**
   * @param service - A service with waiting jobs.
   * @param isUsable - Whether any of its workers may be sent starts.
   * @param now - Current time in milliseconds.
   */
  observe(service: string, isUsable: boolean, now: number): void {
    const last = this._services.get(service);
    const begins =
      !last || isUsable || last.isUsable || now - last.atMs > MAX_GAP_MS;
    this._services.set(service, {
      hasBeenUsable: isUsable || (last?.hasBeenUsable ?? false),
      isUsable,
      sinceMs: begins ? now : last.sinceMs,
      atMs: now,
    });
  }

  /**
   * @param service - A service.
   * @param now - Current time in milliseconds.
   * @returns Whether no worker has been usable for longer than the time in which
   *   a link is usually replaced.
   */
  isAbsent(service: string, now: number): boolean {
    const last = this._services.get(service);
    if (!last || last.isUsable) {
      return false;
    }
    const graceMs = last.hasBeenUsable ? GRACE_MS : FIRST_GRACE_MS;
    return now - last.sinceMs >= graceMs;
  }
}
