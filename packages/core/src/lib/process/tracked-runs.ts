import type { ActiveRun, Room, RunRef, WorkerCrash } from '../messages.js';
import { ZERO_ROOM, addRoom, subtractRoom } from '../request/room.js';
import { runKey } from '../request/run-key.js';

/** Progress of a run, as far as a worker driver process knows. */
export enum RunPhase {
  /** The start call is pending; the run may or may not have begun. */
  Starting,
  Active,
  /** A stop call has been sent. */
  Stopping,
}

/** How the order that brought a start compares with its time of sending. */
export interface StartOrigin {
  /** Link that brought the order. */
  readonly linkId: number;
  /** Whether the entry had no newer link when the start call was sent. */
  readonly isNewestLink: boolean;
  /** Time left then of the limit that the order gave its runs. */
  readonly limitLeftMs: number;
}

/**
 * What is known of a run that was started for an earlier incarnation of the
 * worker, and that the present one may begin.
 */
export interface FormerRun {
  /** Local time at which it has ended even if the present incarnation begins it. */
  readonly untilMs: number;
  /** The crash of the earlier incarnation, unless that has left as planned. */
  readonly crash: WorkerCrash | undefined;
}

/** A run that may be active at the worker. */
export interface TrackedRun {
  readonly task: string;
  readonly run: number;
  readonly spec: string;
  /** Queue of its job; empty while unknown. */
  readonly queue: string;
  /** Checkpoint from which the run starts. */
  readonly checkpoint: string;
  readonly needs: Room;
  /** Whether its end is acknowledged without being recorded by its owner. */
  readonly isVolatile: boolean;
  /** Incarnation of the entry that owns the run; empty while unknown. */
  readonly owner: string;
  /** Whether an earlier worker driver process has started it. */
  readonly isInherited: boolean;
  phase: RunPhase;
  /** Start calls sent so far. */
  starts: number;
  /** Start calls that provably did not reach the worker. */
  undeliveredStarts: number;
  /** Start calls that the worker has answered. */
  answeredStarts: number;
  /** Number of the latest poll when a start call was last sent or answered. */
  lastStartPoll: number;
  /** Worker's clock in the last answer to a start call, in milliseconds. */
  lastStartClockMs: number;
  /** Set while it may have ended with an earlier incarnation of the worker. */
  readonly former: FormerRun | undefined;
  /** Whether the worker has confirmed that the run has begun. */
  readonly hasBegun: boolean;
  /** Share of its full pace at which the run works. */
  percent: number;
  /** Latest known checkpoint. */
  latestCheckpoint: string;
  /** Local time at which the driver learned of the run. */
  readonly sinceMs: number;
  /** Link that brought its start; 0 if this process has not started it. */
  readonly linkId: number;
  /**
   * Time on the worker's clock until which the order of its start lets the run
   * continue; 0 if this process has not started it.
   */
  readonly orderLimitMs: number;
  /** Set when the first start call is sent. */
  origin: StartOrigin | undefined;
  /** Number of the latest poll when the worker confirmed the stop. */
  readonly stoppedAtPoll: number | undefined;
  /** Local time of the first stop call; absent before it. */
  stopSentAtMs: number | undefined;
  /**
   * Time on the worker's clock until which a volatile run may continue that its
   * entry has stopped; absent for other runs.
   */
  stopLimitMs: number | undefined;
  /** Local time at which a stop call that failed is sent again. */
  stopRetryAtMs: number | undefined;
}

/** Fields of a run that an entry provides when it claims the run. */
export type Claim = Pick<
  TrackedRun,
  'owner' | 'needs' | 'isVolatile' | 'queue'
>;

type MutableRun = { -readonly [K in keyof TrackedRun]: TrackedRun[K] };

/**
 * @param ref - Task and number of the run.
 * @param known - The fields that are known.
 * @returns A run with defaults for the other fields.
 */
