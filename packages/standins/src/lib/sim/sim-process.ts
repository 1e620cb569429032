import type { EventQueue } from './event-queue.js';

/** A process in virtual time that can be killed, restarted and paused. */
export abstract class SimProcess {
  readonly name: string;
  protected readonly queue: EventQueue;
  private readonly _skewMs: number;
  private _isAlive = true;
  private _isPaused = false;
  private _inbox: (() => void)[] = [];
  private _generation = 1;

  /**
   * @param name - Unique name, which is also the address.
   * @param queue - Virtual time.
   * @param skewMs - Difference of the process's clock.
   */
  protected constructor(name: string, queue: EventQueue, skewMs: number) {
    this.name = name;
    this.queue = queue;
    this._skewMs = skewMs;
  }

  /** Whether the process exists. */
  get isAlive(): boolean {
    return this._isAlive;
  }

  /** Whether the process exists and does not run. */
  get isPaused(): boolean {
    return this._isPaused;
  }

  /** Rises with each restart. */
  get generation(): number {
    return this._generation;
  }

  /** The process's clock. */
  get now(): number {
    return this.queue.nowMs + this._skewMs;
  }

  /**
   * Hands something to the process: at once, after a pause, or never when it
   * is dead or has been restarted meanwhile.
   */
  post(run: () => void): void {
    if (!this._isAlive) {
      return;
    }
    if (this._isPaused) {
      this._inbox.push(run);
    } else {
      run();
    }
  }

  /** Ends the process at once. */
  kill(): void {
    this._isAlive = false;
    this._isPaused = false;
    this._inbox = [];
  }

  /** Stops the process from running until {@link resume}. */
  pause(): void {
    this._isPaused = this._isAlive;
  }

  /** Lets a paused process run on with all that has arrived. */
  resume(): void {
    if (!this._isPaused) {
      return;
    }
    this._isPaused = false;
    const inbox = this._inbox;
    this._inbox = [];
    inbox.forEach((run) => {
      this.post(run);
    });
  }

  /** Starts a dead process anew. */
  restart(): void {
    if (!this._isAlive) {
      this._isAlive = true;
      this._generation += 1;
      this.boot();
    }
  }

  /** Runs something later, unless the process has been restarted by then. */
  protected later(ms: number, run: () => void): void {
    const generation = this._generation;
    this.queue.after(ms, () => {
      if (this._generation === generation) {
        this.post(run);
      }
    });
  }

  /** Creates the decisions of a new run. */
  protected abstract boot(): void;
}
