import type { EntryContext } from '../process/entry-context.js';
import { ErrorCode } from '../process/entry-events.js';
import type {
  Reply,
  TicketProposal,
  TicketReceipt,
} from '../process/entry-events.js';
import { mayHaveRunReply, notRunReply } from '../request/replies.js';
import type { HeadRow } from '../process/rows.js';
import type { WriteOutcome } from '../process/store-writer.js';
import { storeKeys } from '../store.js';
import type { ConfigFollower } from './config-follower.js';
import type { Ticket } from './ticket.js';

/** Options of {@link TicketService}. */
export interface TicketServiceOptions {
  readonly ctx: EntryContext;
  readonly config: ConfigFollower;
  /** @returns Incarnations of the other live entries. */
  readonly peers: () => readonly string[];
}

interface ReplicatingTicket {
  readonly number: number;
  readonly replyId: number;
  /** When the operator is answered at the latest. */
  readonly timeoutAtMs: number;
}

const REPLICATION_TIMEOUT_MS = 2000;
const WRITE_TIMEOUT_MS = 5000;
const RETRY_AFTER_MS = 1000;

/**
 * Accepts the tickets with which operators change the configuration.
 *
 * A ticket is accepted once the row of its number has been inserted in the
 * store. Its operator is answered when every other entry has the ticket, or
 * after a timeout, with the entries that have not confirmed it.
 */
export class TicketService {
  private readonly _options: TicketServiceOptions;
  private readonly _ctx: EntryContext;
  /** Timeouts of tickets that are being written, by reply id. */
  private readonly _writeTimeouts = new Map<number, number>();
  private _replicating: ReplicatingTicket[] = [];

  /** @param options - Context, configuration and the other entries. */
  constructor(options: TicketServiceOptions) {
    this._options = options;
    this._ctx = options.ctx;
  }

  /**
   * Checks a proposed ticket and inserts it in the store.
   *
   * @param proposal - The ticket that the operator proposes.
   * @param replyId - Id under which the operator's call is answered.
   * @param now - Current time in milliseconds.
   */
  propose(proposal: TicketProposal, replyId: number, now: number): void {
    const { current } = this._options.config;
    const next = current.version + 1;
    const number = proposal.number ?? next;
    if (number !== next) {
      this._reply(replyId, this._numberConflict(number, next));
      return;
    }
    const checked = current.check(proposal.changes);
    if (checked.isErr()) {
      this._reply(replyId, invalidTicket(checked.error));
      return;
    }
    this._insert({ ...proposal, number, atMs: now }, replyId, now);
  }

  /**
   * Answers operators whose tickets have reached all entries or timed out.
   *
   * @param now - Current time in milliseconds.
   */
  tick(now: number): void {
    for (const [replyId, timeoutAtMs] of this._writeTimeouts) {
      if (timeoutAtMs <= now) {
        this._writeTimeouts.delete(replyId);
        this._reply(replyId, NOT_CONFIRMED);
      }
    }
    for (const ticket of this._replicating) {
      const receipt = this._receipt(ticket.number);
      if (receipt.notYet.length === 0 || ticket.timeoutAtMs <= now) {
        this._replicating = this._replicating.filter((t) => t !== ticket);
        this._reply(ticket.replyId, { kind: 'ticket', receipt });
      }
    }
  }

  private _insert(ticket: Ticket, replyId: number, now: number): void {
    const key = storeKeys.ticket(ticket.number);
    const nonce = `${this._ctx.options.incarnation}:${String(replyId)}`;
    const body = JSON.stringify({ ...ticket, nonce });
    const head: HeadRow = { number: ticket.number };
    const timeoutAtMs = now + WRITE_TIMEOUT_MS;
    this._writeTimeouts.set(replyId, timeoutAtMs);
    this._ctx.writer.submit({
      conditions: [{ key, version: 0 }],
      writes: [
        { key, value: body },
        { key: storeKeys.head, value: JSON.stringify(head) },
      ],
      readBackKey: key,
      abandonAtMs: timeoutAtMs,
      onDone: (outcome, doneAtMs) => {
        this._onInserted(ticket, body, replyId, outcome, doneAtMs);
      },
    });
  }

  private _onInserted(
    ticket: Ticket,
    body: string,
    replyId: number,
    outcome: WriteOutcome,
    now: number,
  ): void {
    const isAnswered = !this._writeTimeouts.delete(replyId);
    switch (outcome.kind) {
      case 'committed':
        this._options.config.applyRows([{ number: ticket.number, body }]);
        this._options.config.pollPeers(now);
        if (!isAnswered) {
          const timeoutAtMs = now + REPLICATION_TIMEOUT_MS;
          this._replicating.push({
            number: ticket.number,
            replyId,
            timeoutAtMs,
          });
        }
        return;
      case 'conflict':
        if (!isAnswered) {
          this._readAcceptedTicket(ticket.number, replyId);
        }
        return;
      case 'abandoned':
      case 'rejected':
        if (!isAnswered) {
          this._reply(replyId, STORE_UNAVAILABLE);
        }
    }
  }

  private _readAcceptedTicket(number: number, replyId: number): void {
    const keys = [storeKeys.ticket(number)];
    this._ctx.store.call({ kind: 'read', keys }, (reply) => {
      const row = reply.kind === 'rows' ? reply.rows[0] : undefined;
      if (row) {
        this._options.config.applyRows([{ number, body: row.value }]);
      }
      this._reply(replyId, this._numberConflict(number, number + 1));
    });
  }

  private _numberConflict(number: number, next: number): Reply {
    const winner = this._options.config
      .tickets()
      .find((ticket) => ticket.number === number);
    const by = winner ? ` by ${winner.author} ("${winner.reason}")` : '';
    const detail =
      number < next
        ? `Ticket ${String(number)} was taken${by}; look at the configuration and propose ticket ${String(next)}.`
        : `The next ticket is ${String(next)}; ticket ${String(number)} would leave a gap.`;
    return notRunReply({
      code: ErrorCode.Conflict,
      detail,
    });
  }

  private _receipt(number: number): TicketReceipt {
    const { config, peers } = this._options;
    const inForce = [this._ctx.options.incarnation];
    const notYet: string[] = [];
    for (const peer of peers()) {
      (config.peerVersion(peer) >= number ? inForce : notYet).push(peer);
    }
    return { number, inForce, notYet };
  }

  private _reply(replyId: number, reply: Reply): void {
    this._ctx.emit({ kind: 'reply', replyId, reply });
  }
}

const invalidTicket = (detail: string): Reply =>
  notRunReply({ code: ErrorCode.Invalid, detail });

const STORE_UNAVAILABLE = notRunReply({
  code: ErrorCode.Unavailable,
  detail: 'The store does not answer; the ticket was not accepted.',
  retryAfterMs: RETRY_AFTER_MS,
});

const NOT_CONFIRMED = mayHaveRunReply({
  code: ErrorCode.Pending,
  detail:
    'The store has not confirmed the ticket; list the tickets before proposing it again.',
  retryAfterMs: RETRY_AFTER_MS,
});
