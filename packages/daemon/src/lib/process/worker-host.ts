import { WorkerDriver } from '@sapphiremux/core';
import type {
  DataCentreRead,
  WorkerAction,
  WorkerDriverOptions,
  WorkerEvent,
  WorkerHeartbeat,
  WorkerOrder,
  WorkerReport,
} from '@sapphiremux/core';
import { decodeWorkerOrder, encodeWorkerReport } from '@sapphiremux/wire';
import { startMessageServer } from '../connection/message-server.js';
import type { MessageServer } from '../connection/message-server.js';
import type {
  MessageHandlers,
  MessageSocket,
} from '../connection/message-socket.js';
import { now } from './clock.js';
import { WorkerMetrics } from './fleet-metrics.js';
import type { WorkerPort } from './fleet-ports.js';
import { IoTimeout } from './io-timeout.js';
import type { Log } from './logger.js';
import { TurnFlush } from './turn-flush.js';

/** Options of {@link WorkerHost}. */
export interface WorkerHostOptions {
  readonly driver: WorkerDriverOptions;
  readonly worker: WorkerPort;
  /** Address for links from the entries. */
  readonly listen: { readonly host: string; readonly port: number };
  readonly log: Log;
  /**
   * Reads whether a data centre is out of service.
   *
   * @returns The state, or `undefined` if the store does not answer; never rejects.
   */
  readonly readDataCentre: (
    dataCentre: string,
  ) => Promise<DataCentreRead | undefined>;
  /** Called with each heartbeat of the worker that answers at its address. */
  readonly onConfirmed: (worker: WorkerHeartbeat) => void;
  /**
   * Called with the version of the registration row that an entry has read; 0 if
   * the row is absent there.
   */
  readonly onRegistrationSeen: (version: number) => void;
  /** Called when a planned stop is complete. */
  readonly onStopped: () => void;
}

/** A connection that an entry has opened. */
type Link = MessageSocket<WorkerReport, WorkerOrder>;

const TICK_MS = 100;

/**
 * Hosts the worker driver process: feeds entry orders, worker replies and ticks
 * as events into a {@link WorkerDriver}, which does no I/O itself, and performs
 * the actions that it returns.
 */
export class WorkerHost {
  readonly metrics = new WorkerMetrics();
  private readonly _options: WorkerHostOptions;
  private readonly _driver: WorkerDriver;
  private readonly _links = new Map<number, Link>();
  private _server: MessageServer | undefined;
  private _timer: IoTimeout | undefined;
  private _dueTimer: NodeJS.Timeout | undefined;
  private _dueTimerMs = Number.POSITIVE_INFINITY;
  private readonly _flush = new TurnFlush(() => {
    this.dispatch({ kind: 'flush' });
    this._scheduleDueTick();
  });
  private _nextLinkId = 1;

  /** @param options - The worker, address, log and callbacks. */
  constructor(options: WorkerHostOptions) {
    this._options = options;
    this._driver = new WorkerDriver(options.driver);
  }

  /** Starts the periodic ticks and the server for links. */
  async start(): Promise<void> {
    this._tick();
    this._server = await startMessageServer({
      ...this._options.listen,
      format: { encode: encodeWorkerReport, decode: decodeWorkerOrder },
      accept: () => this._accept(),
    });
  }

  /** @param event - Event that the driver handles now. */
  dispatch(event: WorkerEvent): void {
    for (const action of this._driver.handle(event, now())) {
      this._run(action);
    }
    if (event.kind !== 'flush') {
      this._flush.schedule();
    }
  }

  /** Closes all connections and stops the timers. */
  async close(): Promise<void> {
    this._timer?.clear();
    clearTimeout(this._dueTimer);
    await this._server?.close();
    await this._options.worker.close();
  }

  private _tick(): void {
    this.dispatch({ kind: 'tick' });
    this.metrics.activeRuns.set(this._driver.activeRuns);
    this._timer = new IoTimeout(() => {
      this._tick();
    }, TICK_MS);
  }

  /**
   * Schedules a tick for the driver's next poll of the worker or the end of the
   * wait of a start, which can be due before the next periodic tick.
   */
  private _scheduleDueTick(): void {
    const dueMs = this._driver.nextDueAtMs;
    if (dueMs === undefined || dueMs >= this._dueTimerMs) {
      return;
    }
    clearTimeout(this._dueTimer);
    this._dueTimerMs = dueMs;
    this._dueTimer = setTimeout(
      () => {
        this._dueTimerMs = Number.POSITIVE_INFINITY;
        this.dispatch({ kind: 'tick' });
      },
      Math.max(1, dueMs - now()),
    );
  }

  private _accept(): MessageHandlers<WorkerReport, WorkerOrder> {
    const linkId = this._nextLinkId++;
    return {
      onOpen: (link) => {
        this._links.set(linkId, link);
        this.dispatch({ kind: 'link-open', linkId });
      },
      onMessage: (order) => {
        if (order.registrationVersion !== undefined) {
          this._options.onRegistrationSeen(order.registrationVersion);
        }
        this.dispatch({ kind: 'order', linkId, order });
      },
      onClosed: (detail) => {
        this._options.log.info('link from entry closed', { linkId, detail });
        if (this._links.delete(linkId)) {
          this.dispatch({ kind: 'link-closed', linkId });
        }
      },
    };
  }

  private _run(action: WorkerAction): void {
    switch (action.kind) {
      case 'call':
        void this._call(action);
        return;
      case 'report':
        this._links.get(action.linkId)?.send(action.report);
        return;
      case 'close-link':
        this._links.get(action.linkId)?.close();
        this._links.delete(action.linkId);
        return;
      case 'log':
        this.metrics.decisions.inc(action.message);
        this._options.log.info(action.message, action.fields);
        return;
      case 'confirmed':
        this._options.onConfirmed(action.worker);
        return;
      case 'read-data-centre':
        void this._readDataCentre(action.dataCentre);
        return;
      case 'stopped':
        this._options.onStopped();
    }
  }

  private async _readDataCentre(dataCentre: string): Promise<void> {
    const read = await this._options.readDataCentre(dataCentre);
    this.dispatch({ kind: 'data-centre-read', read });
  }

  private async _call({
    callId,
    call,
  }: Extract<WorkerAction, { kind: 'call' }>): Promise<void> {
    const startedAtMs = now();
    const reply = await this._options.worker.call(call);
    this.metrics.calls.inc({ kind: call.kind, reply: reply.kind });
    this.metrics.callMs.observe({ kind: call.kind }, now() - startedAtMs);
    this.dispatch({ kind: 'reply', callId, reply });
  }
}
