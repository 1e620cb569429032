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
/** Work that waits for room reaches this many times as many workers. */
const MAX_ROOM_FACTOR = 2;
const GROWTH_FACTOR = 2;
/** How long work waits before more workers are linked: two ticks. */
const WIDEN_AFTER_MS = 100;
/** How long nothing has waited before links are given back. */
const NARROW_AFTER_MS = 3000;
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
  private _size: number;
  private _shortSinceMs: number | undefined;
  private _shortAtMs = 0;

  /** @param options - The entry and the usual size. */
  constructor(options: WorkerSubsetOptions) {
    this._options = { size: DEFAULT_SIZE, ...options };
    this._size = this._options.size;
  }

  /** Workers of each service to keep links to now. */
  get size(): number {
    return this._size;
  }

  /**
   * Adjusts the size to what waits.
   *
   * @param shortage - What the waiting jobs lack.
   * @param now - Current time in milliseconds.
   */
  note(shortage: Shortage, now: number): void {
    const { size } = this._options;
    if (shortage === Shortage.None) {
      this._shortSinceMs = undefined;
      if (now - this._shortAtMs >= NARROW_AFTER_MS) {
        this._size = size;
      }
      return;
    }
    this._shortAtMs = now;
    this._shortSinceMs ??= now;
    if (now - this._shortSinceMs < WIDEN_AFTER_MS) {
      return;
    }
    this._shortSinceMs = now;
    const isBounded = shortage === Shortage.Room;
    const limit = isBounded ? MAX_ROOM_FACTOR * size : Number.MAX_SAFE_INTEGER;
    const next = Math.min(this._size * GROWTH_FACTOR, limit);
    this._size = Math.max(this._size, next);
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
   * @returns Names of those to keep links to.
   */
  choose(ordered: readonly LinkCandidate[]): Set<string> {
    const chosen = new Set<string>();
    const taken = new Map<string, number>();
    for (const worker of ordered) {
      const count = taken.get(worker.service) ?? 0;
      if (count < this._size) {
        chosen.add(worker.name);
        taken.set(worker.service, count + (worker.counts ? 1 : 0));
      }
    }
    return chosen;
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
