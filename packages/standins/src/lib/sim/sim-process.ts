import type { EventQueue } from './event-queue.js';

/** What a callback to a process stands for, if it arrives on a connection. */
export interface Arrival {
  /** Unique name of the connection. */
  readonly connection: string;
  /** Whether it is the close of the connection rather than data. */
  readonly isClose: boolean;
}

/** A turn of the event loop that takes long. */
interface SlowTurn {
  readonly durationMs: number;
  /** See {@link SimProcess.slowDown}. */
  readonly isStandStill: boolean;
}

interface PendingCallback {
  readonly run: () => void;
  readonly arrival: Arrival | undefined;
}

/**
 * Simulated process that can be killed, paused, slowed down and restarted. Like
 * a process with an event loop, it handles callbacks that have waited in turns
 * with a flush after each, and sees the close of a connection one turn after the
 * data that came before it.
 */
export abstract class SimProcess {
  readonly name: string;
  protected readonly queue: EventQueue;
  private readonly _clockSkewMs: number;
  private _isAlive = true;
  private _isPaused = false;
  private _pendingCallbacks: PendingCallback[] = [];
  private _generation = 1;
  /** The slow turns that follow the current one. */
  private _nextTurns: readonly SlowTurn[] = [];
  /** Identifies the current turn, between its callbacks and its flush. */
  private _turn: object | undefined;
  /** Virtual time at which the current turn has polled for events. */
  private _polledAtMs = 0;
  private _isTurnOver = false;
  private _isHandling = false;
  private _isFlushRequested = false;
  /** Runs the callbacks of the current turn, unless they have run. */
  private _handleTurn: (() => void) | undefined;
  /** Callbacks that run after those of the next turn. */
  private _afterNextPoll: (() => void)[] = [];

  /**
   * @param name - Unique name, which is also the address.
   * @param queue - Event queue of the simulation.
   * @param skewMs - Offset of the process's clock from the virtual time.
   */
  protected constructor(name: string, queue: EventQueue, skewMs: number) {
    this.name = name;
    this.queue = queue;
    this._clockSkewMs = skewMs;
  }

  /** Whether the process exists, running or paused. */
  get isAlive(): boolean {
    return this._isAlive;
  }

  /** Whether the process exists but is paused. */
  get isPaused(): boolean {
    return this._isPaused;
  }

  /** Whether events that arrive now wait for the end of a slow turn. */
  get isBusy(): boolean {
    return this._turn !== undefined && !this._isHandling;
  }

  /** Number of the current run, which increases with each restart. */
  get generation(): number {
    return this._generation;
  }

  /** Time since the process has polled for events, in milliseconds. */
  protected get pollAgeMs(): number {
    return this._turn ? this.queue.nowMs - this._polledAtMs : 0;
  }

  /** Time of the process's clock in milliseconds. */
  get nowMs(): number {
    return this.queue.nowMs + this._clockSkewMs;
  }

  /**
   * Runs a callback in the process: immediately, on {@link resume} while the
   * process is paused, or in the next turn while a slow turn lasts. A callback
   * for a killed process is dropped.
   *
   * @param run - The callback.
   * @param arrival - Connection on which it arrives, if any.
   */
  post(run: () => void, arrival?: Arrival): void {
    if (!this._isAlive) {
      return;
    }
    if (this._isPaused || this.isBusy) {
      this._pendingCallbacks.push({ run, arrival });
    } else {
      run();
    }
  }

  /** Ends the process immediately and drops pending callbacks. */
  kill(): void {
    this._isAlive = false;
    this._isPaused = false;
    this._pendingCallbacks = [];
    this._afterNextPoll = [];
    this._nextTurns = [];
    this._turn = undefined;
    this._handleTurn = undefined;
    this._isFlushRequested = false;
  }

  /**
   * Makes the next turns last long, as those of a process that gets little
   * processor time. The process is not told: its clock runs on. The callbacks of
   * a turn run at its begin, and the flush at its end.
   *
   * @param turnsMs - Duration of each turn.
   * @param isStandStill - Whether the process stands still in each turn once it
   *   has polled for events, so that the callbacks run at the end of the turn.
   */
  slowDown(turnsMs: readonly number[], isStandStill = false): void {
    if (!this._isAlive) {
      return;
    }
    this._nextTurns = [
      ...this._nextTurns,
      ...turnsMs.map((durationMs) => ({ durationMs, isStandStill })),
    ];
    if (!this._turn && !this._isPaused) {
      this._beginTurn();
    }
  }

