import { groupBy } from '../group-by.js';

/** A queue that desks submit jobs to, with the limits of its jobs. */
export interface QueueRoute {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly service: string;
  /** Priority of the jobs of the queue; 0 is the highest. */
  readonly priority: number;
  /** Number of failed runs of one task at which its job fails. */
  readonly attempts: number;
  /**
   * Factor of the completion objective of a job, which is `stretch` times its
   * estimated critical path plus `slackMs`.
   */
  readonly stretch: number;
  /** Part of the objective that does not depend on the job's length. */
  readonly slackMs: number;
  /** Longest time that a call may take, in milliseconds. */
  readonly timeoutMs: number;
  /**
   * Whether an adviser is to restrict which workers may run the steps of a job.
   * This is not supported; jobs of such a queue are refused.
   */
  readonly hasAdvice: boolean;
}

/** A complete route configuration as operators wrote it. */
export interface RouteConfig {
  readonly version: number;
  readonly routes: readonly QueueRoute[];
  /** Largest body of a call, in bytes. */
  readonly maxBodyBytes: number;
}

/** A change that operators have made in their table in the store. */
export type OperatorChange =
  | { readonly kind: 'config'; readonly config: RouteConfig }
  | {
      readonly kind: 'data-centre';
      readonly dataCentre: string;
      readonly isOutOfService: boolean;
    }
  /** A row that holds no configuration, or that can't be parsed. */
  | { readonly kind: 'other'; readonly key: string; readonly detail: string };

/**
 * Holds the routes in force and the data centres that are out of service, and
 * finds the route of a call. A configuration is only replaced by one of a
 * higher version.
 */
export class RouteTable {
  private _config: RouteConfig | undefined;
  /** Routes of each host, the longest path prefix first. */
  private _routesByHost: ReadonlyMap<string, readonly QueueRoute[]> = new Map();
  /** Services whose queues have different priorities. */
  private _servicesWithPriorities: ReadonlySet<string> = new Set();
  private readonly _dataCentresOutOfService = new Set<string>();

  /** Version in force, or `undefined` before the first configuration. */
  get version(): number | undefined {
    return this._config?.version;
  }

  /** Configuration in force, or `undefined` before the first. */
  get config(): RouteConfig | undefined {
    return this._config;
  }

  /**
   * @param change - A change read from the operators' table.
   * @returns Whether the routes or the data centres out of service changed.
   */
  apply(change: OperatorChange): boolean {
    switch (change.kind) {
      case 'config':
        if (this._config && change.config.version <= this._config.version) {
          return false;
        }
        this._config = change.config;
        this._routesByHost = groupByHost(change.config.routes);
        this._servicesWithPriorities = withPriorities(change.config.routes);
        return true;
      case 'data-centre':
        if (
          change.isOutOfService ===
          this._dataCentresOutOfService.has(change.dataCentre)
        ) {
          return false;
        }
        if (change.isOutOfService) {
          this._dataCentresOutOfService.add(change.dataCentre);
        } else {
          this._dataCentresOutOfService.delete(change.dataCentre);
        }
        return true;
      case 'other':
        return false;
    }
  }

  /** Data centres that are out of service. */
  get dataCentresOutOfService(): readonly string[] {
    return [...this._dataCentresOutOfService];
  }

  /** @returns Whether operators have taken the data centre out of service. */
  isOutOfService(dataCentre: string): boolean {
    return this._dataCentresOutOfService.has(dataCentre);
  }

  /** @returns Whether the queues of the service have different priorities. */
  hasPriorities(service: string): boolean {
    return this._servicesWithPriorities.has(service);
  }

  /**
   * @param host - Host of the call, without the port.
   * @param path - Path of the call.
   * @returns The route of this host with the longest matching path prefix.
   */
  match(host: string, path: string): QueueRoute | undefined {
    return this._routesByHost
      .get(host)
      ?.find((route) => path.startsWith(route.pathPrefix));
  }
}

const groupByHost = (
  routes: readonly QueueRoute[],
): ReadonlyMap<string, readonly QueueRoute[]> => {
  const byHost = groupBy(routes, (route) => route.host);
  for (const group of byHost.values()) {
    group.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  return byHost;
};

const withPriorities = (routes: readonly QueueRoute[]): ReadonlySet<string> => {
  const byService = groupBy(routes, (route) => route.service);
  return new Set(
    [...byService.keys()].filter((service) =>
      byService
        .get(service)
        ?.some((route, _, group) => route.priority !== group[0]?.priority),
    ),
  );
};
