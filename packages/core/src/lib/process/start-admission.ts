import { StartRefusal } from '../messages.js';
import type { Room, RunRef, StartGroup } from '../messages.js';
import { ZERO_ROOM, subtractRoom } from '../request/room.js';
import { runKey } from '../request/run-key.js';
import { StartQueue } from '../scheduling/start-queue.js';
import type { WaitingStart } from '../scheduling/start-queue.js';
import type { ReportLink, ReportLinks } from './report-links.js';
import { RunPhase, trackedRun } from './tracked-runs.js';
import type { TrackedRun, TrackedRuns } from './tracked-runs.js';

/** Options of {@link StartAdmission}. */
export interface StartAdmissionOptions {
  readonly runs: TrackedRuns;
  readonly links: ReportLinks;
  /** Returns whether the worker may begin runs. */
  readonly isReady: () => boolean;
  /** Returns the capacity of the worker. */
  readonly capacity: () => Room;
  /** Returns whether the time limit of the runs of an entry has passed. */
  readonly isExpired: (owner: string, now: number) => boolean;
  /** Sends a tracked run to the worker at the end of this turn. */
  readonly sendStart: (run: TrackedRun) => void;
  /** Has the worker stop a tracked run. */
  readonly sendStop: (run: TrackedRun) => void;
}

/** A start of an entry that is to be admitted. */
interface OrderedStart extends WaitingStart {
  readonly task: string;
  readonly run: number;
  readonly checkpoint: string;
  readonly group: StartGroup;
  readonly owner: string;
  /** Link that brought it. */
  readonly linkId: number;
  /** Time on the worker's clock until which the order lets the run continue. */
  readonly orderLimitMs: number;
}

/** A start whose task still has an earlier run. */
type StaleStart = Pick<OrderedStart, 'owner' | 'task' | 'run'>;

/**
 * Decides which starts a worker begins, keeps those that wait for capacity, and
 * refuses the others. A queued start is not a run: it has not begun, and no
 * report lists it as active. It is therefore removed before a snapshot or a
 * refusal can let an entry start its task again.
 */
export class StartAdmission {
  private readonly _options: StartAdmissionOptions;
  private readonly _queue = new StartQueue<OrderedStart>();
  /**
   * Starts that are refused once the earlier runs of their tasks have ended, by
   * owner and run. Their entries may place the tasks elsewhere after that.
   */
  private readonly _stale = new Map<string, StaleStart>();

  /** @param options - Runs and links of the worker, and its state. */
  constructor(options: StartAdmissionOptions) {
    this._options = options;
  }

  /** Free capacity as reported to entries, less the needs of queued starts. */
  get reportedFree(): Room {
    return subtractRoom(this._free, this._queue.needs);
  }

  /** Time at which the next wait ends; absent while no start is queued. */
  get nextExpiryMs(): number | undefined {
    return this._queue.nextExpiryMs;
  }

  /**
   * @param owner - Incarnation of an entry.
   * @returns Its starts that are queued.
   */
  queuedOf(owner: string): RunRef[] {
    return this._queue.starts
      .filter((start) => start.owner === owner)
      .map(({ task, run }) => ({ task, run }));
  }

  private get _free(): Room {
    return this._options.runs.free(this._options.capacity());
  }

  /**
   * @param link - Link that brought the order.
   * @param group - Starts of the order.
   * @param orderLimitMs - Time on the worker's clock until which the order lets
   *   the runs continue.
   * @param now - Current time in milliseconds.
   */
  startGroup(
    link: ReportLink,
    group: StartGroup,
    orderLimitMs: number,
    now: number,
  ): void {
    this.update(now);
    const { priority, maxWaitMs } = group;
    const { id: linkId, incarnation: owner } = link;
    const origin = { group, owner, linkId, orderLimitMs };
    const wait = { priority, maxWaitMs, needs: group.needs ?? ZERO_ROOM };
    for (const { task, run, checkpoint } of group.runs) {
      this._admit({ task, run, checkpoint, ...origin, ...wait }, now);
    }
  }

  /**
   * Refuses the queued starts that may no longer wait, begins those for which
   * capacity has become free, and refuses starts whose earlier runs have ended.
   *
   * @param now - Current time in milliseconds.
   */
  update(now: number): void {
    this._refuseEnded();
    if (this._queue.size === 0) {
      return;
    }
    if (!this._options.isReady()) {
      this.removeAll(StartRefusal.NOT_READY);
      return;
    }
    this._refuseAll(this._queue.takeExpired(now), StartRefusal.NO_ROOM);
    let next = this._queue.takeNext(this._free);
    while (next) {
      this._beginQueued(next, now);
      next = this._queue.takeNext(this._free);
    }
  }

