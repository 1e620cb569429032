import { createHash } from 'node:crypto';

/** What the waiting jobs of an entry lack. */
export enum Shortage {
  /** Nothing waits. */
  None = 'none',
  /** Work waits for room at workers that could run it. */
  Room = 'room',
  /** Work waits that no linked worker could run at any time. */
  Workers = 'workers',
}

/** A worker as the choice of links sees it. */
export interface LinkCandidate {
  readonly name: string;
  readonly dataCentre: string;
  /** Service that it works for; empty while unknown. */
  readonly service: string;
  /** Whether it takes up one of the places: it answers and takes starts. */
  readonly counts: boolean;
}

/** Options of {@link WorkerSubset}. */
export interface WorkerSubsetOptions {
  /** Name of the entry. */
  readonly entry: string;
  readonly dataCentre: string;
  /** Workers of each service that an entry keeps links to. */
  readonly size?: number;
}

/**
 * Sixteen workers of ten runs each hold four times what one entry starts at
 * the load of the largest site file, and every job's widest step.
 */
const DEFAULT_SIZE = 16;
/** Entries that keep a link to each worker, on average, in larger fleets. */
const LINKS_PER_WORKER = 3;
const GROWTH_FACTOR = 2;
/** How long work waits before more workers are linked: two ticks. */
const WIDEN_AFTER_MS = 100;
/** How long nothing has waited before links are given back. */
const NARROW_AFTER_MS = 3000;
/** Past this every fleet of the capacity plan is linked whole. */
const MAX_GROWTH = 1024;
const HASH_BYTES = 6;

/**
 * The workers that an entry keeps links to.
 *
 * Load pattern: fleets of far more workers than the jobs of one entry fill,
 * where the words of idle links would cost more than the work; bursts on one
 * entry that outgrow its share; jobs that only few workers can run.
 *
 * Each entry ranks the workers of a service by a hash of both names, its own
 * data centre first, so that the links of all entries spread over the fleet
 * and stay where they are when workers come and go.
 */
export class WorkerSubset {
  private readonly _options: Required<WorkerSubsetOptions>;
  private readonly _ranks = new Map<string, number>();
  /** Times the usual size, while work waits. */
  private _growth = 1;
  private _shortSinceMs: number | undefined;
  private _shortAtMs = 0;

  /** @param options - The entry and the usual size. */
  constructor(options: WorkerSubsetOptions) {
    this._options = { size: DEFAULT_SIZE, ...options };
  }

  /**
   * Adjusts the number of links to what waits.
   *
   * @param shortage - What the waiting jobs lack.
   * @param now - Current time in milliseconds.
   */
  note(shortage: Shortage, now: number): void {
    if (shortage === Shortage.None) {
      this._shortSinceMs = undefined;
      if (now - this._shortAtMs >= NARROW_AFTER_MS) {
        this._growth = 1;
      }
      return;
    }
    this._shortAtMs = now;
    this._shortSinceMs ??= now;
    if (now - this._shortSinceMs >= WIDEN_AFTER_MS) {
      this._shortSinceMs = now;
      this._growth = Math.min(MAX_GROWTH, this._growth * GROWTH_FACTOR);
    }
  }

  /**
   * @param workers - All workers that have a row.
   * @returns The same, those that this entry prefers first.
   */
  order<C extends LinkCandidate>(workers: readonly C[]): C[] {
    const isFar = ({ dataCentre }: C): number =>
      dataCentre === this._options.dataCentre ? 0 : 1;
    return [...workers].sort(
      (a, b) => isFar(a) - isFar(b) || this._rank(a.name) - this._rank(b.name),
    );
  }

  /**
   * @param ordered - Workers in the order of {@link WorkerSubset.order}.
   * @param entries - Entries that share the fleet.
   * @returns Names of those to keep links to.
   */
  choose(ordered: readonly LinkCandidate[], entries: number): Set<string> {
    const sizes = this._sizes(ordered, entries);
    const chosen = new Set<string>();
    const taken = new Map<string, number>();
    for (const worker of ordered) {
      const count = taken.get(worker.service) ?? 0;
      if (count < (sizes.get(worker.service) ?? 0)) {
        chosen.add(worker.name);
        taken.set(worker.service, count + (worker.counts ? 1 : 0));
      }
    }
    return chosen;
  }

  /** Workers of each service to keep links to now. */
  private _sizes(
    workers: readonly LinkCandidate[],
    entries: number,
  ): Map<string, number> {
    const totals = new Map<string, number>();
    for (const { service } of workers) {
      totals.set(service, (totals.get(service) ?? 0) + 1);
    }
    const sizeOf = (total: number): number => {
      const share = Math.ceil((LINKS_PER_WORKER * total) / entries);
      return this._growth * Math.max(this._options.size, share);
    };
    return new Map(
      [...totals].map(([service, total]) => [service, sizeOf(total)]),
    );
  }

  private _rank(worker: string): number {
    let rank = this._ranks.get(worker);
    if (rank === undefined) {
      rank = createHash('sha256')
        .update(`${this._options.entry} ${worker}`)
        .digest()
        .readUIntBE(0, HASH_BYTES);
      this._ranks.set(worker, rank);
    }
    return rank;
  }
}
