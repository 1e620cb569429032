import type { EventQueue } from './event-queue.js';

/**
 * Fault on the path between two processes. A cut holds back messages on
 * connections, in both directions or in one, and drops or delays datagrams. A
 * silenced connection drops all messages, and a stalled one holds them back.
 */
export type NetworkFault = 'cut' | 'cut-one-way' | 'silence' | 'stall';

/** Options of {@link Network}. */
export interface NetworkOptions {
  readonly queue: EventQueue;
  /** Uniform random numbers from 0 to 1. */
  readonly random: () => number;
  /**
   * Longest delay after the end of a cut or stall until a connection delivers
   * what it has held back, as by a transport that retransmits more and more
   * rarely. It is at most the time since the first message was held back, and
   * new connections have none. 0 if absent.
   */
  readonly maxRetransmissionMs?: number;
}

interface HeldMessage {
  readonly sinceMs: number;
  /** Absent for a datagram. */
  readonly connection: string | undefined;
  readonly from: string;
  readonly to: string;
  readonly deliver: () => void;
}

const MIN_DELAY_MS = 0.3;
const DELAY_JITTER_MS = 1.5;
/** Fraction of the datagrams during a cut that arrive after its end. */
const LATE_DELIVERY_RATE = 0.5;

/**
 * Simulated network between named processes. Delays messages at random and
 * injects partitions, connections that drop messages and stalled connections.
 */
export class Network {
  private readonly _options: NetworkOptions;
  private readonly _cuts = new Set<string>();
  private readonly _lastDelivery = new Map<string, number>();
  private readonly _silenced = new Set<string>();
  private readonly _stalled = new Set<string>();
  private _heldMessages: HeldMessage[] = [];

  /** @param options - Event queue and random source. */
  constructor(options: NetworkOptions) {
    this._options = options;
  }

  /** Blocks messages from one process to another until {@link heal}. */
  cut(from: string, to: string): void {
    this._cuts.add(directionKey(from, to));
  }

  /** Blocks messages between two processes in both directions. */
  cutBoth(one: string, other: string): void {
    this.cut(one, other);
    this.cut(other, one);
  }

  /**
   * Injects a fault between two processes.
   *
   * @param kind - The fault.
   * @param initiator - The process that opened the connections.
   * @param acceptor - The process that accepted them; a one-way cut blocks
   * only the messages that it sends.
   * @param connections - The connections between the processes.
   */
  injectFault(
    kind: NetworkFault,
    initiator: string,
    acceptor: string,
    connections: readonly string[],
  ): void {
    switch (kind) {
      case 'cut':
        this.cutBoth(initiator, acceptor);
        return;
      case 'cut-one-way':
        this.cut(acceptor, initiator);
        return;
      case 'silence':
        connections.forEach((connection) => {
          this.silence(connection);
        });
        return;
      case 'stall':
        connections.forEach((connection) => {
          this.stall(connection);
        });
    }
  }

  /** @returns Whether messages from one process to the other are blocked. */
  isCut(from: string, to: string): boolean {
    return this._cuts.has(directionKey(from, to));
  }

  /**
   * Removes all cuts and stalls and sends the messages that they held back.
   * Silenced connections stay silenced.
   */
  heal(): void {
    this._cuts.clear();
    this._stalled.clear();
    const held = this._heldMessages;
    this._heldMessages = [];
    this._release(held);
  }

  /**
   * Removes the cuts between two processes, and the stalls of their connections,
   * and sends the messages that these held back.
   */
  healBetween(one: string, other: string): void {
    this._cuts.delete(directionKey(one, other));
    this._cuts.delete(directionKey(other, one));
    const isBetween = ({ from, to }: HeldMessage): boolean =>
      (from === one && to === other) || (from === other && to === one);
    const held = this._heldMessages.filter(isBetween);
    this._heldMessages = this._heldMessages.filter((msg) => !isBetween(msg));
    for (const { connection } of held) {
      this._stalled.delete(connection ?? '');
    }
    this._release(held);
  }

  private _release(held: readonly HeldMessage[]): void {
    this._delayRetransmissions(held);
    for (const { sinceMs, connection, from, to, deliver } of held) {
      if (connection === undefined) {
        this.sendDatagram(from, to, deliver);
      } else {
        this._deliver({ sinceMs, connection, from, deliver });
      }
    }
  }

  private _delayRetransmissions(held: readonly HeldMessage[]): void {
    const { queue, random, maxRetransmissionMs = 0 } = this._options;
    if (maxRetransmissionMs === 0) {
      return;
    }
    const delayed = new Set<string>();
    for (const { connection, from, sinceMs } of held) {
      const key = `${connection ?? ''} ${from}`;
      if (connection !== undefined && !delayed.has(key)) {
        delayed.add(key);
        const heldMs = Math.min(queue.nowMs - sinceMs, maxRetransmissionMs);
        this._lastDelivery.set(key, queue.nowMs + random() * heldMs);
      }
    }
  }

  /** @param connection - A connection that drops all messages from now on. */
  silence(connection: string): void {
    this._silenced.add(connection);
  }

  /** @param connection - A connection to stall until {@link heal}. */
  stall(connection: string): void {
    this._stalled.add(connection);
  }

  /**
   * Sends a message over a connection, in order. During a cut or a stall the
   * message is held back, as by a transport that retransmits; a silenced
   * connection drops it.
   */
  sendOnConnection(
    connection: string,
    from: string,
    to: string,
    deliver: () => void,
  ): void {
    if (this._silenced.has(connection)) {
      return;
    }
    const sinceMs = this._options.queue.nowMs;
    if (this.isCut(from, to) || this._stalled.has(connection)) {
      this._heldMessages.push({ sinceMs, connection, from, to, deliver });
      return;
    }
    this._deliver({ sinceMs, connection, from, deliver });
  }

  private _deliver({
    sinceMs,
    connection,
    from,
    deliver,
  }: Pick<HeldMessage, 'sinceMs' | 'from' | 'deliver'> & {
    readonly connection: string;
  }): void {
    if (this._silenced.has(connection)) {
      return;
    }
    const { queue, maxRetransmissionMs = 0 } = this._options;
    const key = `${connection} ${from}`;
    const earliestMs = this._lastDelivery.get(key) ?? 0;
    // After the first retransmission the rest follows as it is acknowledged.
    const isRetransmitted = maxRetransmissionMs > 0 && sinceMs < queue.nowMs;
    const atMs = isRetransmitted
      ? Math.max(queue.nowMs, earliestMs) + this._delayMs()
      : Math.max(queue.nowMs + this._delayMs(), earliestMs);
    this._lastDelivery.set(key, atMs);
    queue.after(atMs - queue.nowMs, () => {
      if (!this._silenced.has(connection)) {
        deliver();
      }
    });
  }

  /** Sends a message outside a connection; a cut drops or delays it. */
  sendDatagram(from: string, to: string, deliver: () => void): void {
    if (!this.isCut(from, to)) {
      this._options.queue.after(this._delayMs(), deliver);
    } else if (this._options.random() < LATE_DELIVERY_RATE) {
      const sinceMs = this._options.queue.nowMs;
      const connection = undefined;
      this._heldMessages.push({ sinceMs, connection, from, to, deliver });
    }
  }

  private _delayMs(): number {
    return MIN_DELAY_MS + DELAY_JITTER_MS * this._options.random();
  }
}

const directionKey = (from: string, to: string): string => `${from}>${to}`;
