import type { LogFields } from './batch-events.js';
import type { JobRecorder } from './job-recorder.js';
import type { PartStores } from './part-stores.js';
import { TENURE_MS } from './peer-watch.js';
import type { Peer, PeerWatch } from './peer-watch.js';
import { Succession } from './succession.js';
import type { AdoptedJob } from './succession.js';
import type { WorkerFleet } from './worker-fleet.js';

/** Options of {@link EntryTakeovers}. */
export interface EntryTakeoversOptions {
  /** Name and incarnation of this entry. */
  readonly name: string;
  readonly incarnation: string;
  readonly stores: PartStores;
  readonly recorder: JobRecorder;
  readonly peers: PeerWatch;
  readonly fleet: WorkerFleet;
  readonly onAdopted: (victim: string, job: AdoptedJob, now: number) => void;
  /** Every worker has told what it has of the victim, or has lost it. */
  readonly onSettled: (victim: string, now: number) => void;
  readonly log: (message: string, fields: LogFields) => void;
}

interface Heir {
  readonly succession: Succession;
  readonly victim: string;
  readonly startedAtMs: number;
  isLoaded: boolean;
  isSettled: boolean;
}

/** Delay of each further entry before it takes over a silent one. */
const RANK_DELAY_MS = 400;
/** How long fenced incarnations are named to workers that connect. */
const FENCE_MEMORY_MS = 60_000;

/** The takeovers of an entry: when one begins, and when it is settled. */
export class EntryTakeovers {
  private readonly _options: EntryTakeoversOptions;
  private readonly _heirs = new Map<string, Heir>();
  private readonly _fenced = new Map<string, number>();

  /** @param options - Peers, workers and receivers. */
  constructor(options: EntryTakeoversOptions) {
    this._options = options;
  }

  /** Whether workers are still to tell what they have of a victim. */
  get areOpen(): boolean {
    return [...this._heirs.values()].some(
      (heir) => heir.isLoaded && !heir.isSettled,
    );
  }

  /** Incarnations that workers must refuse. */
  get fenced(): readonly string[] {
    return [...this._fenced.keys()];
  }

  /**
   * Begins and goes on with takeovers.
   *
   * @param now - Current time in milliseconds.
   */
  pump(now: number): void {
    for (const peer of this._options.peers.suspects(now)) {
      if (!this._heirs.has(peer.incarnation) && this._isHeir(peer, now)) {
        this._begin(peer, now);
      }
    }
    for (const heir of this._heirs.values()) {
      heir.succession.pump(now);
      this._settle(heir, now);
    }
    for (const [incarnation, atMs] of this._fenced) {
      if (now - atMs > FENCE_MEMORY_MS) {
        this._fenced.delete(incarnation);
      }
    }
  }

  private _isHeir(peer: Peer, now: number): boolean {
    const { peers, name, incarnation } = this._options;
    const { fencedBy } = peer.row;
    if (peer.row.name === name) {
      return true;
    }
    const suspects = peers.suspects(now);
    if (fencedBy !== undefined && fencedBy !== incarnation) {
      const other = peers.get(fencedBy);
      if (other && !suspects.includes(other)) {
        return false;
      }
    }
    const rank = peers.peers.filter(
      (other) => !suspects.includes(other) && other.incarnation < incarnation,
    ).length;
    const silentMs = now - (peer.silentSinceMs ?? now);
    return rank === 0 || silentMs > TENURE_MS + rank * RANK_DELAY_MS;
  }

  private _begin(peer: Peer, now: number): void {
    const { incarnation, row, version } = peer;
    const { stores, recorder, onAdopted, log } = this._options;
    const succession = new Succession({
      stores,
      recorder,
      incarnation: this._options.incarnation,
      victim: {
        incarnation,
        row,
        version,
        isGone: peer.isGone || row.hasLeft === true,
      },
      onAdopted: (job, at) => {
        onAdopted(incarnation, job, at);
      },
      onLoaded: (jobs, at) => {
        this._onLoaded(incarnation, jobs, at);
      },
      onLost: () => {
        this._heirs.delete(incarnation);
      },
      log,
    });
    this._heirs.set(incarnation, {
      succession,
      victim: incarnation,
      startedAtMs: now,
      isLoaded: false,
      isSettled: false,
    });
    succession.start(now);
  }

  private _onLoaded(victim: string, jobs: number, now: number): void {
    const heir = this._heirs.get(victim);
    if (!heir) {
      return;
    }
    heir.isLoaded = true;
    if (jobs === 0) {
      // None of its runs has a successor, so no worker has to be asked.
      this._finish(heir, 0, now);
      return;
    }
    this._fenced.set(victim, now);
    this._options.fleet.adopt(victim);
  }

  private _settle(heir: Heir, now: number): void {
    if (!heir.isLoaded || heir.isSettled) {
      return;
    }
    const isProven = now > heir.succession.provenAtMs;
    const missing = this._options.fleet.views.filter(
      (view) => !view.adopted.has(heir.victim),
    );
    if (missing.length > 0 && !isProven) {
      return;
    }
    this._finish(heir, missing.length, now);
  }

  private _finish(heir: Heir, silentWorkers: number, now: number): void {
    heir.isSettled = true;
    this._options.log('takeover settled', {
      victim: heir.victim,
      silentWorkers,
      afterMs: Math.round(now - heir.startedAtMs),
    });
    this._options.onSettled(heir.victim, now);
    heir.succession.finish();
  }
}