  /**
   * Removes a start that its entry has stopped.
   *
   * @param ref - Task and number of the run.
   * @param owner - Incarnation of the entry.
   * @returns Whether the start was queued.
   */
  remove(ref: RunRef, owner: string): boolean {
    const removed = this._queue.take(
      (start) =>
        start.task === ref.task &&
        start.run === ref.run &&
        start.owner === owner,
    );
    this._refuseAll(removed, StartRefusal.NO_ROOM);
    return removed.length > 0;
  }

  /**
   * Refuses a start once no run of its task is left.
   *
   * @param ref - Task and number of the run that was to be started.
   * @param owner - Incarnation of the entry.
   */
  refuseWhenEnded({ task, run }: RunRef, owner: string): void {
    this._stale.set(staleKey({ task, run }, owner), { task, run, owner });
  }

  /**
   * @param ref - Task and number of a run.
   * @param owner - Incarnation of the entry that has ordered its start.
   * @returns Whether the start is refused once an earlier run has ended.
   */
  isStale(ref: RunRef, owner: string): boolean {
    return this._stale.has(staleKey(ref, owner));
  }

  /** @param linkId - Link that has closed, whose queued starts are removed. */
  removeLink(linkId: number): void {
    const removed = this._queue.take((start) => start.linkId === linkId);
    this._refuseAll(removed, StartRefusal.NO_ROOM);
  }

  /**
   * Removes the queued starts of an entry that is fenced, or that has replaced
   * its link and compares its runs with a new snapshot.
   *
   * @param owner - Incarnation of the entry.
   */
  removeOwner(owner: string): void {
    const removed = this._queue.take((start) => start.owner === owner);
    this._refuseAll(removed, StartRefusal.NO_ROOM);
  }

  /** @param reason - Why all queued starts are refused. */
  removeAll(reason: StartRefusal): void {
    this._refuseAll(
      this._queue.take(() => true),
      reason,
    );
  }

  private _admit(start: OrderedStart, now: number): void {
    const { runs, isReady, isExpired, capacity } = this._options;
    const { task, run, owner } = start;
    const known = runs.ofTask(task);
    if (known?.run === run && known.owner === owner) {
      return;
    }
    const queued = this._queue.take((other) => other.task === task);
    this._refuseAll(
      queued.filter((other) => other.run !== run || other.owner !== owner),
      StartRefusal.NO_ROOM,
    );
    if (known) {
      this._refuseStale(start, known);
      return;
    }
    if (!isReady() || isExpired(owner, now)) {
      // A start that was read late must not begin for an entry that may be gone.
      this._refuse(start, StartRefusal.NOT_READY);
      return;
    }
    const room = { free: this._free, total: capacity() };
    const decision = this._queue.offer(start, room, now);
    switch (decision.kind) {
      case 'begin':
        this._begin(start, now);
        return;
      case 'queued':
        this._refuseAll(decision.displaced, StartRefusal.NO_ROOM);
        return;
      case 'refused':
        this._refuse(start, StartRefusal.NO_ROOM);
    }
  }

  private _beginQueued(start: OrderedStart, now: number): void {
    const known = this._options.runs.ofTask(start.task);
    if (known) {
      // A run of the task has been found at the worker in the meantime.
      this._refuseStale(start, known);
    } else if (this._options.isExpired(start.owner, now)) {
      this._refuse(start, StartRefusal.NOT_READY);
    } else {
      this._begin(start, now);
    }
  }

  private _begin(start: OrderedStart, now: number): void {
    const { group, checkpoint, needs, owner, linkId, orderLimitMs } = start;
    const tracked = trackedRun(start, {
      spec: group.spec,
      queue: group.queue,
      checkpoint,
      needs,
      isVolatile: group.volatile,
      owner,
      phase: RunPhase.Starting,
      percent: 100,
      latestCheckpoint: checkpoint,
      linkId,
      orderLimitMs,
      sinceMs: now,
    });
    this._options.runs.add(tracked);
    this._options.sendStart(tracked);
  }

  /**
   * Refuses a start because of an earlier run of the task, for example one of
   * another entry, from which the caller has since moved the job to this one.
   * The refusal is sent once the earlier run has ended.
   */
  private _refuseStale(start: OrderedStart, known: TrackedRun): void {
    if (known.phase !== RunPhase.Stopping) {
      this._options.sendStop(known);
    }
    this.refuseWhenEnded(start, start.owner);
  }

  private _refuseEnded(): void {
    for (const [key, start] of this._stale) {
      if (!this._options.runs.ofTask(start.task)) {
        this._stale.delete(key);
        this._refuse(start, StartRefusal.STALE_RUN);
      }
    }
  }

  private _refuseAll(
    starts: readonly OrderedStart[],
    reason: StartRefusal,
  ): void {
    for (const start of starts) {
      this._refuse(start, reason);
    }
  }

  private _refuse(
    { owner, task, run }: StaleStart,
    reason: StartRefusal,
  ): void {
    this._options.links.addRefusal(owner, task, run, reason);
  }
}

const staleKey = (ref: RunRef, owner: string): string =>
  `${owner} ${runKey(ref)}`;
