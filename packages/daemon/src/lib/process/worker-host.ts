import { create } from '@bufbuild/protobuf';
import type { ConnectRouter } from '@connectrpc/connect';
import { WorkerDriver } from '@sapphiremux/core';
import type {
  WorkerAction,
  WorkerDriverOptions,
  WorkerEvent,
} from '@sapphiremux/core';
import { WorkerReportSchema, WorkerService } from '@sapphiremux/wire';
import type {
  WorkerOrder,
  WorkerReport as WireWorkerReport,
} from '@sapphiremux/wire';
import { MessageQueue } from '../connection/message-queue.js';
import { startRpcServer } from '../connection/rpc.js';
import type { RpcServer } from '../connection/rpc.js';
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
  /** Address for RPC calls from the entries. */
  readonly listen: { readonly host: string; readonly port: number };
  readonly log: Log;
  /** Called when a planned stop is complete. */
  readonly onStopped: () => void;
}

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
  private readonly _links = new Map<number, MessageQueue<WireWorkerReport>>();
  private _server: RpcServer | undefined;
  private _timer: IoTimeout | undefined;
  private _pollTimer: NodeJS.Timeout | undefined;
  private readonly _flush = new TurnFlush(() => {
    this.dispatch({ kind: 'flush' });
    this._schedulePoll();
  });
  private _nextLinkId = 1;

  /** @param options - The worker, address, log and callbacks. */
  constructor(options: WorkerHostOptions) {
    this._options = options;
    this._driver = new WorkerDriver(options.driver);
  }

  /** Starts the periodic ticks and the RPC server. */
  async start(): Promise<void> {
    this._tick();
    this._server = await startRpcServer({
      ...this._options.listen,
      routes: (router) => {
        this._addRoutes(router);
      },
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
    clearTimeout(this._pollTimer);
    for (const queue of this._links.values()) {
      queue.close();
    }
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
   * Schedules a tick for the driver's next poll of the worker, which can be due
   * before the next periodic tick.
   */
  private _schedulePoll(): void {
    const dueMs = this._driver.nextPollAtMs;
    if (dueMs === undefined || this._pollTimer !== undefined) {
      return;
    }
    this._pollTimer = setTimeout(
      () => {
        this._pollTimer = undefined;
        this.dispatch({ kind: 'tick' });
      },
      Math.max(1, dueMs - now()),
    );
  }

  private _addRoutes(router: ConnectRouter): void {
    router.service(WorkerService, {
      drive: (orders) => this._drive(orders),
    });
  }

  private _drive(
    orders: AsyncIterable<WorkerOrder>,
  ): MessageQueue<WireWorkerReport> {
    const linkId = this._nextLinkId++;
    const queue = new MessageQueue<WireWorkerReport>();
    this._links.set(linkId, queue);
    this.dispatch({ kind: 'link-open', linkId });
    void this._receive(linkId, orders, queue);
    return queue;
  }

  private async _receive(
    linkId: number,
    orders: AsyncIterable<WorkerOrder>,
    queue: MessageQueue<WireWorkerReport>,
  ): Promise<void> {
    let detail = 'closed by the entry';
    try {
      for await (const order of orders) {
        this.dispatch({ kind: 'order', linkId, order });
      }
    } catch (err) {
      detail = (err as Error).message;
    }
    this._options.log.info('link from entry closed', { linkId, detail });
    this._links.delete(linkId);
    queue.close();
    this.dispatch({ kind: 'link-closed', linkId });
  }

  private _run(action: WorkerAction): void {
    switch (action.kind) {
      case 'call':
        void this._call(action);
        return;
      case 'report':
        this._links
          .get(action.linkId)
          ?.push(create(WorkerReportSchema, action.report));
        return;
      case 'log':
        this.metrics.decisions.inc(action.message);
        this._options.log.info(action.message, action.fields);
        return;
      case 'stopped':
        this._options.onStopped();
    }
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
