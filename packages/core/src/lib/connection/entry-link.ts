import { emptyRunnerMessage } from '../messages.js';
import type { RunnerMessage, Units } from '../messages.js';

/** The runner's end of a link from an entry, with the next batch to send. */
export class EntryLink {
  readonly linkId: string;
  /**
   * The entry incarnation at the other end, which owns the tasks that it starts
   * over this link.
   */
  readonly owner: string;
  readonly linkNumber: number;
  /** When the last message of the entry arrived, on the runner's clock. */
  lastMessageAtMs: number;
  private _outbox: RunnerMessage | undefined;

  /**
   * @param linkId - Identifies the connection.
   * @param owner - The entry incarnation at the other end.
   * @param linkNumber - Increases with each link of the owner.
   * @param now - Current time in milliseconds.
   */
  constructor(linkId: string, owner: string, linkNumber: number, now: number) {
    this.linkId = linkId;
    this.owner = owner;
    this.linkNumber = linkNumber;
    this.lastMessageAtMs = now;
  }

  /** The batch that the next flush sends; created on first access. */
  get outbox(): RunnerMessage {
    this._outbox ??= emptyRunnerMessage();
    return this._outbox;
  }

  /** @returns The batch to send, if there is one; it is then cleared. */
  takeOutbox(): RunnerMessage | undefined {
    const msg = this._outbox;
    this._outbox = undefined;
    return msg;
  }

  /**
   * Adds a grant or recall of credits to the next batch.
   *
   * @param kind - Whether the credits are granted or recalled.
   * @param pool - The pool of the credits.
   * @param count - Number of credits.
   */
  addCredits(
    kind: 'grants' | 'recalls',
    pool: keyof Units,
    count: number,
  ): void {
    if (count > 0) {
      const units = (this.outbox[kind] ??= { slots: 0, connections: 0 });
      units[pool] += count;
    }
  }
}
