import { emptyEntryMessage } from '../messages.js';
import type {
  EntryMessage,
  Resources,
  StartMessage,
  Units,
} from '../messages.js';
import { fitsInto } from '../process/resource-ledger.js';
import type { Configuration } from '../version/configuration.js';

/** Names a runner incarnation and where it listens. */
export interface RunnerRef {
  readonly id: string;
  readonly incarnation: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly endpoint: string;
}

/** One connection to a runner. */
export interface RunnerLink {
  readonly linkId: string;
  readonly openedAtMs: number;
  /** Whether the runner has answered on this link. */
  ready: boolean;
  heardAtMs: number;
  sentAtMs: number;
  /** Starts that the runner allows now. */
  readonly credits: Units;
  /** Demand as last reported to the runner. */
  readonly reported: Units;
  /** The last time on the runner's clock, and when it arrived here. */
  runnerClockMs: number;
  clockHeardAtMs: number;
  runnerVersion: number;
}

/** Options of {@link RunnerPeer.openLink}. */
export interface OpenLinkOptions {
  readonly linkId: string;
  /** Incarnation of the entry. */
  readonly incarnation: string;
  readonly entry: string;
  readonly linkNumber: number;
}

/**
 * What an entry knows of one incarnation of a runner.
 *
 * Starts in flight outlive a connection: on a new link to the same incarnation
 * they are sent again, and the runner answers with what it has recorded.
 */
export class RunnerPeer {
  readonly ref: RunnerRef;
  /** Unique to the runner incarnation. */
  readonly key: string;
  /** Whether a successor of this entry would find the runner. */
  isFindable = false;
  /** Starts that the runner has neither refused nor answered. */
  readonly inFlight = new Map<string, StartMessage>();
  link: RunnerLink | undefined;
  /** When the runner was last heard of, by any way. */
  heardAtMs: number;
  /** No new link is opened before this time. */
  retryLinkAtMs = 0;
  /** No start is sent before this time. */
  pausedUntilMs = 0;
  /** Starts refused in a row because the endpoint could not be reached. */
  failuresInRow = 0;
  free: Resources = { cores: 0, memoryMb: 0, accelerators: 0 };
  accepting = false;
  private _outbox: EntryMessage | undefined;
  private _checkedConfig: Configuration | undefined;
  private _isInService = false;

  /**
   * @param ref - The runner incarnation.
   * @param now - Current time in milliseconds.
   */
  constructor(ref: RunnerRef, now: number) {
    this.ref = ref;
    this.key = runnerKey(ref);
    this.heardAtMs = now;
  }

  /** The batch that the next flush sends. */
  get outbox(): EntryMessage {
    this._outbox ??= emptyEntryMessage();
    return this._outbox;
  }

  /** Whether a batch waits to be sent. */
  get hasOutbox(): boolean {
    return this._outbox !== undefined;
  }

  /** @returns The batch to send, possibly empty; the next one starts anew. */
  takeOutbox(): EntryMessage {
    const msg = this.outbox;
    this._outbox = undefined;
    return msg;
  }

  /**
   * Starts a connection. Everything in flight is sent again on it.
   *
   * @param options - Identity of the entry and number of the link.
   * @param now - Current time in milliseconds.
   */
  openLink(options: OpenLinkOptions, now: number): void {
    this.link = {
      linkId: options.linkId,
      openedAtMs: now,
      ready: false,
      heardAtMs: now,
      sentAtMs: now,
      credits: { slots: 0, connections: 0 },
      reported: { slots: 0, connections: 0 },
      runnerClockMs: -Infinity,
      clockHeardAtMs: 0,
      runnerVersion: 0,
    };
    const released = this._outbox?.released ?? [];
    this._outbox = emptyEntryMessage();
    this._outbox.released.push(...released);
    this._outbox.open = {
      entry: options.entry,
      incarnation: options.incarnation,
      linkNumber: options.linkNumber,
    };
    for (const start of this.inFlight.values()) {
      this._outbox.starts.push({ ...start, resend: true });
    }
  }

  /**
   * @param pool - The pool that the start draws from.
   * @param needs - Resources that the task holds.
   * @param now - Current time in milliseconds.
   * @returns Whether a start may be sent now.
   */
  canStart(
    pool: keyof Units,
    needs: Resources | undefined,
    now: number,
  ): boolean {
    return (
      this.link !== undefined &&
      this.link.ready &&
      this.accepting &&
      this.link.credits[pool] > 0 &&
      this.pausedUntilMs <= now &&
      (needs === undefined || fitsInto(needs, this.free))
    );
  }

  /**
   * @param config - The configuration in force.
   * @returns Whether the runner's data centre and endpoint are in service.
   */
  isInService(config: Configuration): boolean {
    if (this._checkedConfig !== config) {
      const { dataCentre, endpoint } = this.ref;
      this._checkedConfig = config;
      this._isInService =
        config.isDataCentreInService(dataCentre) &&
        config.isEndpointInService(endpoint, dataCentre);
    }
    return this._isInService;
  }

  /**
   * Converts a time at which this entry's configuration was confirmed to the
   * runner's clock, never later than the true time: only intervals measured
   * on one clock are used.
   *
   * @param confirmedAtMs - The time on the entry's clock.
   * @returns The time on the runner's clock.
   */
  toRunnerClock(confirmedAtMs: number): number {
    const link = this.link;
    if (!link) {
      return -Infinity;
    }
    return (
      link.runnerClockMs - Math.max(0, link.clockHeardAtMs - confirmedAtMs)
    );
  }
}

/**
 * @param ref - A runner incarnation.
 * @returns A key that no other incarnation of any runner has.
 */
export const runnerKey = (ref: Pick<RunnerRef, 'id' | 'incarnation'>): string =>
  `${ref.id}@${ref.incarnation}`;
