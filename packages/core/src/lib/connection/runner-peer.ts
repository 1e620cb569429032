import { emptyEntryMessage } from '../messages.js';
import type {
  EntryMessage,
  Resources,
  StartMessage,
  Units,
} from '../messages.js';
import { fitsInto } from '../process/resource-ledger.js';
import type { Configuration } from '../version/configuration.js';

/** Identifies a runner incarnation and its address. */
export interface RunnerRef {
  readonly id: string;
  readonly incarnation: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly endpoint: string;
}

/** The entry's end of a connection to a runner. */
export interface RunnerLink {
  readonly linkId: string;
  readonly openedAtMs: number;
  /** Whether the runner has answered on this link. */
  ready: boolean;
  /** When the last message of the runner arrived, on the entry's clock. */
  lastMessageAtMs: number;
  /** When the last batch was sent, on the entry's clock. */
  sentAtMs: number;
  /** Number of starts that the runner currently allows. */
  readonly credits: Units;
  /** The demand last reported to the runner. */
  readonly reportedDemand: Units;
  /** Latest reading of the runner's clock. */
  runnerClockMs: number;
  /** When that reading arrived, on the entry's clock. */
  runnerClockReadAtMs: number;
  /** Version of the configuration in force at the runner. */
  runnerConfigVersion: number;
}

/** Options of {@link RunnerPeer.openLink}. */
export interface OpenLinkOptions {
  readonly linkId: string;
  /** Incarnation of the entry. */
  readonly incarnation: string;
  /** Id of the entry. */
  readonly entry: string;
  /** Increases with each link that the entry opens. */
  readonly linkNumber: number;
}

/**
 * An entry's state for one incarnation of a runner: its link, the starts in
 * flight and the next batch to send.
 *
 * Starts in flight outlive a connection. They are resent on a new link to the
 * same incarnation, and the runner answers those that it has recorded from its
 * records.
 */
export class RunnerPeer {
  readonly ref: RunnerRef;
  /** Unique to the runner incarnation. */
  readonly key: string;
  /** Whether the entry's member row lists the runner for a successor. */
  isRegistered = false;
  /**
   * Starts that the runner has neither refused nor answered and that are not
   * cancelled, by task key.
   */
  readonly inFlight = new Map<string, StartMessage>();
  link: RunnerLink | undefined;
  /** Time of the last contact, by a link message or an announcement. */
  lastContactAtMs: number;
  /** No new link is opened before this time. */
  reconnectAtMs = 0;
  /** No start is sent before this time. */
  backoffUntilMs = 0;
  /** Refusals since the last result, except those for lack of capacity. */
  consecutiveRefusals = 0;
  /** Last reported free resources, less those of the starts sent since. */
  free: Resources = { cores: 0, memoryMb: 0, accelerators: 0 };
  /** Whether the runner reported that its endpoint accepts starts. */
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
    this.lastContactAtMs = now;
  }

  /** The batch that the next flush sends; created on first access. */
  get outbox(): EntryMessage {
    this._outbox ??= emptyEntryMessage();
    return this._outbox;
  }

  /** Whether there is a batch to send. */
  get hasOutbox(): boolean {
    return this._outbox !== undefined;
  }

  /** @returns The batch to send, possibly empty; it is then cleared. */
  takeOutbox(): EntryMessage {
    const msg = this.outbox;
    this._outbox = undefined;
    return msg;
  }

  /**
   * Opens a link. All starts in flight are resent on it. Of an unsent batch,
   * only the released jobs are kept.
   *
   * @param options - Identity of the entry and number of the link.
   * @param now - Current time in milliseconds.
   */
  openLink(options: OpenLinkOptions, now: number): void {
    this.link = {
      linkId: options.linkId,
      openedAtMs: now,
      ready: false,
      lastMessageAtMs: now,
      sentAtMs: now,
      credits: { slots: 0, connections: 0 },
      reportedDemand: { slots: 0, connections: 0 },
      runnerClockMs: -Infinity,
      runnerClockReadAtMs: 0,
      runnerConfigVersion: 0,
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
   * @param pool - The pool from which the task takes a unit.
   * @param needs - Resources that the task declares.
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
      this.backoffUntilMs <= now &&
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
   * Converts the time at which this entry's configuration was confirmed to the
   * runner's clock. The result is never later than the true time: the age of
   * the confirmation is measured on the entry's clock alone and subtracted from
   * a reading that the runner took before it arrived here.
   *
   * @param confirmedAtMs - The time on the entry's clock.
   * @returns The time on the runner's clock; `-Infinity` before its first
   * reading.
   */
  toRunnerClock(confirmedAtMs: number): number {
    const link = this.link;
    if (!link) {
      return -Infinity;
    }
    return (
      link.runnerClockMs - Math.max(0, link.runnerClockReadAtMs - confirmedAtMs)
    );
  }
}

/**
 * @param ref - A runner incarnation.
 * @returns A key that no other incarnation of any runner has.
 */
export const runnerKey = (ref: Pick<RunnerRef, 'id' | 'incarnation'>): string =>
  `${ref.id}@${ref.incarnation}`;
