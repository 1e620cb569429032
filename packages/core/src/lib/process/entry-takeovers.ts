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
  /** Called for each job that is taken over. */
  readonly onAdopted: (victim: string, job: AdoptedJob, now: number) => void;
  /**
   * Called when every worker has reported its runs of the predecessor, or such
   * runs must have ended.
   */
  readonly onSettled: (victim: string, now: number) => void;
  readonly log: (message: string, fields: LogFields) => void;
}

/** Progress of one takeover. */
interface Heir {
  readonly succession: Succession;
  readonly victim: string;
  readonly startedAtMs: number;
  /** Whether all jobs of the predecessor are adopted. */
  isLoaded: boolean;
  /** Whether the remaining runs of the predecessor are known. */
  isSettled: boolean;
}

/**
 * Delay per rank before an entry takes over an unresponsive one. It lets the
 * entry with the lowest incarnation go first, so that entries rarely compete.
 */
const RANK_DELAY_MS = 400;
/** How long new links to workers list a fenced incarnation. */
const FENCE_MEMORY_MS = 60_000;

/**
 * Takes over the jobs of failed entries: decides when this entry is the
 * successor, runs the takeover, and detects when it is settled, i.e. when the
 * state of every run of the predecessor is known.
 */
export class EntryTakeovers {
  private readonly _options: EntryTakeoversOptions;
  private readonly _heirs = new Map<string, Heir>();
  private readonly _fenced = new Map<string, number>();

  /** @param options - Peers, workers, store and callbacks. */
  constructor(options: EntryTakeoversOptions) {
    this._options = options;
  }

  /** Whether some worker has yet to report its runs of a predecessor. */
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
   * Begins takeovers that are due and advances the open ones.
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
      // No job was adopted, so no worker has to report its runs.
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
