import type { EventQueue } from './event-queue.js';

/** Simulated process that can be killed, paused and restarted. */
export abstract class SimProcess {
  readonly name: string;
  protected readonly queue: EventQueue;
  private readonly _clockSkewMs: number;
  private _isAlive = true;
  private _isPaused = false;
  private _pendingCallbacks: (() => void)[] = [];
  private _generation = 1;

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

  /** Number of the current run, which increases with each restart. */
  get generation(): number {
    return this._generation;
  }

  /** Time of the process's clock in milliseconds. */
  get nowMs(): number {
    return this.queue.nowMs + this._clockSkewMs;
  }

  /**
   * Runs a callback in the process: immediately, or on {@link resume} while the
   * process is paused. A callback for a killed process is dropped.
   */
  post(run: () => void): void {
    if (!this._isAlive) {
      return;
    }
    if (this._isPaused) {
      this._pendingCallbacks.push(run);
    } else {
      run();
    }
  }

  /** Ends the process immediately and drops pending callbacks. */
  kill(): void {
    this._isAlive = false;
    this._isPaused = false;
    this._pendingCallbacks = [];
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
    const callbacks = this._pendingCallbacks;
    this._pendingCallbacks = [];
    callbacks.forEach((run) => {
      this.post(run);
    });
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

  /** Creates the state of a new run. */
  protected abstract boot(): void;
}
