/** What a pool wants to tell one holder. */
export interface CreditChange {
  /** Credits given. */
  grant: number;
  /** Unused credits asked back. */
  recall: number;
}

/** Options of {@link CreditPool}. */
export interface CreditPoolOptions {
  /** Units that may be in use at once. */
  readonly capacity: number;
  /** Starts above the capacity accepted from holders with waiting work. */
  readonly prefetch?: number;
}

interface Holder {
  granted: number;
  used: number;
  demand: number;
  recalled: number;
}

/**
 * Shares the units of one capacity pool among the entries that use a runner.
 *
 * An entry may start one task for each credit that it holds, so tasks wait at
 * the entries and bind late. Free units go to whoever has work waiting and
 * holds least; with no work waiting they are spread evenly, so that the first
 * start after an idle time needs no round trip. Idle credits are asked back
 * when another entry needs them.
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

  /** Whether credits are given at all. */
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

  /** @param id - A holder that connected; credits of an earlier link are void. */
  connect(id: string): void {
    this._holder(id).granted = 0;
    this._holder(id).demand = 0;
    this._holder(id).recalled = 0;
  }

  /** @param id - A holder that is gone; what it has in use stays counted. */
  disconnect(id: string): void {
    const holder = this._holder(id);
    holder.granted = 0;
    holder.demand = 0;
    holder.recalled = 0;
    this._forgetIfUnused(id, holder);
  }

  /**
   * @param id - A connected holder.
   * @param demand - Tasks that wait there for a unit of this pool.
   */
  setDemand(id: string, demand: number): void {
    this._holder(id).demand = demand;
  }

  /**
   * Takes a unit for a start, against a credit where there is one.
   *
   * @param id - The holder that sent the start.
   * @returns Whether there is room.
   */
  take(id: string): boolean {
    const holder = this._holder(id);
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
      this._forgetIfUnused(id, holder);
    }
  }

  /**
   * @param from - The holder that was fenced.
   * @param to - The holder that now answers for its running tasks.
   */
  move(from: string, to: string): void {
    const source = this._holders.get(from);
    if (source) {
      this._holder(to).used += source.used;
      this._holders.delete(from);
    }
  }

  /**
   * @param id - A holder that answers a recall.
   * @param count - Unused credits given back, possibly none.
   */
  giveBack(id: string, count: number): void {
    const holder = this._holder(id);
    holder.granted = Math.max(0, holder.granted - count);
    holder.recalled = 0;
  }

  /**
   * Distributes free units.
   *
   * @param connected - The holders that can be told.
   * @returns What to tell each holder that has something to be told.
   */
  allocate(connected: readonly string[]): Map<string, CreditChange> {
    const changes = new Map<string, CreditChange>();
    if (!this._open || connected.length === 0) {
      return changes;
    }
    this._grantDemand(connected, changes);
    this._spreadIdle(connected, changes);
    this._recallIdle(connected, changes);
    return changes;
  }

  private _grantDemand(
    connected: readonly string[],
    changes: Map<string, CreditChange>,
  ): void {
    let free = this._free() + this._prefetch;
    while (free > 0) {
      const id = this._neediest(connected);
      if (id === undefined) {
        return;
      }
      this._grant(id, changes);
      free -= 1;
    }
  }

  private _neediest(connected: readonly string[]): string | undefined {
    let best: string | undefined;
    let least = Infinity;
    for (const id of connected) {
      const holder = this._holder(id);
      const held = holder.granted + holder.used;
      if (holder.demand > holder.granted && held < least) {
        best = id;
        least = held;
      }
    }
    return best;
  }

  private _spreadIdle(
    connected: readonly string[],
    changes: Map<string, CreditChange>,
  ): void {
    for (let free = this._free(); free > 0; free--) {
      let best = connected[0];
      for (const id of connected) {
        if (
          best !== undefined &&
          this._holder(id).granted < this._holder(best).granted
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
      const holder = this._holder(id);
      unmet += Math.max(0, holder.demand - holder.granted) - holder.recalled;
    }
    for (const id of connected) {
      const holder = this._holder(id);
      const idle = holder.granted - holder.demand - holder.recalled;
      const count = Math.min(unmet, idle);
      if (count > 0 && holder.recalled === 0) {
        holder.recalled = count;
        changeOf(changes, id).recall += count;
        unmet -= count;
      }
    }
  }

  private _grant(id: string, changes: Map<string, CreditChange>): void {
    this._holder(id).granted += 1;
    changeOf(changes, id).grant += 1;
  }

  private _free(): number {
    let committed = 0;
    for (const holder of this._holders.values()) {
      committed += holder.granted + holder.used;
    }
    return this._capacity - committed;
  }

  private _holder(id: string): Holder {
    let holder = this._holders.get(id);
    if (!holder) {
      holder = { granted: 0, used: 0, demand: 0, recalled: 0 };
      this._holders.set(id, holder);
    }
    return holder;
  }

  private _forgetIfUnused(id: string, holder: Holder): void {
    if (holder.used === 0 && holder.granted === 0 && holder.demand === 0) {
      this._holders.delete(id);
    }
  }
}

const changeOf = (
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
