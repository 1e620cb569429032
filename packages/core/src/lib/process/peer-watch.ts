import type { PeerStatus } from './batch-events.js';
import type { EntryRow } from './fleet-rows.js';

/** Another entry, or an earlier incarnation of this one. */
export interface Peer {
  readonly incarnation: string;
  row: EntryRow;
  /** Version of its row. */
  version: number;
  status: PeerStatus | undefined;
  /** Time since which it reports that it hears the store. */
  storeSinceMs: number | undefined;
  /** Time of its last answer. */
  heardAtMs: number;
  /** Time since which it has not answered. */
  silentSinceMs: number | undefined;
  isProbing: boolean;
  nextProbeAtMs: number;
  /** Proved to be gone: its process was replaced or has left. */
  isGone: boolean;
}

/** Pause between two probes of a peer. */
const PROBE_PERIOD_MS = 500;
/** Silence after which a peer's jobs are taken over. */
export const SUSPECT_AFTER_MS = 1500;
/** Age of the last word of the store up to which an entry has its say. */
export const TENURE_MS = 1500;

/** Time that an entry gets to hear the store again once a peer does. */
const STORE_RETURN_MS = 1000;

/** The other entries: who answers, and who has gone silent. */
export class PeerWatch {
  private readonly _peers = new Map<string, Peer>();

  /** All entries with a row, but for this one. */
  get peers(): readonly Peer[] {
    return [...this._peers.values()];
  }

  /** @returns The peer of this incarnation. */
  get(incarnation: string): Peer | undefined {
    return this._peers.get(incarnation);
  }

  /**
   * @param incarnation - Names the peer.
   * @param row - Its row.
   * @param version - Version of the row.
   * @param now - Current time in milliseconds.
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
      storeSinceMs: undefined,
      heardAtMs: Number.NEGATIVE_INFINITY,
      silentSinceMs: now,
      isProbing: false,
      nextProbeAtMs: now,
      isGone: false,
    };
    this._peers.set(incarnation, peer);
    return peer;
  }

  /** @param incarnation - A peer whose row is gone. */
  delete(incarnation: string): void {
    this._peers.delete(incarnation);
  }

  /**
   * @param now - Current time in milliseconds.
   * @returns Peers to ask now.
   */
  due(now: number): Peer[] {
    const due = this.peers.filter(
      (peer) => !peer.isProbing && !peer.isGone && now >= peer.nextProbeAtMs,
    );
    for (const peer of due) {
      peer.isProbing = true;
      peer.nextProbeAtMs = now + PROBE_PERIOD_MS;
    }
    return due;
  }

  /**
   * @param incarnation - The peer that was asked.
   * @param status - Its answer, if any.
   * @param now - Current time in milliseconds.
   * @returns Whether it was lost or regained by this, if anything changed.
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
    const wasSilent = peer.silentSinceMs !== undefined;
    this._note(peer, status, now);
    const isSilent = peer.silentSinceMs !== undefined;
    if (wasSilent === isSilent) {
      return undefined;
    }
    return isSilent ? 'lost' : 'regained';
  }

  private _note(peer: Peer, status: PeerStatus | undefined, now: number): void {
    peer.isProbing = false;
    if (!status) {
      peer.silentSinceMs ??= now;
    } else if (status.incarnation === peer.incarnation) {
      peer.status = status;
      peer.storeSinceMs = status.storeReachable
        ? (peer.storeSinceMs ?? now)
        : undefined;
      peer.heardAtMs = now;
      peer.silentSinceMs = undefined;
    } else {
      // Another process answers at its address.
      peer.isGone = true;
    }
  }

  /** @returns How many peers are not known to be gone or silent. */
  unsuspected(now: number): number {
    return this._peers.size - this.suspects(now).length;
  }

  /**
   * @param now - Current time in milliseconds.
   * @returns Peers that are gone or have been silent for long enough.
   */
  suspects(now: number): Peer[] {
    return this.peers.filter(
      (peer) =>
        peer.isGone ||
        peer.row.hasLeft === true ||
        (peer.silentSinceMs !== undefined &&
          now - peer.silentSinceMs > SUSPECT_AFTER_MS),
    );
  }

  /**
   * Tells whether work may go on without a word of the store.
   *
   * Without the store nobody can be replaced, but an entry that is cut off
   * can't tell an outage from its own isolation. It goes on while it hears
   * most of the entries and none of them has heard the store either.
   *
   * @param now - Current time in milliseconds.
   */
  agreesOnOutage(now: number): boolean {
    const live = this.peers.filter(
      (peer) => !peer.isGone && peer.row.hasLeft !== true,
    );
    const heard = live.filter((peer) => now - peer.heardAtMs < TENURE_MS);
    const hasStore = heard.some(
      ({ storeSinceMs }) =>
        storeSinceMs !== undefined && now - storeSinceMs > STORE_RETURN_MS,
    );
    const members = live.length + 1;
    return !hasStore && heard.length + 1 > members / 2;
  }
}
