import type { PollReply, PollRequest, TicketRow } from '../messages.js';
import type { EntryContext } from '../process/entry-context.js';
import type { MemberView } from '../process/membership.js';
import type { HeadRow } from '../process/rows.js';
import { storeKeys } from '../store.js';
import type { Row, StoreReply } from '../store.js';
import { Configuration } from './configuration.js';
import type { Ticket } from './ticket.js';

/** Options of {@link ConfigFollower}. */
export interface ConfigFollowerOptions {
  readonly ctx: EntryContext;
  /**
   * @returns The other entries that count towards a majority, or `undefined`
   * while they are not known yet.
   */
  readonly peers: () => readonly MemberView[] | undefined;
}

interface PollRound {
  readonly sentAtMs: number;
  /** Number of entries that form a majority, including this one. */
  readonly needed: number;
  /** Number of entries that know no newer version, including this one. */
  answers: number;
}

const TICKET_SCAN_LIMIT = 500;
/** Tickets kept in memory, to be listed and sent to entries that lack them. */
const MAX_CACHED_TICKETS = 1024;
/** Time without confirmation by the store after which peers are polled. */
const PEER_POLL_AFTER_MS = 1500;
const PEER_POLL_PERIOD_MS = 1000;

/**
 * Applies accepted tickets as they appear, and tracks when the configuration
 * of this entry was last confirmed to be the newest.
 *
 * The store confirms it: a read of the head sent at `t` that shows no newer
 * ticket proves that the version was current at `t`. While the store does not
 * answer, a majority of the entries confirms it: an accepted ticket is
 * replicated to the other entries before its operator is answered, so any
 * majority has a member that knows it. If the replication times out, the answer
 * lists the entries that have not confirmed the ticket. An entry without either
 * confirmation starts no tasks.
 */
export class ConfigFollower {
  private readonly _ctx: EntryContext;
  private readonly _peers: () => readonly MemberView[] | undefined;
  private readonly _tickets = new Map<number, TicketRow>();
  private readonly _peerVersions = new Map<string, number>();
  private readonly _pendingPolls = new Map<
    number,
    { readonly peer: string; readonly round: PollRound }
  >();
  private _current = Configuration.empty;
  private _confirmedAtMs = -Infinity;
  private _storeConfirmedAtMs = -Infinity;
  private _isReading = false;
  private _nextReadAtMs = 0;
  private _nextPeerPollAtMs = 0;
  private _nextCallId = 1;

  /** @param options - Context, and the entries that can confirm a version. */
  constructor(options: ConfigFollowerOptions) {
    this._ctx = options.ctx;
    this._peers = options.peers;
  }

  /** The configuration in force at this entry. */
  get current(): Configuration {
    return this._current;
  }

  /** When {@link current} was last confirmed, in milliseconds. */
  get confirmedAtMs(): number {
    return this._confirmedAtMs;
  }

  /**
   * @param now - Current time in milliseconds.
   * @returns Whether {@link current} was confirmed recently enough to start
   * tasks.
   */
  isFresh(now: number): boolean {
    return now - this._confirmedAtMs <= this._ctx.options.freshnessMs;
  }

  /**
   * @param incarnation - Incarnation of another entry.
   * @returns The highest version that the entry is known to have; 0 if none is
   * known.
   */
  peerVersion(incarnation: string): number {
    return this._peerVersions.get(incarnation) ?? 0;
  }

  /** @returns The accepted tickets that are kept in memory, oldest first. */
  tickets(): Ticket[] {
    return [...this._tickets.values()].map(parseTicket);
  }

  /**
   * Reads the head row and polls the other entries, when each of them is due.
   *
   * @param now - Current time in milliseconds.
   */
  tick(now: number): void {
    if (!this._isReading && now >= this._nextReadAtMs) {
      this._readHead(now);
    }
    const unconfirmedMs = now - this._storeConfirmedAtMs;
    if (unconfirmedMs > PEER_POLL_AFTER_MS && now >= this._nextPeerPollAtMs) {
      this.pollPeers(now);
    }
  }

  /**
   * Exchanges versions with all other entries.
   *
   * @param now - Current time in milliseconds.
   */
  pollPeers(now: number): void {
    this._nextPeerPollAtMs = now + PEER_POLL_PERIOD_MS;
    const peers = this._peers();
    if (!peers) {
      return;
    }
    const needed = Math.floor((peers.length + 1) / 2) + 1;
    const round: PollRound = { sentAtMs: now, needed, answers: 1 };
    for (const peer of peers) {
      const callId = this._nextCallId++;
      this._pendingPolls.set(callId, { peer: peer.row.incarnation, round });
      this._ctx.emit({
        kind: 'poll-peer',
        callId,
        address: peer.row.address,
        req: this._pollRequest(peer.row.incarnation),
      });
    }
    this._confirmByPeers(round);
  }