  /** Ends the slow turns at once. */
  speedUp(): void {
    this._nextTurns = [];
    if (this._turn && !this._isPaused) {
      this._endTurn();
    }
  }

  /** Suspends the process until {@link resume}. */
  pause(): void {
    this._isPaused = this._isAlive;
  }

  /** Resumes a paused process and runs the callbacks that arrived meanwhile. */
  resume(): void {
    if (!this._isPaused) {
      return;
    }
    this._isPaused = false;
    if (!this._turn) {
      this._beginTurn();
    } else if (this._isTurnOver) {
      this._endTurn();
    }
  }

  /** Starts the process again if it has ended. */
  restart(): void {
    if (!this._isAlive) {
      this._isAlive = true;
      this._generation += 1;
      this.boot();
    }
  }

  /** Schedules a callback that is dropped if the process restarts earlier. */
  protected schedule(delayMs: number, run: () => void): void {
    const generation = this._generation;
    this.queue.after(delayMs, () => {
      if (this._generation === generation) {
        this.post(run);
      }
    });
  }

  /** Runs a callback after the process has polled for events once more. */
  protected runAfterNextPoll(run: () => void): void {
    this._afterNextPoll.push(run);
    if (!this._turn) {
      this.schedule(0, () => {
        this._runDeferred(this._takeDeferred());
      });
    }
  }

  /** Calls {@link flush} once at the end of this turn. */
  protected requestFlush(): void {
    if (!this._isAlive || this._isFlushRequested) {
      return;
    }
    this._isFlushRequested = true;
    // Events at the same virtual time share one flush, unless they have waited.
    if (!this._turn) {
      this.schedule(0, () => {
        this._flushIfRequested();
      });
    }
  }

  /** Creates the state of a new run. */
  protected abstract boot(): void;

  /** Sends what has been gathered during a turn. */
  protected flush(): void {
    // A process without a gathered output has none to send.
  }

  private _beginTurn(): void {
    const turn = {};
    const generation = this._generation;
    this._turn = turn;
    this._polledAtMs = this.queue.nowMs;
    this._isTurnOver = false;
    const deferred = this._takeDeferred();
    const ready = this._takeReady();
    const [slowTurn, ...nextTurns] = this._nextTurns;
    this._nextTurns = nextTurns;
    this._handleTurn = () => {
      this._handleTurn = undefined;
      this._isHandling = true;
      this._runDeferred(ready.map(({ run }) => run));
      this._runDeferred(deferred);
      this._isHandling = false;
    };
    if (!slowTurn?.isStandStill) {
      this._handleTurn();
    }
    if (this._turn !== turn) {
      return;
    }
    const durationMs = slowTurn?.durationMs ?? 0;
    if (durationMs === 0) {
      this._endTurn();
      return;
    }
    this.queue.after(durationMs, () => {
      if (this._turn !== turn || this._generation !== generation) {
        return;
      }
      this._isTurnOver = true;
      if (!this._isPaused) {
        this._endTurn();
      }
    });
  }

  private _endTurn(): void {
    this._handleTurn?.();
    this._flushIfRequested();
    if (!this._isAlive) {
      return;
    }
    this._turn = undefined;
    const isWorkLeft =
      this._pendingCallbacks.length > 0 ||
      this._afterNextPoll.length > 0 ||
      this._nextTurns.length > 0;
    if (isWorkLeft) {
      this._beginTurn();
    }
  }

  /** Takes the callbacks of a turn; closes wait until data has been read. */
  private _takeReady(): PendingCallback[] {
    const pending = this._pendingCallbacks;
    const withData = new Set(
      pending
        .filter(({ arrival }) => arrival?.isClose === false)
        .map(({ arrival }) => arrival?.connection),
    );
    const isLater = ({ arrival }: PendingCallback): boolean =>
      arrival?.isClose === true && withData.has(arrival.connection);
    this._pendingCallbacks = pending.filter(isLater);
    return pending.filter((callback) => !isLater(callback));
  }

  private _takeDeferred(): (() => void)[] {
    const deferred = this._afterNextPoll;
    this._afterNextPoll = [];
    return deferred;
  }

  private _runDeferred(deferred: readonly (() => void)[]): void {
    for (const run of deferred) {
      if (this._isAlive) {
        run();
      }
    }
  }

  private _flushIfRequested(): void {
    if (this._isFlushRequested) {
      this._isFlushRequested = false;
      this.flush();
    }
  }
}
