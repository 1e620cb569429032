/** The state of one subject of the configuration, by kind. */
export type Setting =
  | { readonly kind: 'data-centre'; readonly inService: boolean }
  | {
      readonly kind: 'endpoint';
      readonly inService: boolean;
      /** Data centres that may serve the endpoint. */
      readonly dataCentres: readonly string[];
    }
  | {
      readonly kind: 'desk';
      /** Sustained rate of admitted tasks per second, over all entries. */
      readonly ratePerSecond: number;
      /** Tasks that may be admitted at once above the sustained rate. */
      readonly burst: number;
    }
  /** Resources of a kind of worker; a task that fits none is refused. */
  | {
      readonly kind: 'worker-shape';
      readonly cores: number;
      readonly memoryMb: number;
      readonly accelerators: number;
    };

/** Replaces the setting of one subject, or removes it with `null`. */
export interface Change {
  /** Kind and name of the subject, for example `data-centre/recife`. */
  readonly subject: string;
  readonly setting: Setting | null;
}

/** A numbered set of changes to the configuration. */
export interface Ticket {
  readonly number: number;
  readonly author: string;
  readonly reason: string;
  /** When the ticket was created, in milliseconds since the Unix epoch. */
  readonly atMs: number;
  readonly changes: readonly Change[];
}
