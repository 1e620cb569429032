import type { PeerStatus } from './batch-events.js';
import type { EntryRow } from './fleet-rows.js';

/** Another entry, or an earlier incarnation of this entry. */
export interface Peer {
  readonly incarnation: string;
  row: EntryRow;
  /** Version of the member row. */
  version: number;
  /** Status in the last probe reply. */
  status: PeerStatus | undefined;
  /** Time since which the peer reports that it reaches the store. */
  storeReachableSinceMs: number | undefined;
  /** Time of the last probe reply. */
  lastContactMs: number;
  /** Time at which the last probe was sent that the peer has answered. */
  aliveAtMs: number;
  /** Time since which probes of the peer have timed out. */
  unresponsiveSinceMs: number | undefined;
  isProbing: boolean;
  lastProbeAtMs: number;
  /**
   * Time since which the peer's process is known to have been replaced or to
   * have left.
   */
  goneSinceMs: number | undefined;
}

/** Which peers are probed at the shortest interval. */
export enum ProbeScope {
  /** The next entries on the ring and the peers that do not respond. */
  Neighbours = 'neighbours',
  All = 'all',
}

/** Shortest interval between two probes of a peer. */
const PROBE_INTERVAL_MS = 500;
/** Number of responsive entries that each entry watches. */
const WATCHED_PEERS = 3;
/** Interval between two probes of peers that this entry does not watch. */
const SWEEP_INTERVAL_MS = 1000;
/** Time for which a peer is unresponsive before its jobs may be taken over. */
export const SUSPECT_AFTER_MS = 1500;
/** Time after the last contact with the store for which an entry lease lasts. */
export const ENTRY_LEASE_MS = 1500;

/** Grace period for an entry to reach the store again once a peer does. */
const STORE_RECOVERY_GRACE_MS = 1000;

/**
 * Returns the time since which a peer reaches the store. A peer that was not seen
 * without the store counts as having reached it for long, because peers that are
 * not watched are rarely asked.
 */
const storeReachableSince = (
  peer: Peer,
  status: PeerStatus,
  now: number,
): number | undefined => {
  if (!status.storeReachable) {
    return undefined;
  }
  const wasUnreachable = peer.status?.storeReachable === false;
  return (
    peer.storeReachableSinceMs ??
    (wasUnreachable ? now : Number.NEGATIVE_INFINITY)
  );
};

/**
 * Probes the other entries and detects which are unresponsive or gone.
 *
 * The entries form a ring in the order of their incarnations. Each one watches
 * the next ones on the ring, so the number of probes grows with the number of
 * entries and not with its square. All other peers are probed in turn at a rate
 * that does not depend on their number.
 */
export class PeerMonitor {
  private readonly _incarnation: string;
  private readonly _peers = new Map<string, Peer>();
  /** All peers in the order of the ring; unset when it has to be recomputed. */
  private _ring: readonly Peer[] | undefined;
  private _unsuspectedRows: readonly EntryRow[] = [];
  private _nextSweepAtMs = 0;

  /** @param incarnation - Incarnation of this entry. */
  constructor(incarnation: string) {
    this._incarnation = incarnation;
  }

  /**
   * All incarnations with a member row, except the current one of this entry, in
   * the order of the ring, from the one that follows this entry.
   */
  get peers(): readonly Peer[] {
    this._ring ??= [...this._peers.values()].sort((a, b) =>
      this._comesFirst(a.incarnation, b.incarnation) ? -1 : 1,
    );
    return this._ring;
  }

  /** @returns The peer with this incarnation. */
  get(incarnation: string): Peer | undefined {
    return this._peers.get(incarnation);
  }

