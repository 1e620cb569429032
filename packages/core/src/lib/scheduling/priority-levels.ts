import type { RouteTable } from '../version/route-table.js';

/** Options of the decisions by priority while capacity is short. */
export interface OverloadOptions {
  /** Weight of a job by priority; the last value holds for all lower ones. */
  readonly weights: readonly number[];
  /** Share of the offered jobs of each queue that is always kept. */
  readonly floor: number;
  /**
   * Share of a worker's capacity that a job leaves free, by priority; the last
   * value holds for all lower ones.
   */
  readonly reserved: readonly number[];
}

/** Defaults of {@link OverloadOptions}. */
export const OVERLOAD_DEFAULTS: OverloadOptions = {
  weights: [4, 2, 1],
  floor: 0.3,
  reserved: [0, 0.06, 0.12],
};

/**
 * @param values - Values by priority; the last one holds for all lower ones.
 * @param priority - Priority of a queue; 0 is the highest.
 * @returns Value for the priority; 0 if there are none.
 */
export const valueOf = (values: readonly number[], priority: number): number =>
  values[Math.min(priority, values.length - 1)] ?? 0;

/**
 * Knows which services have queues of different priorities. Only jobs of these
 * services are treated by priority.
 */
export class PriorityLevels {
  private readonly _routes: RouteTable;
  private _version: number | undefined;
  private _prioritised = new Set<string>();

  /** @param routes - Routes in force. */
  constructor(routes: RouteTable) {
    this._routes = routes;
  }

  /** @returns Whether the queues of the service differ in priority. */
  isPrioritised(service: string): boolean {
    if (this._version !== this._routes.version) {
      this._update();
    }
    return this._prioritised.has(service);
  }

  private _update(): void {
    const priorities = new Map<string, number>();
    this._prioritised = new Set();
    this._version = this._routes.version;
    for (const { service, priority } of this._routes.config?.routes ?? []) {
      if ((priorities.get(service) ?? priority) !== priority) {
        this._prioritised.add(service);
      }
      priorities.set(service, priority);
    }
  }
}