export const trackedRun = (
  ref: RunRef,
  known: Partial<TrackedRun> & Pick<TrackedRun, 'owner' | 'phase' | 'sinceMs'>,
): TrackedRun => ({
  task: ref.task,
  run: ref.run,
  spec: '',
  queue: '',
  checkpoint: '',
  needs: ZERO_ROOM,
  isVolatile: false,
  isInherited: false,
  starts: 0,
  undeliveredStarts: 0,
  answeredStarts: 0,
  lastStartPoll: 0,
  lastStartClockMs: 0,
  former: undefined,
  hasBegun: false,
  percent: 0,
  latestCheckpoint: '',
  linkId: 0,
  orderLimitMs: 0,
  origin: undefined,
  stoppedAtPoll: undefined,
  stopSentAtMs: undefined,
  stopLimitMs: undefined,
  stopRetryAtMs: undefined,
  ...known,
});

/**
 * The runs that may be active at a worker. Their total needs, the runs of each
 * task and the number of runs of each owner are updated with each change, so
 * that no event has to go through all runs.
 */
export class TrackedRuns {
  private readonly _runs = new Map<string, MutableRun>();
  /** Runs of each task, in the order in which they were added. */
  private readonly _byTask = new Map<string, TrackedRun[]>();
  private readonly _countByOwner = new Map<string, number>();
  /** Runs whose begin the worker has not confirmed. */
  private readonly _unconfirmed = new Set<TrackedRun>();
  /** Runs whose stop the worker has confirmed. */
  private readonly _stopped = new Set<TrackedRun>();
  /** Runs that were started for an earlier incarnation of the worker. */
  private readonly _former = new Set<TrackedRun>();
  private _needs = ZERO_ROOM;

  /** Number of runs. */
  get size(): number {
    return this._runs.size;
  }

  /** Whether a run has no known owner. */
  get hasUnowned(): boolean {
    return this._countByOwner.has('');
  }

  /** Whether an inherited run has not been claimed by an entry. */
  get hasUnclaimed(): boolean {
    return (
      this.hasUnowned &&
      this.values().some((run) => run.owner === '' && run.isInherited)
    );
  }

  /** Incarnations that own a run; the empty one stands for an unknown owner. */
  get owners(): Iterable<string> {
    return this._countByOwner.keys();
  }

  /** Runs whose stop the worker has confirmed. */
  get stopped(): Iterable<TrackedRun> {
    return this._stopped;
  }

  /**
   * Runs that were started for an earlier incarnation of the worker, and that the
   * present one may begin.
   */
  get former(): ReadonlySet<TrackedRun> {
    return this._former;
  }

  /** @returns The tracked run with this task and number. */
  get(ref: RunRef): TrackedRun | undefined {
    return this._runs.get(runKey(ref));
  }

  /** @returns The run of a task that was added first. */
  ofTask(task: string): TrackedRun | undefined {
    return this._byTask.get(task)?.[0];
  }

  /** @returns All runs, in the order in which they were added. */
  values(): TrackedRun[] {
    return [...this._runs.values()];
  }

  /** @returns All runs as entries see them. */
  list(): ActiveRun[] {
    return this.values().map((run) => ({
      task: run.task,
      run: run.run,
      owner: run.owner,
      checkpoint: run.latestCheckpoint,
      percent: run.percent,
    }));
  }

  /**
   * @param capacity - Capacity of the worker.
   * @returns Free capacity; zero while the needs of a run are unknown.
   */
  free(capacity: Room): Room {
    return this.hasUnowned ? ZERO_ROOM : subtractRoom(capacity, this._needs);
  }

  /** @param run - A run that is not tracked yet. */
  add(run: TrackedRun): void {
    this._runs.set(runKey(run), run);
    if (!run.hasBegun) {
      this._unconfirmed.add(run);
    }
    const runs = this._byTask.get(run.task);
    if (runs) {
      runs.push(run);
    } else {
      this._byTask.set(run.task, [run]);
    }
    this._countOwner(run.owner, 1);
    this._needs = addRoom(this._needs, run.needs);
  }