  /**
   * Adds a peer or updates its member row.
   *
   * @param incarnation - Incarnation of the peer.
   * @param row - Its member row.
   * @param version - Version of the row.
   * @param now - Current time in milliseconds.
   * @returns The peer.
   */
  set(incarnation: string, row: EntryRow, version: number, now: number): Peer {
    const peer: Peer = this._peers.get(incarnation) ?? {
      incarnation,
      row,
      version,
      status: undefined,
      storeReachableSinceMs: undefined,
      lastContactMs: Number.NEGATIVE_INFINITY,
      aliveAtMs: now,
      unresponsiveSinceMs: undefined,
      isProbing: false,
      lastProbeAtMs: Number.NEGATIVE_INFINITY,
      goneSinceMs: undefined,
    };
    peer.row = row;
    peer.version = version;
    if (row.hasLeft === true) {
      peer.goneSinceMs ??= now;
    }
    if (!this._peers.has(incarnation)) {
      this._ring = undefined;
    }
    this._peers.set(incarnation, peer);
    return peer;
  }

  /** @param incarnation - A peer whose member row is gone. */
  delete(incarnation: string): void {
    this._ring = undefined;
    this._peers.delete(incarnation);
  }

  /**
   * Returns the peers whose probe is due, and marks them as being probed.
   *
   * @param scope - Which peers are probed at the shortest interval.
   * @param now - Current time in milliseconds.
   * @returns Peers to probe now.
   */
  due(scope: ProbeScope, now: number): Peer[] {
    const probed: Peer[] = [];
    /** Peer that is not watched and was probed the longest time ago. */
    let longestAgo: Peer | undefined;
    let responsive = 0;
    for (const peer of this.peers) {
      if (peer.goneSinceMs !== undefined) {
        continue;
      }
      // Watched are unresponsive peers and the next responsive ones on the ring.
      const isUnresponsive = peer.unresponsiveSinceMs !== undefined;
      const isWatched = isUnresponsive || responsive < WATCHED_PEERS;
      responsive += isUnresponsive ? 0 : 1;
      if (peer.isProbing) {
        continue;
      }
      if (isWatched || scope === ProbeScope.All) {
        if (now - peer.lastProbeAtMs >= PROBE_INTERVAL_MS) {
          probed.push(peer);
        }
      } else if (peer.lastProbeAtMs < (longestAgo?.lastProbeAtMs ?? Infinity)) {
        longestAgo = peer;
      }
    }
    if (now >= this._nextSweepAtMs) {
      this._nextSweepAtMs = now + SWEEP_INTERVAL_MS;
      probed.push(...(longestAgo ? [longestAgo] : []));
    }
    for (const peer of probed) {
      peer.isProbing = true;
      peer.lastProbeAtMs = now;
    }
    return probed;
  }

  /**
   * Number of entries that go before this one as the successor of a peer: those
   * between the two on the ring that are not suspected to have failed.
   *
   * @param incarnation - The peer.
   * @param now - Current time in milliseconds.
   * @returns The rank of this entry, from 0.
   */
  successorRank(incarnation: string, now: number): number {
    return this.peers.filter(
      (other) =>
        other.incarnation !== incarnation &&
        !this.isSuspect(other, now) &&
        this._comesFirst(other.incarnation, incarnation),
    ).length;
  }

  /**
   * @param maxAgeMs - Greatest age of a status.
   * @param now - Current time in milliseconds.
   * @returns Whether every peer that responds has replied within this time.
   */
  areStatusesFresh(maxAgeMs: number, now: number): boolean {
    return this.peers.every(
      (peer) =>
        peer.goneSinceMs !== undefined ||
        peer.unresponsiveSinceMs !== undefined ||
        now - peer.lastContactMs <= maxAgeMs,
    );
  }

  /** Whether one incarnation follows this entry on the ring before another. */
  private _comesFirst(incarnation: string, other: string): boolean {
    const isAfter = incarnation > this._incarnation;
    const isOtherAfter = other > this._incarnation;
    return isAfter === isOtherAfter ? incarnation < other : isAfter;
  }

