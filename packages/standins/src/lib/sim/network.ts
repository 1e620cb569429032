import type { EventQueue } from './event-queue.js';

/** How the way between two processes can be disturbed. */
export type Disturbance = 'cut' | 'cut-one-way' | 'silence' | 'stall';

/** Options of {@link Network}. */
export interface NetworkOptions {
  readonly queue: EventQueue;
  /** Uniform random numbers from 0 to 1. */
  readonly random: () => number;
}

interface Held {
  /** Absent for a single message. */
  readonly connection: string | undefined;
  readonly from: string;
  readonly to: string;
  readonly deliver: () => void;
}

const MIN_DELAY_MS = 0.3;
const DELAY_SPREAD_MS = 1.5;
const LATE_SHARE = 0.5;

/** Messages between named processes: delays, cuts and silent connections. */
export class Network {
  private readonly _options: NetworkOptions;
  private readonly _cuts = new Set<string>();
  private readonly _lastDelivery = new Map<string, number>();
  private readonly _silent = new Set<string>();
  private readonly _stalled = new Set<string>();
  private _held: Held[] = [];

  /** @param options - Virtual time and randomness. */
  constructor(options: NetworkOptions) {
    this._options = options;
  }

  /** Stops messages from one process to another. */
  cut(from: string, to: string): void {
    this._cuts.add(direction(from, to));
  }

  /** Stops messages between two processes, both ways. */
  cutBoth(one: string, other: string): void {
    this.cut(one, other);
    this.cut(other, one);
  }

  /**
   * @param kind - What happens.
   * @param dialler - The process that has opened the connections.
   * @param peer - The process that answers; a cut one way stops its messages.
   * @param connections - The connections between them.
   */
  disturb(
    kind: Disturbance,
    dialler: string,
    peer: string,
    connections: readonly string[],
  ): void {
    switch (kind) {
      case 'cut':
        this.cutBoth(dialler, peer);
        return;
      case 'cut-one-way':
        this.cut(peer, dialler);
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

  /** @returns Whether messages from one process to the other are stopped. */
  isCut(from: string, to: string): boolean {
    return this._cuts.has(direction(from, to));
  }

  /** Ends all cuts and stalls; what was held back is delivered now. */
  heal(): void {
    this._cuts.clear();
    this._stalled.clear();
    const held = this._held;
    this._held = [];
    for (const { connection, from, to, deliver } of held) {
      if (connection === undefined) {
        this.datagram(from, to, deliver);
      } else {
        this.stream(connection, from, to, deliver);
      }
    }
  }

  /** @param connection - A connection that carries nothing any more. */
  silence(connection: string): void {
    this._silent.add(connection);
  }

  /** @param connection - A connection that holds everything back for now. */
  stall(connection: string): void {
    this._stalled.add(connection);
  }

  /**
   * Sends in order over a connection. While the way is cut the message waits,
   * as in a transport that sends again; on a silent connection it is lost.
   */
  stream(
    connection: string,
    from: string,
    to: string,
    deliver: () => void,
  ): void {
    if (this._silent.has(connection)) {
      return;
    }
    if (this.isCut(from, to) || this._stalled.has(connection)) {
      this._held.push({ connection, from, to, deliver });
      return;
    }
    const { queue } = this._options;
    const key = `${connection} ${from}`;
    const earliestMs = this._lastDelivery.get(key) ?? 0;
    const atMs = Math.max(queue.nowMs + this._delayMs(), earliestMs);
    this._lastDelivery.set(key, atMs);
    queue.after(atMs - queue.nowMs, () => {
      if (!this._silent.has(connection)) {
        deliver();
      }
    });
  }

  /**
   * Sends a single message, which a cut loses or holds back.
   */
  datagram(from: string, to: string, deliver: () => void): void {
    if (!this.isCut(from, to)) {
      this._options.queue.after(this._delayMs(), deliver);
    } else if (this._options.random() < LATE_SHARE) {
      this._held.push({ connection: undefined, from, to, deliver });
    }
  }

  private _delayMs(): number {
    return MIN_DELAY_MS + DELAY_SPREAD_MS * this._options.random();
  }
}

const direction = (from: string, to: string): string => `${from}>${to}`;