  /**
   * @param callId - Id of the poll that was answered or failed.
   * @param reply - The reply; absent if the call failed.
   */
  onPollReply(callId: number, reply: PollReply | undefined): void {
    const poll = this._pendingPolls.get(callId);
    this._pendingPolls.delete(callId);
    // Another process may be listening on the address by now.
    if (!poll || reply?.incarnation !== poll.peer) {
      return;
    }
    this.applyRows(reply.tickets);
    this._recordPeerVersion(reply.incarnation, reply.version);
    if (reply.version <= this._current.version) {
      poll.round.answers += 1;
      this._confirmByPeers(poll.round);
    }
  }

  /**
   * @param req - Poll of another entry.
   * @returns The version of this entry and the tickets that the other lacks.
   */
  onPoll(req: PollRequest): PollReply {
    this.applyRows(req.tickets);
    this._recordPeerVersion(req.incarnation, req.version);
    return {
      incarnation: this._ctx.options.incarnation,
      version: this._current.version,
      tickets: this._ticketsAfter(req.version),
    };
  }

  /**
   * Applies accepted tickets in order. Tickets that are already applied, or
   * that would leave a gap, are skipped.
   *
   * @param rows - Accepted tickets, in ascending order.
   */
  applyRows(rows: readonly TicketRow[]): void {
    for (const row of rows) {
      if (row.number === this._current.version + 1) {
        this._apply(row);
      }
    }
  }

  private _apply(row: TicketRow): void {
    const ticket = parseTicket(row);
    const next = this._current.apply(ticket);
    if (next.isErr()) {
      throw new Error(`Accepted ticket can't be applied: ${next.error}`);
    }
    this._current = next.value;
    this._tickets.set(row.number, row);
    this._tickets.delete(row.number - MAX_CACHED_TICKETS);
    this._ctx.emit({ kind: 'ticket-adopted', ticket });
  }

  private _readHead(now: number): void {
    this._isReading = true;
    this._nextReadAtMs = now + this._ctx.options.headReadMs;
    this._ctx.store.call(
      { kind: 'read', keys: [storeKeys.head] },
      (reply, replyAtMs) => {
        this._isReading = false;
        this._onHead(reply, now, replyAtMs);
      },
    );
  }

  private _onHead(reply: StoreReply, sentAtMs: number, now: number): void {
    if (reply.kind !== 'rows') {
      return;
    }
    const head = reply.rows[0];
    const number = head ? (JSON.parse(head.value) as HeadRow).number : 0;
    if (number > this._current.version) {
      this._readTickets(now);
      return;
    }
    this._storeConfirmedAtMs = sentAtMs;
    this._confirmedAtMs = Math.max(this._confirmedAtMs, sentAtMs);
  }

  private _readTickets(now: number): void {
    this._isReading = true;
    this._ctx.store.call(
      {
        kind: 'scan',
        prefix: storeKeys.ticketPrefix,
        after: storeKeys.ticket(this._current.version),
        limit: TICKET_SCAN_LIMIT,
      },
      (reply) => {
        this._isReading = false;
        if (reply.kind === 'rows') {
          this.applyRows(reply.rows.map(toTicketRow));
        }
        // Read the head again at once: only that confirms the version.
        this._nextReadAtMs = now;
      },
    );
  }

  private _confirmByPeers(round: PollRound): void {
    if (round.answers >= round.needed) {
      this._confirmedAtMs = Math.max(this._confirmedAtMs, round.sentAtMs);
    }
  }

  private _pollRequest(peer: string): PollRequest {
    const { incarnation, address } = this._ctx.options;
    return {
      incarnation,
      address,
      version: this._current.version,
      tickets: this._ticketsAfter(this.peerVersion(peer)),
    };
  }

  private _ticketsAfter(version: number): TicketRow[] {
    const rows: TicketRow[] = [];
    for (let n = version + 1; n <= this._current.version; n++) {
      const row = this._tickets.get(n);
      if (row) {
        rows.push(row);
      }
    }
    return rows;
  }

  private _recordPeerVersion(incarnation: string, version: number): void {
    const known = this.peerVersion(incarnation);
    this._peerVersions.set(incarnation, Math.max(known, version));
  }
}

const parseTicket = (row: TicketRow): Ticket => JSON.parse(row.body) as Ticket;

const toTicketRow = (row: Row): TicketRow => ({
  number: (JSON.parse(row.value) as Ticket).number,
  body: row.value,
});
