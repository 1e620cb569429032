import { emptyRunnerMessage } from '../messages.js';
import type { RunnerMessage, Units } from '../messages.js';

/** A runner's side of one link from an entry. */
export class EntryLink {
  readonly linkId: string;
  /** The entry incarnation at the other end. */
  readonly owner: string;
  readonly linkNumber: number;
  /** When the entry last sent anything, on the runner's clock. */
  heardAtMs: number;
  private _outbox: RunnerMessage | undefined;

  /**
   * @param linkId - Names the connection.
   * @param owner - The entry incarnation at the other end.
   * @param linkNumber - Rises with each link of the owner.
   * @param now - Current time in milliseconds.
   */
  constructor(linkId: string, owner: string, linkNumber: number, now: number) {
    this.linkId = linkId;
    this.owner = owner;
    this.linkNumber = linkNumber;
    this.heardAtMs = now;
  }

  /** The batch that the next flush sends. */
  get outbox(): RunnerMessage {
    this._outbox ??= emptyRunnerMessage();
    return this._outbox;
  }

  /** @returns The batch to send, if anything is in it; the link starts anew. */
  takeOutbox(): RunnerMessage | undefined {
    const msg = this._outbox;
    this._outbox = undefined;
    return msg;
  }

  /**
   * @param kind - Whether credits are given or asked back.
   * @param pool - The pool of the credits.
   * @param count - How many.
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