  /** @param run - A tracked run that has ended or did not begin. */
  delete(run: TrackedRun): void {
    if (!this._runs.delete(runKey(run))) {
      return;
    }
    const others = (this._byTask.get(run.task) ?? []).filter((r) => r !== run);
    if (others.length > 0) {
      this._byTask.set(run.task, others);
    } else {
      this._byTask.delete(run.task);
    }
    this._unconfirmed.delete(run);
    this._stopped.delete(run);
    this._former.delete(run);
    this._countOwner(run.owner, -1);
    this._needs =
      this._runs.size === 0 ? ZERO_ROOM : subtractRoom(this._needs, run.needs);
  }

  /**
   * @param ref - A tracked run.
   * @param claim - Its owner, and the needs that the owner knows.
   */
  claim(ref: RunRef, claim: Claim): void {
    const run = this._runs.get(runKey(ref));
    if (!run) {
      return;
    }
    this._countOwner(run.owner, -1);
    this._needs = addRoom(subtractRoom(this._needs, run.needs), claim.needs);
    Object.assign(run, claim);
    this._countOwner(run.owner, 1);
  }

  /**
   * @param from - Incarnation that no longer owns its runs.
   * @param to - Incarnation that owns them from now on.
   */
  reassign(from: string, to: string): void {
    if (from === to || !this._countByOwner.has(from)) {
      return;
    }
    for (const run of this._runs.values()) {
      if (run.owner === from) {
        this._countOwner(from, -1);
        run.owner = to;
        this._countOwner(to, 1);
      }
    }
  }

  /** @param ref - A tracked run that the worker has confirmed to have begun. */
  confirmBegin(ref: RunRef): void {
    const run = this._runs.get(runKey(ref));
    if (run && !run.hasBegun) {
      run.hasBegun = true;
      this._unconfirmed.delete(run);
    }
  }

  /**
   * Keeps a run of a worker that has started anew. Its start may have reached the
   * present incarnation, or may still reach it; no confirmation holds there.
   *
   * @param ref - A tracked run.
   * @param former - What is known of it; kept from the first incarnation on.
   */
  keepAsFormer(ref: RunRef, former: FormerRun): void {
    const run = this._runs.get(runKey(ref));
    if (run) {
      run.hasBegun = false;
      this._unconfirmed.add(run);
      run.stoppedAtPoll = undefined;
      this._stopped.delete(run);
      run.former = { ...former, crash: run.former?.crash ?? former.crash };
      this._former.add(run);
    }
  }

  /** @param ref - A kept run that the present incarnation lists as active. */
  confirmPresent(ref: RunRef): void {
    const run = this._runs.get(runKey(ref));
    if (run && this._former.delete(run)) {
      run.former = undefined;
    }
  }

  /**
   * @param owner - Incarnation of an entry.
   * @returns Its runs whose begin the worker has not confirmed.
   */
  unconfirmedOf(owner: string): RunRef[] {
    return [...this._unconfirmed]
      .filter((run) => run.owner === owner)
      .map(({ task, run }) => ({ task, run }));
  }

  /**
   * @param ref - A tracked run whose stop the worker has confirmed.
   * @param pollNumber - Number of the latest poll.
   */
  confirmStop(ref: RunRef, pollNumber: number): void {
    const run = this._runs.get(runKey(ref));
    if (run) {
      run.stoppedAtPoll = pollNumber;
      this._stopped.add(run);
    }
  }

  private _countOwner(owner: string, change: number): void {
    const count = (this._countByOwner.get(owner) ?? 0) + change;
    if (count > 0) {
      this._countByOwner.set(owner, count);
    } else {
      this._countByOwner.delete(owner);
    }
  }
}
