import { groupBy } from '../group-by.js';
import { HashRanks } from '../hash-ranks.js';

/** Why jobs of an entry are waiting. */
export enum Shortage {
  /** No job is waiting. */
  None = 'none',
  /** Tasks wait for capacity at linked workers that could run them. */
  Capacity = 'capacity',
  /** Tasks wait that no linked worker could run, even with free capacity. */
  Workers = 'workers',
}

/** A worker that an entry may keep a link to. */
export interface LinkCandidate {
  readonly name: string;
  readonly dataCentre: string;
  /** Service that it serves; empty while unknown. */
  readonly service: string;
  /** Whether it counts towards the subset: it answers and accepts starts. */
  readonly countsTowardsSubset: boolean;
}

/** An entry that shares the fleet. */
export interface FleetEntry {
  readonly name: string;
  readonly dataCentre: string;
}

/** Options of {@link WorkerSubset}. */
export interface WorkerSubsetOptions {
  /** Name of the entry. */
  readonly entry: string;
  readonly dataCentre: string;
  /** Minimum number of workers of each service that an entry keeps links to. */
  readonly size?: number;
}

/**
 * Sixteen workers with ten runs each hold four times the runs that one entry
 * starts at the load of the largest site file, and also the tasks of the widest
 * step of any job.
 */
const DEFAULT_SIZE = 16;
/** Average number of entries that keep a link to a worker in larger fleets. */
const LINKS_PER_WORKER = 3;
const GROWTH_FACTOR = 2;
/**
 * Factor on the usual number of links up to which entries without capacity grow
 * their subsets. In a lasting overload every entry is short of capacity, and
 * more links would cost the processor time that the jobs need.
 */
const MAX_CAPACITY_GROWTH = 2;
/** How long tasks wait before more workers are linked: two ticks. */
const GROW_AFTER_MS = 100;
/** Time without waiting tasks after which the additional links are released. */
const RESET_AFTER_MS = 3000;
/**
 * Limit of the growth for tasks that no linked worker could run. At this factor,
 * an entry links all workers of the largest planned fleet.
 */
const MAX_GROWTH = 1024;

/**
 * Selects the workers that an entry keeps links to.
 *
 * Load pattern: fleets with far more workers than the jobs of one entry occupy,
 * where the messages on idle links would cost more than the jobs; bursts on one
 * entry or in one data centre that exceed its share; an overload of the whole
 * fleet, in which every entry is short; jobs that only few workers can run.
 *
 * Each entry ranks the workers of a service by a hash of both names (rendezvous
 * hashing), its own data centre first. The links of all entries thus spread
 * over the fleet, and few of them change when workers join or leave. Links that
 * are added for a lack of capacity go to other data centres, because the other
 * entries of the same one are likely to lack capacity as well.
 */
export class WorkerSubset {
  private readonly _options: Required<WorkerSubsetOptions>;
  private readonly _ranks: HashRanks;
  /** Factor by which the subset is enlarged while tasks wait. */
  private _growth = 1;
  private _shortageSinceMs: number | undefined;
  private _lastShortageAtMs = 0;

  /** @param options - The entry and the minimum size of its subset. */
  constructor(options: WorkerSubsetOptions) {
    this._options = { size: DEFAULT_SIZE, ...options };
    this._ranks = new HashRanks(`${options.entry} `);
  }

  /** Factor by which the subset is enlarged at present. */
  get growth(): number {
    return this._growth;
  }

  /**
   * Enlarges the subset while tasks wait, and resets it some time afterwards.
   *
   * @param shortage - Why jobs are waiting.
   * @param now - Current time in milliseconds.
   */
  adjustTo(shortage: Shortage, now: number): void {
    if (shortage === Shortage.None) {
      this._shortageSinceMs = undefined;
      if (now - this._lastShortageAtMs >= RESET_AFTER_MS) {
        this._growth = 1;
      }
      return;
    }
    this._lastShortageAtMs = now;
    this._shortageSinceMs ??= now;
    if (now - this._shortageSinceMs >= GROW_AFTER_MS) {
      this._shortageSinceMs = now;
      const limit =
        shortage === Shortage.Workers ? MAX_GROWTH : MAX_CAPACITY_GROWTH;
      const grown = Math.min(limit, this._growth * GROWTH_FACTOR);
      this._growth = Math.max(this._growth, grown);
    }
  }

  /**
   * @param workers - All workers that have a row.
   * @returns The same workers, those that this entry prefers first.
   */
  order<C extends LinkCandidate>(workers: readonly C[]): C[] {
    const distance = ({ dataCentre }: C): number =>
      dataCentre === this._options.dataCentre ? 0 : 1;
    return [...workers].sort(
      (a, b) =>
        distance(a) - distance(b) ||
        this._ranks.of(a.name) - this._ranks.of(b.name),
    );
  }

  /**
   * @param ordered - Workers in the order of {@link WorkerSubset.order}.
   * @param entries - Number of entries that share the fleet.
   * @returns Names of the workers to keep links to.
   */
  choose(ordered: readonly LinkCandidate[], entries: number): Set<string> {
    const sizes = this._sizes(ordered, entries);
    const chosen = new Set<string>();
    const countByService = new Map<string, number>();
    const add = (workers: readonly LinkCandidate[], growth: number): void => {
      for (const worker of workers) {
        const count = countByService.get(worker.service) ?? 0;
        const size = growth * (sizes.get(worker.service) ?? 0);
        if (count < size && !chosen.has(worker.name)) {
          chosen.add(worker.name);
          countByService.set(
            worker.service,
            count + (worker.countsTowardsSubset ? 1 : 0),
          );
        }
      }
    };
    add(ordered, 1);
    if (this._growth > 1) {
      const { dataCentre } = this._options;
      const remote = ordered.filter((w) => w.dataCentre !== dataCentre);
      add(remote, this._growth);
      add(ordered, this._growth);
    }
    return chosen;
  }

  /**
   * Divides the workers among the entries, so that entries which choose at the
   * same time do not choose the same ones. Each worker is preferred by one entry,
   * which is in its data centre if there is one.
   *
   * @param workers - All workers that have a row.
   * @param others - The other entries that share the fleet.
   * @returns Names of the workers that this entry prefers.
   */
  preferred(
    workers: readonly LinkCandidate[],
    others: readonly FleetEntry[],
  ): Set<string> {
    const { entry, dataCentre } = this._options;
    const entries = [...others, { name: entry, dataCentre }].sort(byName);
    const localEntries = groupBy(entries, (other) => other.dataCentre);
    const counts = new Map<string, number>();
    const preferred = new Set<string>();
    for (const worker of [...workers].sort(byName)) {
      const sharing = localEntries.get(worker.dataCentre) ?? entries;
      const key = `${worker.service} ${worker.dataCentre}`;
      const index = counts.get(key) ?? 0;
      counts.set(key, index + 1);
      if (sharing[index % sharing.length]?.name === entry) {
        preferred.add(worker.name);
      }
    }
    return preferred;
  }

  /** Usual number of workers to keep links to, by service. */
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
      return Math.max(this._options.size, share);
    };
    return new Map(
      [...totals].map(([service, total]) => [service, sizeOf(total)]),
    );
  }
}

const byName = (a: { name: string }, b: { name: string }): number =>
  a.name < b.name ? -1 : 1;
