/** A queue that desks submit to. */
export interface QueueRoute {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly service: string;
  readonly priority: number;
  readonly attempts: number;
  readonly stretch: number;
  /** Added to the stretched run time of a job to get its objective. */
  readonly slackMs: number;
  /** Longest time that a call may take. */
  readonly timeoutMs: number;
  /** Whether an adviser decides which workers may run its steps. */
  readonly hasAdvice: boolean;
}

/** A whole configuration, as operators wrote it. */
export interface RouteConfig {
  readonly version: number;
  readonly routes: readonly QueueRoute[];
  /** Largest body of a call in bytes. */
  readonly maxBodyBytes: number;
}

/** A change that operators made. */
export type OperatorChange =
  | { readonly kind: 'config'; readonly config: RouteConfig }
  | {
      readonly kind: 'data-centre';
      readonly dataCentre: string;
      readonly isOut: boolean;
    }
  /** A row that is not about configuration, or that can't be read. */
  | { readonly kind: 'other'; readonly key: string; readonly detail: string };

/** Routes and data centres in force; only ever moves to higher versions. */
export class RouteTable {
  private _config: RouteConfig | undefined;
  private readonly _out = new Set<string>();

  /** Version in force, or `undefined` before the first. */
  get version(): number | undefined {
    return this._config?.version;
  }

  /** Configuration in force. */
  get config(): RouteConfig | undefined {
    return this._config;
  }

  /**
   * @param change - A change as read from the operators' table.
   * @returns Whether anything has changed.
   */
  apply(change: OperatorChange): boolean {
    switch (change.kind) {
      case 'config':
        if (this._config && change.config.version <= this._config.version) {
          return false;
        }
        this._config = change.config;
        return true;
      case 'data-centre':
        if (change.isOut === this._out.has(change.dataCentre)) {
          return false;
        }
        if (change.isOut) {
          this._out.add(change.dataCentre);
        } else {
          this._out.delete(change.dataCentre);
        }
        return true;
      case 'other':
        return false;
    }
  }

  /** Data centres that are out of service. */
  get out(): readonly string[] {
    return [...this._out];
  }

  /** @returns Whether operators have taken the data centre out. */
  isOut(dataCentre: string): boolean {
    return this._out.has(dataCentre);
  }

  /**
   * @param host - Host of the call, without a port.
   * @param path - Path of the call.
   * @returns The route with the longest matching prefix.
   */
  match(host: string, path: string): QueueRoute | undefined {
    let best: QueueRoute | undefined;
    for (const route of this._config?.routes ?? []) {
      const isMatch = route.host === host && path.startsWith(route.pathPrefix);
      if (
        isMatch &&
        route.pathPrefix.length > (best?.pathPrefix.length ?? -1)
      ) {
        best = route;
      }
    }
    return best;
  }
}
