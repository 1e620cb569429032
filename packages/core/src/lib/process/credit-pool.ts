/** Change of one holder's credits, to be sent to it. */
export interface CreditChange {
  /** Credits granted. */
  grant: number;
  /** Unused credits that the holder is asked to return. */
  recall: number;
}

/** Options of {@link CreditPool}. */
export interface CreditPoolOptions {
  /** Units that may be in use at once. */
  readonly capacity: number;
  /** Credits granted beyond the capacity to holders with waiting tasks. */
  readonly prefetch?: number;
}

interface Holder {
  /** Credits granted and not used yet. */
  granted: number;
  /** Units that its tasks occupy. */
  used: number;
  /** Its tasks that wait for a unit. */
  demand: number;
  /** Credits in a recall that it has not answered yet. */
  recalled: number;
}

/**
 * Divides the units of one capacity pool of a runner among the entries, which
 * are the holders of its credits.
 *
 * An entry may start one task for each credit, so tasks wait at the entries and
 * are bound to a runner late. Each free unit goes to the holder with unmet
 * demand that has the fewest units and credits. The rest is spread evenly, so
 * that the first start after an idle period needs no round trip. Idle credits
 * are recalled when another holder has unmet demand.
 */
export class CreditPool {
  private readonly _prefetch: number;
  private readonly _holders = new Map<string, Holder>();
  private _capacity: number;
  private _open = true;

  /** @param options - Size of the pool. */
  constructor(options: CreditPoolOptions) {
    this._capacity = options.capacity;
    this._prefetch = options.prefetch ?? 0;
  }

  /** Units that may be in use at once. */
  get capacity(): number {
    return this._capacity;
  }

  set capacity(capacity: number) {
    this._capacity = capacity;
  }

  /** Whether credits may be granted and recalled. */
  set open(open: boolean) {
    this._open = open;
  }

  /** Units in use by all holders. */
  get used(): number {
    let used = 0;
    for (const holder of this._holders.values()) {
      used += holder.used;
    }
    return used;
  }

  /**
   * Resets the credits of a holder: those of an earlier link are void.
   *
   * @param id - A holder that has connected.
   */
  connect(id: string): void {
    this._getOrAddHolder(id).granted = 0;
    this._getOrAddHolder(id).demand = 0;
    this._getOrAddHolder(id).recalled = 0;
  }

  /**
   * Voids the credits of a holder. Its units in use stay counted.
   *
   * @param id - A holder that has disconnected.
   */
  disconnect(id: string): void {
    const holder = this._getOrAddHolder(id);
    holder.granted = 0;
    holder.demand = 0;
    holder.recalled = 0;
    this._removeIfUnused(id, holder);
  }

  /**
   * @param id - A connected holder.
   * @param demand - Number of its tasks that wait for a unit of this pool.
   */
  setDemand(id: string, demand: number): void {
    this._getOrAddHolder(id).demand = demand;
  }

  /**
   * Takes a unit for a start. Uses a credit of the holder if it has one, and
   * a free unit otherwise.
   *
   * @param id - The holder that sent the start.
   * @returns Whether a unit was taken.
   */
  take(id: string): boolean {
    const holder = this._getOrAddHolder(id);
    if (holder.granted > 0) {
      holder.granted -= 1;
    } else if (this._free() <= 0) {
      return false;
    }
    holder.used += 1;
    return true;
  }

  /** @param id - The holder whose task has ended. */
  release(id: string): void {
    const holder = this._holders.get(id);
    if (holder && holder.used > 0) {
      holder.used -= 1;
      this._removeIfUnused(id, holder);
    }
  }

  /**
   * Moves the units in use from one holder to another and voids the credits of
   * the former.
   *
   * @param from - The holder that was fenced.
   * @param to - The successor, which is now responsible for the running tasks.
   */
  move(from: string, to: string): void {
    const source = this._holders.get(from);
    if (source) {
      this._getOrAddHolder(to).used += source.used;
      this._holders.delete(from);
    }
  }

  /**
   * Completes a recall.
   *
   * @param id - The holder that answers the recall.
   * @param count - Unused credits that it returns, possibly none.
   */
  returnCredits(id: string, count: number): void {
    const holder = this._getOrAddHolder(id);
    holder.granted = Math.max(0, holder.granted - count);
    holder.recalled = 0;
  }

  /**
   * Grants free units and recalls idle credits.
   *
   * @param connected - The holders with an open link.
   * @returns The changes, by holder; holders without a change are absent.
   */
  allocate(connected: readonly string[]): Map<string, CreditChange> {
    const changes = new Map<string, CreditChange>();
    if (!this._open || connected.length === 0) {
      return changes;
    }
    this._grantDemand(connected, changes);
    this._distributeIdle(connected, changes);
    this._recallIdle(connected, changes);
    return changes;
  }

  private _grantDemand(
    connected: readonly string[],
    changes: Map<string, CreditChange>,
  ): void {
    let free = this._free() + this._prefetch;
    while (free > 0) {
      const id = this._findLeastServed(connected);
      if (id === undefined) {
        return;
      }
      this._grant(id, changes);
      free -= 1;
    }
  }

  private _findLeastServed(connected: readonly string[]): string | undefined {
    let best: string | undefined;
    let least = Infinity;
    for (const id of connected) {
      const holder = this._getOrAddHolder(id);
      const held = holder.granted + holder.used;
      if (holder.demand > holder.granted && held < least) {
        best = id;
        least = held;
      }
    }
    return best;
  }

  private _distributeIdle(
    connected: readonly string[],
    changes: Map<string, CreditChange>,
  ): void {
    for (let free = this._free(); free > 0; free--) {
      let best = connected[0];
      for (const id of connected) {
        if (
          best !== undefined &&
          this._getOrAddHolder(id).granted < this._getOrAddHolder(best).granted
        ) {
          best = id;
        }
      }
      if (best === undefined) {
        return;
      }
      this._grant(best, changes);
    }
  }

  private _recallIdle(
    connected: readonly string[],
    changes: Map<string, CreditChange>,
  ): void {
    let unmet = 0;
    for (const id of connected) {
      const holder = this._getOrAddHolder(id);
      unmet += Math.max(0, holder.demand - holder.granted) - holder.recalled;
    }
    for (const id of connected) {
      const holder = this._getOrAddHolder(id);
      const idle = holder.granted - holder.demand - holder.recalled;
      const count = Math.min(unmet, idle);
      if (count > 0 && holder.recalled === 0) {
        holder.recalled = count;
        getOrAddChange(changes, id).recall += count;
        unmet -= count;
      }
    }
  }

  private _grant(id: string, changes: Map<string, CreditChange>): void {
    this._getOrAddHolder(id).granted += 1;
    getOrAddChange(changes, id).grant += 1;
  }

  private _free(): number {
    let committed = 0;
    for (const holder of this._holders.values()) {
      committed += holder.granted + holder.used;
    }
    return this._capacity - committed;
  }

  private _getOrAddHolder(id: string): Holder {
    let holder = this._holders.get(id);
    if (!holder) {
      holder = { granted: 0, used: 0, demand: 0, recalled: 0 };
      this._holders.set(id, holder);
    }
    return holder;
  }

  private _removeIfUnused(id: string, holder: Holder): void {
    if (holder.used === 0 && holder.granted === 0 && holder.demand === 0) {
      this._holders.delete(id);
    }
  }
}

const getOrAddChange = (
  changes: Map<string, CreditChange>,
  id: string,
): CreditChange => {
  let change = changes.get(id);
  if (!change) {
    change = { grant: 0, recall: 0 };
    changes.set(id, change);
  }
  return change;
};
