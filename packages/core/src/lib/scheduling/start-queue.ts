import type { Room } from '../messages.js';
import { ZERO_ROOM, addRoom, fits } from '../request/room.js';

/** Longest time that a start may wait for capacity, in milliseconds. */
export const MAX_START_WAIT_MS = 60;
/**
 * Share of the CPU capacity of a worker that the queued starts may need in
 * total. A longer queue would hold starts that other workers could begin sooner.
 */
const QUEUED_CPU_SHARE = 0.25;

/** A start that may wait for capacity. */
export interface WaitingStart {
  readonly needs: Room;
  /** Priority of its queue; 0 is the highest. */
  readonly priority: number;
  /** Longest wait in milliseconds; 0 if it may not wait. */
  readonly maxWaitMs: number;
}

/** Capacity of a worker to which starts are admitted. */
export interface StartCapacity {
  /** Capacity that no run uses. */
  readonly free: Room;
  /** Capacity of the worker without runs. */
  readonly total: Room;
}

/** Decision on a new start. */
export type StartDecision<S> =
  | { readonly kind: 'begin' }
  | {
      readonly kind: 'queued';
      /** Starts of a lower priority that are refused in its place. */
      readonly displaced: readonly S[];
    }
  | { readonly kind: 'refused' };

interface QueuedStart<S> {
  readonly start: S;
  readonly untilMs: number;
}

/**
 * Short queue of the starts that do not fit on a worker yet, by priority and
 * then by arrival. This is a non-preemptive priority queue with a limited number
 * of places and limited waits (Cobham 1954, "Priority assignment in waiting line
 * problems").
 *
 * While starts wait, those of a lower priority do not begin, even if they fit.
 * Otherwise a stream of small starts could take the capacity that a larger start
 * of a higher priority waits for. The limit of the wait bounds the capacity that
 * this leaves idle.
 */
export class StartQueue<S extends WaitingStart> {
  private _queued: readonly QueuedStart<S>[] = [];
  private _needs = ZERO_ROOM;

  /** Number of queued starts. */
  get size(): number {
    return this._queued.length;
  }

  /** The queued starts, in the order in which they begin. */
  get starts(): S[] {
    return this._queued.map(({ start }) => start);
  }

  /** Total needs of the queued starts. */
  get needs(): Room {
    return this._needs;
  }

  /** Time at which the first wait ends; absent while the queue is empty. */
  get nextExpiryMs(): number | undefined {
    return this.size === 0
      ? undefined
      : Math.min(...this._queued.map((queued) => queued.untilMs));
  }

  /**
   * Decides on a new start and queues it if it is to wait. If the queue is full,
   * the start takes the place of starts of a lower priority, the last ones first.
   *
   * @param start - A start that has just arrived.
   * @param capacity - Current capacity of the worker.
   * @param now - Current time in milliseconds.
   * @returns What becomes of the start.
   */
  offer(start: S, capacity: StartCapacity, now: number): StartDecision<S> {
    const first = this._queued[0]?.start;
    const isHeldBack = first !== undefined && first.priority < start.priority;
    if (!isHeldBack && fits(start.needs, capacity.free)) {
      return { kind: 'begin' };
    }
    if (start.maxWaitMs <= 0 || !fits(start.needs, capacity.total)) {
      return { kind: 'refused' };
    }
    const limitMilli = QUEUED_CPU_SHARE * capacity.total.cpuMilli;
    const ahead = this._queued.filter(
      (other) => other.start.priority <= start.priority,
    );
    let usedMilli = totalNeeds(ahead).cpuMilli + start.needs.cpuMilli;
    if (usedMilli > limitMilli) {
      return { kind: 'refused' };
    }
    const waitMs = Math.min(start.maxWaitMs, MAX_START_WAIT_MS);
    const kept = [...ahead, { start, untilMs: now + waitMs }];
    const behind = this._queued.slice(ahead.length);
    while (behind[0]) {
      usedMilli += behind[0].start.needs.cpuMilli;
      if (usedMilli > limitMilli) {
        break;
      }
      kept.push(behind[0]);
      behind.shift();
    }
    this._replace(kept);
    return { kind: 'queued', displaced: behind.map((other) => other.start) };
  }

  /**
   * Removes the start that begins next.
   *
   * @param free - Capacity that no run uses.
   * @returns The first start of the highest priority that fits, if any.
   */
  takeNext(free: Room): S | undefined {
    const priority = this._queued[0]?.start.priority;
    const next = this._queued.find(
      ({ start }) => start.priority === priority && fits(start.needs, free),
    );
    if (next) {
      this._replace(this._queued.filter((other) => other !== next));
    }
    return next?.start;
  }

  /**
   * @param now - Current time in milliseconds.
   * @returns The starts whose wait has ended, which are removed.
   */
  takeExpired(now: number): S[] {
    return this._take(({ untilMs }) => untilMs <= now);
  }

  /**
   * @param matches - Selects the starts to remove.
   * @returns The removed starts.
   */
  take(matches: (start: S) => boolean): S[] {
    return this._take(({ start }) => matches(start));
  }

  private _take(matches: (queued: QueuedStart<S>) => boolean): S[] {
    const taken = this._queued.filter(matches);
    if (taken.length > 0) {
      this._replace(this._queued.filter((queued) => !matches(queued)));
    }
    return taken.map((queued) => queued.start);
  }

  private _replace(queued: readonly QueuedStart<S>[]): void {
    this._queued = queued;
    this._needs = totalNeeds(queued);
  }
}

const totalNeeds = (queued: readonly QueuedStart<WaitingStart>[]): Room =>
  queued.reduce((sum, { start }) => addRoom(sum, start.needs), ZERO_ROOM);
