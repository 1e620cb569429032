import type { BatchContent } from '../request/batch-job.js';

/** Period over which offered and refused jobs are counted. */
const WINDOW_MS = 3000;
/** Length of one slot of the period. */
const SLOT_MS = 500;

interface Slot {
  readonly number: number;
  offered: number;
  refused: number;
}

interface QueueLoad {
  readonly service: string;
  readonly priority: number;
  slots: Slot[];
  lastOfferedAtMs: number;
}

/** Counts the offered and the refused jobs of each queue in the last 3 s. */
export class OfferedLoad {
  private readonly _queues = new Map<string, QueueLoad>();

  /**
   * @param content - A job that was submitted.
   * @param now - Current time in milliseconds.
   */
  onOffered(content: BatchContent, now: number): void {
    const { queue, service, priority } = content;
    let load = this._queues.get(queue);
    if (load?.service !== service || load.priority !== priority) {
      load = {
        service,
        priority,
        slots: [],
        lastOfferedAtMs: now,
      };
      this._queues.set(queue, load);
    }
    load.lastOfferedAtMs = now;
    currentSlot(load, now).offered += 1;
  }

  /**
   * @param queue - Queue of a job that was refused because of overload.
   * @param now - Current time in milliseconds.
   */
  onRefused(queue: string, now: number): void {
    const load = this._queues.get(queue);
    if (load) {
      currentSlot(load, now).refused += 1;
    }
  }

  /**
   * @param queue - A queue.
   * @param floor - Share of its offered jobs that has to be kept.
   * @param now - Current time in milliseconds.
   * @returns How many more of its jobs may be removed.
   */
  removable(queue: string, floor: number, now: number): number {
    const first = Math.floor((now - WINDOW_MS) / SLOT_MS);
    let offered = 0;
    let refused = 0;
    for (const slot of this._queues.get(queue)?.slots ?? []) {
      if (slot.number >= first) {
        offered += slot.offered;
        refused += slot.refused;
      }
    }
    return Math.floor((1 - floor) * offered) - refused;
  }

  /**
   * @param content - A job.
   * @param now - Current time in milliseconds.
   * @returns Whether a job of a higher priority of its service was submitted in
   *   the last 3 s.
   */
  isHigherOffered(content: BatchContent, now: number): boolean {
    for (const load of this._queues.values()) {
      if (
        load.service === content.service &&
        load.priority < content.priority &&
        now - load.lastOfferedAtMs <= WINDOW_MS
      ) {
        return true;
      }
    }
    return false;
  }
}

const currentSlot = (load: QueueLoad, now: number): Slot => {
  const number = Math.floor(now / SLOT_MS);
  const last = load.slots.at(-1);
  if (last && last.number >= number) {
    return last;
  }
  const slot = { number, offered: 0, refused: 0 };
  const first = number - WINDOW_MS / SLOT_MS;
  load.slots = load.slots.filter((other) => other.number >= first);
  load.slots.push(slot);
  return slot;
};
