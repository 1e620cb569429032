import type { LogFields } from './batch-events.js';
import { EntryTakeover } from './entry-takeover.js';
import type { AdoptedJob } from './entry-takeover.js';
import type { JobRecorder } from './job-recorder.js';
import type { PartStores } from './part-stores.js';
import { ENTRY_LEASE_MS } from './peer-monitor.js';
import type { Peer, PeerMonitor } from './peer-monitor.js';
import type { WorkerFleet } from './worker-fleet.js';
import type { WorkerView } from './worker-view.js';

/** Options of {@link TakeoverCoordinator}. */
export interface TakeoverCoordinatorOptions {
  /** Name and incarnation of this entry. */
  readonly name: string;
  readonly incarnation: string;
  /** Time limit {@link RunLimits.runExpiryMs} of runs. */
  readonly runExpiryMs: number;
  readonly stores: PartStores;
  readonly recorder: JobRecorder;
  readonly peers: PeerMonitor;
  readonly fleet: WorkerFleet;
  /** Called for each job that is taken over. */
  readonly onAdopted: (
    predecessor: string,
    job: AdoptedJob,
    now: number,
  ) => void;
  /**
   * Called when every worker has reported its runs of the predecessor, or such
   * runs must have ended.
   */
  readonly onSettled: (predecessor: string, now: number) => void;
  readonly log: (message: string, fields: LogFields) => void;
}

/** Progress of one takeover. */
interface TrackedTakeover {
  readonly takeover: EntryTakeover;
  readonly predecessor: string;
  readonly startedAtMs: number;
  /** Whether all jobs of the predecessor are adopted. */
  isLoaded: boolean;
  /** Whether the remaining runs of the predecessor are known. */
  isSettled: boolean;
  /** Whether the log tells which workers it waits for. */
  hasLoggedWait: boolean;
}

/**
 * Delay per rank before an entry takes over another, see
 * {@link PeerMonitor.successorRank}, so that entries rarely compete.
 */
const RANK_DELAY_MS = 400;
/** How long the first order on a new link lists a fenced incarnation. */
const FENCED_RETENTION_MS = 60_000;

/**
 * Takes over the jobs of failed entries: decides when this entry is the
 * successor, runs the takeover, and detects when it is settled, i.e. when the
 * state of every run of the predecessor is known.
 */
export class TakeoverCoordinator {
  private readonly _options: TakeoverCoordinatorOptions;
  private readonly _takeovers = new Map<string, TrackedTakeover>();
  private readonly _fenced = new Map<string, number>();

  /** @param options - Peers, workers, store and callbacks. */
  constructor(options: TakeoverCoordinatorOptions) {
    this._options = options;
  }

  /** Whether some worker has yet to report its runs of a predecessor. */
  get hasUnsettled(): boolean {
    return [...this._takeovers.values()].some(
      (tracked) => tracked.isLoaded && !tracked.isSettled,
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
      if (
        !this._takeovers.has(peer.incarnation) &&
        this._isSuccessor(peer, now)
      ) {
        this._begin(peer, now);
      }
    }
    for (const [predecessor, tracked] of this._takeovers) {
      tracked.takeover.pump(now);
      this._settle(tracked, now);
      if (tracked.isSettled && !this._options.peers.get(predecessor)) {
        // Its member row has been deleted, so nobody takes it over again.
        this._takeovers.delete(predecessor);
      }
    }
    for (const [incarnation, atMs] of this._fenced) {
      if (now - atMs > FENCED_RETENTION_MS) {
        this._fenced.delete(incarnation);
      }
    }
  }

  private _isSuccessor(peer: Peer, now: number): boolean {
    const { peers, name, incarnation } = this._options;
    const { fencedBy } = peer.row;
    if (peer.row.name === name) {
      return true;
    }
    if (fencedBy !== undefined && fencedBy !== incarnation) {
      const other = peers.get(fencedBy);
      if (other && !peers.isSuspect(other, now)) {
        return false;
      }
    }
    const rank = peers.successorRank(peer.incarnation, now);
    const downSinceMs = peer.goneSinceMs ?? peer.unresponsiveSinceMs ?? now;
    const delayMs = ENTRY_LEASE_MS + rank * RANK_DELAY_MS;
    return rank === 0 || now - downSinceMs > delayMs;
  }

  private _begin(peer: Peer, now: number): void {
    const { incarnation, row, version } = peer;
    const { stores, recorder, onAdopted, log } = this._options;
    const takeover = new EntryTakeover({
      stores,
      recorder,
      incarnation: this._options.incarnation,
      runExpiryMs: this._options.runExpiryMs,
      predecessor: {
        incarnation,
        row,
        version,
        isGone: peer.goneSinceMs !== undefined,
      },
      onAdopted: (job, at) => {
        onAdopted(incarnation, job, at);
      },
      onLoaded: (jobs, at) => {
        this._onLoaded(incarnation, jobs, at);
      },
      onLost: () => {
        this._takeovers.delete(incarnation);
      },
      log,
    });
    this._takeovers.set(incarnation, {
      takeover,
      predecessor: incarnation,
      startedAtMs: now,
      isLoaded: false,
      isSettled: false,
      hasLoggedWait: false,
    });
    takeover.start(now);
  }

  private _onLoaded(predecessor: string, jobs: number, now: number): void {
    const tracked = this._takeovers.get(predecessor);
    if (!tracked) {
      return;
    }
    tracked.isLoaded = true;
    if (jobs === 0) {
      // No job was adopted, so no worker has to report its runs.
      this._settleNow(tracked, 0, now);
      return;
    }
    this._fenced.set(predecessor, now);
    this._options.fleet.adopt(predecessor);
  }

  private _settle(tracked: TrackedTakeover, now: number): void {
    if (!tracked.isLoaded || tracked.isSettled) {
      return;
    }
    const missing = this._options.fleet.views.filter(
      (view) => !view.adopted.has(tracked.predecessor),
    );
    const { allRunsEndedAtMs, sentUntilMs } = tracked.takeover;
    if (missing.length > 0 && now <= allRunsEndedAtMs) {
      return;
    }
    // The predecessor may have sent starts that are carried out late, and their
    // number is not known.
    const awaited = missing.filter((view) =>
      view.mayHoldLateStarts(sentUntilMs, now),
    );
    if (awaited.length > 0) {
      this._logAwaited(tracked, awaited, now);
      return;
    }
    this._settleNow(tracked, missing.length, now);
  }

  /** Logs once which workers a takeover waits for beyond the limits of runs. */
  private _logAwaited(
    tracked: TrackedTakeover,
    awaited: readonly WorkerView[],
    now: number,
  ): void {
    if (tracked.hasLoggedWait) {
      return;
    }
    tracked.hasLoggedWait = true;
    this._options.log('takeover waits, starts may be carried out late', {
      predecessor: tracked.predecessor,
      workers: awaited.map(({ name }) => name).join(' '),
      afterMs: Math.round(now - tracked.startedAtMs),
    });
  }

  private _settleNow(
    tracked: TrackedTakeover,
    unresponsiveWorkers: number,
    now: number,
  ): void {
    tracked.isSettled = true;
    this._options.log('takeover settled', {
      predecessor: tracked.predecessor,
      unresponsiveWorkers,
      afterMs: Math.round(now - tracked.startedAtMs),
    });
    this._options.onSettled(tracked.predecessor, now);
    tracked.takeover.finish();
  }
}
