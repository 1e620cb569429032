import { RefusalReason } from '../messages.js';
import type {
  EntryMessage,
  RunnerConfig,
  StartMessage,
  Units,
} from '../messages.js';
import type {
  EndpointAnnouncement,
  WorkerAnnouncement,
} from './runner-events.js';

/** Options of {@link StartGate}; times in milliseconds. */
export interface StartGateOptions {
  /** Starts are refused if the configuration was last confirmed longer ago. */
  readonly freshnessMs?: number;
  /** Time after which an announcement that is not renewed expires. */
  readonly announcementLeaseMs?: number;
}

/** An announcement and the end of its lease. */
interface Lease<T> {
  readonly value: T;
  readonly expiresAtMs: number;
}

const DEFAULT_FRESHNESS_MS = 4000;
const DEFAULT_ANNOUNCEMENT_LEASE_MS = 3000;

const NO_CONFIG: RunnerConfig = {
  version: 0,
  dataCentreInService: false,
  endpointInService: false,
};

const NO_CAPACITY: Units = { slots: 0, connections: 0 };

/**
 * Decides whether a runner may start tasks. The endpoint must be announced and
 * not leaving, the configuration must have both endpoint and data centre in
 * service, and an entry must have confirmed that configuration recently.
 */
export class StartGate {
  private readonly _freshnessMs: number;
  private readonly _leaseMs: number;
  private _endpoint: Lease<EndpointAnnouncement> | undefined;
  private _worker: Lease<WorkerAnnouncement> | undefined;
  private _config = NO_CONFIG;
  /** When the configuration was last confirmed, on this runner's clock. */
  private _confirmedAtMs = -Infinity;

  /** @param options - Timeouts. */
  constructor(options: StartGateOptions) {
    this._freshnessMs = options.freshnessMs ?? DEFAULT_FRESHNESS_MS;
    this._leaseMs =
      options.announcementLeaseMs ?? DEFAULT_ANNOUNCEMENT_LEASE_MS;
  }

  /** Version of the configuration in force. */
  get configVersion(): number {
    return this._config.version;
  }

  /** The endpoint as last announced. */
  get endpoint(): EndpointAnnouncement | undefined {
    return this._endpoint?.value;
  }

  /** The worker as last announced. */
  get worker(): WorkerAnnouncement | undefined {
    return this._worker?.value;
  }

  /**
   * Capacity of the endpoint by pool. Each slot needs one connection; the
   * remaining connections form the connections pool.
   */
  get capacity(): Units {
    const endpoint = this.endpoint;
    if (!endpoint) {
      return NO_CAPACITY;
    }
    const slots = Math.min(endpoint.slots, endpoint.connections);
    return { slots, connections: endpoint.connections - slots };
  }

  /**
   * Stores an endpoint announcement and renews its lease.
   *
   * @param endpoint - The announcement.
   * @param now - Current time in milliseconds.
   * @returns Whether the entries must be notified of a change.
   */
  onEndpoint(endpoint: EndpointAnnouncement, now: number): boolean {
    const before = this.endpoint;
    this._endpoint = { value: endpoint, expiresAtMs: now + this._leaseMs };
    return (
      before?.name !== endpoint.name || before.leaving !== endpoint.leaving
    );
  }

  /**
   * Stores a worker announcement and renews its lease.
   *
   * @param worker - The announcement.
   * @param now - Current time in milliseconds.
   */
  onWorker(worker: WorkerAnnouncement, now: number): void {
    this._worker = { value: worker, expiresAtMs: now + this._leaseMs };
  }

  /**
   * Removes the worker if its lease has expired.
   *
   * @param now - Current time in milliseconds.
   * @returns Whether the worker was removed.
   */
  removeExpiredWorker(now: number): boolean {
    const hasExpired =
      this._worker !== undefined && this._worker.expiresAtMs < now;
    if (hasExpired) {
      this._worker = undefined;
    }
    return hasExpired;
  }

  /**
   * Applies the configuration state that an entry sends. Only a higher version
   * replaces the configuration in force, and only an equal or higher version
   * confirms it.
   *
   * @param msg - A batch from an entry.
   */
  onConfig(msg: EntryMessage): void {
    if (msg.config && msg.config.version > this._config.version) {
      this._config = msg.config;
    }
    if (msg.configVersion >= this._config.version) {
      this._confirmedAtMs = Math.max(this._confirmedAtMs, msg.confirmedAtMs);
    }
  }

  /**
   * @param now - Current time in milliseconds.
   * @returns Whether the endpoint is announced and not leaving.
   */
  isOpen(now: number): boolean {
    const endpoint = this._endpoint;
    return (
      endpoint !== undefined &&
      endpoint.expiresAtMs >= now &&
      !endpoint.value.leaving
    );
  }

  /**
   * @param start - A start sent by an entry.
   * @param now - Current time in milliseconds.
   * @returns Why the start must be refused, or `undefined` if it is allowed.
   */
  findRefusal(start: StartMessage, now: number): RefusalReason | undefined {
    const endpoint = this._endpoint;
    if (
      !endpoint ||
      endpoint.expiresAtMs < now ||
      endpoint.value.name !== start.endpoint
    ) {
      return RefusalReason.ENDPOINT_ABSENT;
    }
    if (endpoint.value.leaving || !this._config.endpointInService) {
      return RefusalReason.ENDPOINT_LEAVING;
    }
    if (!this._config.dataCentreInService) {
      return RefusalReason.DATA_CENTRE_OUT;
    }
    if (now - this._confirmedAtMs > this._freshnessMs) {
      return RefusalReason.STALE_CONFIGURATION;
    }
    return start.deadlineMs <= now ? RefusalReason.DEADLINE : undefined;
  }
}
