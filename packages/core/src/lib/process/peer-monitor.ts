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
  /**
   * Time since which probes of the peer have timed out, or at which its row was
   * first read, if it has not replied since; unset while it replies.
   */
  unresponsiveSinceMs: number | undefined;
  isProbing: boolean;
  nextProbeAtMs: number;
  /** Whether another process is known to have replaced the peer's process. */
  isGone: boolean;
}

/** Interval between two probes of a peer. */
const PROBE_INTERVAL_MS = 500;
/** Time for which a peer is unresponsive before its jobs may be taken over. */
export const SUSPECT_AFTER_MS = 1500;
/** Time after the last contact with the store for which an entry lease lasts. */
export const ENTRY_LEASE_MS = 1500;

/** Grace period for an entry to reach the store again once a peer does. */
const STORE_RECOVERY_GRACE_MS = 1000;

/** Probes the other entries and detects which are unresponsive or gone. */
export class PeerMonitor {
  private readonly _peers = new Map<string, Peer>();

  /** All incarnations with a member row, except the current one of this entry. */
  get peers(): readonly Peer[] {
    return [...this._peers.values()];
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
    const known = this._peers.get(incarnation);
    if (known) {
      known.row = row;
      known.version = version;
      return known;
    }
    const peer: Peer = {
      incarnation,
      row,
      version,
      status: undefined,
      storeReachableSinceMs: undefined,
      lastContactMs: Number.NEGATIVE_INFINITY,
      unresponsiveSinceMs: now,
      isProbing: false,
      nextProbeAtMs: now,
      isGone: false,
    };
    this._peers.set(incarnation, peer);
    return peer;
  }

  /** @param incarnation - A peer whose member row is gone. */
  delete(incarnation: string): void {
    this._peers.delete(incarnation);
  }

  /**
   * Returns the peers whose probe is due, and marks them as being probed.
   *
   * @param now - Current time in milliseconds.
   * @returns Peers to probe now.
   */
  due(now: number): Peer[] {
    const due = this.peers.filter(
      (peer) => !peer.isProbing && !peer.isGone && now >= peer.nextProbeAtMs,
    );
    for (const peer of due) {
      peer.isProbing = true;
      peer.nextProbeAtMs = now + PROBE_INTERVAL_MS;
    }
    return due;
  }

  /**
   * Processes the outcome of a probe.
   *
   * @param incarnation - The peer that was probed.
   * @param status - Its reply; `undefined` when the probe timed out.
   * @param now - Current time in milliseconds.
   * @returns The change of the peer's state, if any.
   */
  onProbed(
    incarnation: string,
    status: PeerStatus | undefined,
    now: number,
  ): 'lost' | 'regained' | undefined {
    const peer = this._peers.get(incarnation);
    if (!peer) {
      return undefined;
    }
    const wasUnresponsive = peer.unresponsiveSinceMs !== undefined;
    this._applyProbe(peer, status, now);
    const isUnresponsive = peer.unresponsiveSinceMs !== undefined;
    if (wasUnresponsive === isUnresponsive) {
      return undefined;
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
      peer.status = status;
      peer.storeReachableSinceMs = status.storeReachable
        ? (peer.storeReachableSinceMs ?? now)
        : undefined;
      peer.lastContactMs = now;
      peer.unresponsiveSinceMs = undefined;
    } else {
      // Another process answers at the peer's address.
      peer.isGone = true;
    }
  }

  /** @returns Number of peers that are not suspected to have failed. */
  unsuspectedCount(now: number): number {
    return this._peers.size - this.suspects(now).length;
  }

  /**
   * @param now - Current time in milliseconds.
   * @returns Peers that are gone, have left, or have been unresponsive for
   *   longer than {@link SUSPECT_AFTER_MS}.
   */
  suspects(now: number): Peer[] {
    return this.peers.filter(
      (peer) =>
        peer.isGone ||
        peer.row.hasLeft === true ||
        (peer.unresponsiveSinceMs !== undefined &&
          now - peer.unresponsiveSinceMs > SUSPECT_AFTER_MS),
    );
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
    const live = this.peers.filter(
      (peer) => !peer.isGone && peer.row.hasLeft !== true,
    );
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