  /**
   * Processes the outcome of a probe.
   *
   * @param incarnation - The peer that was probed.
   * @param status - Its reply; `undefined` when the probe timed out.
   * @param now - Current time in milliseconds.
   * @returns The change of the peer's state, if any: another process may answer in
   *   place of one that was responsive before.
   */
  onProbed(
    incarnation: string,
    status: PeerStatus | undefined,
    now: number,
  ): 'lost' | 'replaced' | 'regained' | undefined {
    const peer = this._peers.get(incarnation);
    if (!peer) {
      return undefined;
    }
    const wasUnresponsive = peer.unresponsiveSinceMs !== undefined;
    const wasGone = peer.goneSinceMs !== undefined;
    this._applyProbe(peer, status, now);
    const isUnresponsive = peer.unresponsiveSinceMs !== undefined;
    if (wasUnresponsive === isUnresponsive) {
      const isReplaced = !wasGone && peer.goneSinceMs !== undefined;
      return isReplaced && !isUnresponsive ? 'replaced' : undefined;
    }
    return isUnresponsive ? 'lost' : 'regained';
  }

  private _applyProbe(
    peer: Peer,
    status: PeerStatus | undefined,
    now: number,
  ): void {
    peer.isProbing = false;
    if (!status) {
      peer.unresponsiveSinceMs ??= now;
    } else if (status.incarnation === peer.incarnation) {
      peer.storeReachableSinceMs = storeReachableSince(peer, status, now);
      peer.status = status;
      peer.lastContactMs = now;
      peer.aliveAtMs = peer.lastProbeAtMs;
      peer.unresponsiveSinceMs = undefined;
    } else {
      // Another process answers at the peer's address.
      peer.goneSinceMs ??= now;
    }
  }

  /**
   * @param now - Current time in milliseconds.
   * @returns Member rows of the peers that are not suspected to have failed; the
   *   same array as before if none has changed.
   */
  unsuspectedRows(now: number): readonly EntryRow[] {
    const known = this._unsuspectedRows;
    let count = 0;
    let isUnchanged = true;
    for (const peer of this.peers) {
      if (!this.isSuspect(peer, now)) {
        isUnchanged &&= known[count] === peer.row;
        count += 1;
      }
    }
    if (!isUnchanged || count !== known.length) {
      this._unsuspectedRows = this.peers
        .filter((peer) => !this.isSuspect(peer, now))
        .map((peer) => peer.row);
    }
    return this._unsuspectedRows;
  }

  /**
   * @param peer - A peer.
   * @param now - Current time in milliseconds.
   * @returns Whether it is gone, has left, or has been unresponsive for longer
   *   than {@link SUSPECT_AFTER_MS}.
   */
  isSuspect(peer: Peer, now: number): boolean {
    return (
      peer.goneSinceMs !== undefined ||
      (peer.unresponsiveSinceMs !== undefined &&
        now - peer.unresponsiveSinceMs > SUSPECT_AFTER_MS)
    );
  }

  /** @returns All peers that are suspected to have failed. */
  suspects(now: number): Peer[] {
    return this.peers.filter((peer) => this.isSuspect(peer, now));
  }

  /**
   * Returns whether this entry may keep its lease without contact with the
   * store.
   *
   * No entry can be replaced while the store is unavailable, but an entry can't
   * tell an outage of the store from its own network partition. Therefore it
   * needs recent contact with a majority of the entries, and none of them may
   * have reported the store reachable for longer than a grace period.
   *
   * @param now - Current time in milliseconds.
   * @returns Whether a majority confirms that the store is unavailable.
   */
  confirmsStoreOutage(now: number): boolean {
    const live = this.peers.filter((peer) => peer.goneSinceMs === undefined);
    const reachable = live.filter(
      (peer) => now - peer.lastContactMs < ENTRY_LEASE_MS,
    );
    const isStoreReachable = reachable.some(
      ({ storeReachableSinceMs }) =>
        storeReachableSinceMs !== undefined &&
        now - storeReachableSinceMs > STORE_RECOVERY_GRACE_MS,
    );
    const members = live.length + 1;
    return !isStoreReachable && reachable.length + 1 > members / 2;
  }
}
