import { create } from '@bufbuild/protobuf';
import type { Client, ConnectRouter } from '@connectrpc/connect';
import { RefusalReason, RunnerCore, storeKeys } from '@sapphiremux/core';
import type {
  FenceReply,
  MemberRow,
  RunnerAction,
  RunnerEvent,
} from '@sapphiremux/core';
import { advertisedAddress } from '@sapphiremux/settings';
import type { RunnerSettings } from '@sapphiremux/settings';
import {
  FenceReplySchema,
  RunnerMessageSchema,
  RunnerService,
} from '@sapphiremux/wire';
import type {
  EntryMessage,
  EntryService,
  RunnerMessage,
} from '@sapphiremux/wire';
import { EndpointClient } from '../connection/endpoint-client.js';
import { MessageQueue } from '../connection/message-queue.js';
import { RpcClients } from '../connection/rpc-clients.js';
import { connectEntry, startRpcServer } from '../connection/rpc.js';
import type { RpcServer } from '../connection/rpc.js';
import { loadTls } from '../connection/tls.js';
import type { TlsContext } from '../connection/tls.js';
import { now } from './clock.js';
import type { Log } from './logger.js';
import { RunnerMetrics } from './metrics.js';
import { StoreHttpClient } from './store-http-client.js';
import { TurnFlush } from './turn-flush.js';

/** Options of {@link RunnerHost}. */
export interface RunnerHostOptions {
  readonly settings: RunnerSettings;
  readonly incarnation: string;
  readonly log: Log;
  /** Called when a planned stop is complete. */
  readonly onStopped: () => void;
}

const TICK_MS = 250;
const ANNOUNCE_PERIOD_MS = 1000;
/** Announcement period once all known entries are connected. */
const CONNECTED_ANNOUNCE_PERIOD_MS = 5000;
const ANNOUNCE_TIMEOUT_MS = 1000;
const MEMBER_SCAN_LIMIT = 1000;

/**
 * Hosts a runner: feeds entry messages, endpoint results and ticks as events
 * into a {@link RunnerCore}, which does no I/O itself, and performs the actions
 * that it returns. Announces the runner to the entries, which then connect.
 */
export class RunnerHost {
  readonly metrics = new RunnerMetrics();
  private readonly _options: RunnerHostOptions;
  private readonly _core: RunnerCore;
  private readonly _tls: TlsContext | undefined;
  private readonly _store: StoreHttpClient;
  private readonly _endpoint = new EndpointClient();
  private readonly _entryClients: RpcClients<Client<typeof EntryService>>;
  private readonly _queues = new Map<string, MessageQueue<RunnerMessage>>();
  private readonly _fences = new Map<number, (reply: FenceReply) => void>();
  private _entryAddresses: string[] = [];
  private _server: RpcServer | undefined;
  private _timers: NodeJS.Timeout[] = [];
  private readonly _flush = new TurnFlush(() => {
    this.dispatch({ kind: 'flush' });
  });
  private _nextAnnounceAtMs = 0;
  private _nextId = 1;

  /** @param options - Settings, log and callbacks. */
  constructor(options: RunnerHostOptions) {
    const { settings, incarnation } = options;
    this._options = options;
    this._tls = loadTls(settings.tls);
    this._entryClients = new RpcClients((address) =>
      connectEntry({ address, tls: this._tls }),
    );
    this._store = new StoreHttpClient({
      url: settings.store.url,
      timeoutMs: settings.store.timeout,
      calls: this.metrics.storeCalls,
    });
    this._core = new RunnerCore({
      id: settings.id,
      incarnation,
      dataCentre: settings.data_centre,
      freshnessMs: settings.limits.freshness,
      announcementLeaseMs: settings.limits.announcement_lease,
      prefetch: settings.limits.prefetch,
      retentionMs: settings.limits.retention,
    });
  }

  /** Whether the endpoint is announced and an entry is connected. */
  get isReady(): boolean {
    return this._core.endpoint !== undefined && this._core.linkCount > 0;
  }

  /** Starts the RPC server, the periodic ticks and the announcements. */
  async start(): Promise<void> {
    const { host, port } = this._options.settings.listen;
    this._server = await startRpcServer({
      host,
      port,
      tls: this._tls,
      routes: (router) => {
        this._addRoutes(router);
      },
    });
    this._timers = [
      setInterval(() => {
        this.dispatch({ kind: 'tick' });
      }, TICK_MS),
      setInterval(() => {
        void this._announce();
      }, ANNOUNCE_PERIOD_MS),
    ];
  }

  /** @param event - Event that the runner handles now. */
  dispatch(event: RunnerEvent): void {
    for (const action of this._core.handle(event, now())) {
      this._run(action);
    }
    if (event.kind !== 'flush') {
      this._flush.schedule();
    }
  }

  /** Closes all connections and stops the timers. */
  async close(): Promise<void> {
    this._timers.forEach((timer) => {
      clearInterval(timer);
    });
    this._queues.forEach((queue) => {
      queue.close();
    });
    this._entryClients.close();
    await this._server?.close();
    await this._store.close();
  }

  private _addRoutes(router: ConnectRouter): void {
    router.service(RunnerService, {
      dispatch: (messages) => this._serveLink(messages),
      fence: async (req) => {
        const replyId = this._nextId++;
        const reply = await new Promise<FenceReply>((resolve) => {
          this._fences.set(replyId, resolve);
          this.dispatch({ kind: 'fence', replyId, req });
        });
        return create(FenceReplySchema, reply);
      },
    });
  }

  private _serveLink(
    messages: AsyncIterable<EntryMessage>,
  ): AsyncIterable<RunnerMessage> {
    const linkId = String(this._nextId++);
    const queue = new MessageQueue<RunnerMessage>();
    this._queues.set(linkId, queue);
    void this._receive(linkId, messages);
    return queue;
  }

  private async _receive(
    linkId: string,
    messages: AsyncIterable<EntryMessage>,
  ): Promise<void> {
    try {
      for await (const msg of messages) {
        this.dispatch({ kind: 'link-message', linkId, msg });
      }
    } catch {
      // A failed link is reported below in the same way as a closed one.
    }
    this._closeLink(linkId);
    this.dispatch({ kind: 'link-closed', linkId });
  }

  private _closeLink(linkId: string): void {
    this._queues.get(linkId)?.close();
    this._queues.delete(linkId);
  }

  private _run(action: RunnerAction): void {
    switch (action.kind) {
      case 'send':
        this._send(action);
        return;
      case 'close-link':
        this._closeLink(action.linkId);
        return;
      case 'call':
        void this._call(action);
        return;
      case 'abort-call':
        this._endpoint.abort(action.callId);
        return;
      case 'fence-reply':
        this._fences.get(action.replyId)?.(action.reply);
        this._fences.delete(action.replyId);
        return;
      case 'stopped':
        this._options.onStopped();
    }
  }

  private _send(action: Extract<RunnerAction, { kind: 'send' }>): void {
    for (const { reason } of action.msg.refusals) {
      this.metrics.refusals.inc({ reason: RefusalReason[reason] });
    }
    const msg = create(RunnerMessageSchema, action.msg);
    this._queues.get(action.linkId)?.push(msg);
  }

  private async _call(
    action: Extract<RunnerAction, { kind: 'call' }>,
  ): Promise<void> {
    const { callId, url, start } = action;
    const startedAtMs = now();
    const waitMs = Math.max(0, start.deadlineMs - startedAtMs);
    const outcome = await this._endpoint.call(callId, url, start, waitMs);
    this.metrics.calls.inc({ outcome: outcome.kind });
    this.metrics.callMs.observe(now() - startedAtMs);
    this.dispatch({ kind: 'call-done', callId, outcome });
  }

  /**
   * Updates the gauges and, when an announcement is due, announces the endpoint
   * to all known entries. Their replies list the entries to announce to next.
   */
  private async _announce(): Promise<void> {
    const { endpoint } = this._core;
    this.metrics.running.set(this._core.running);
    this.metrics.configVersion.set(this._core.configVersion);
    if (!endpoint || now() < this._nextAnnounceAtMs) {
      return;
    }
    if (this._entryAddresses.length === 0) {
      await this._findEntries();
    }
    const { settings, incarnation } = this._options;
    const req = {
      runner: settings.id,
      incarnation,
      address: advertisedAddress(settings),
      dataCentre: settings.data_centre,
      endpoint: endpoint.name,
    };
    const known = new Set<string>();
    await Promise.all(
      this._entryAddresses.map(async (address) => {
        const reply = await this._entryClients.call(
          address,
          ANNOUNCE_TIMEOUT_MS,
          (client, options) => client.announce(req, options),
        );
        reply?.entries.forEach((entry) => known.add(entry));
      }),
    );
    this._entryAddresses = [...known];
    const isConnected = this._core.linkCount >= this._entryAddresses.length;
    this._nextAnnounceAtMs = isConnected
      ? now() + CONNECTED_ANNOUNCE_PERIOD_MS
      : 0;
  }

  /** Reads the addresses from the store when none is known or none answered. */
  private async _findEntries(): Promise<void> {
    const reply = await this._store.call({
      kind: 'scan',
      prefix: storeKeys.memberPrefix,
      after: '',
      limit: MEMBER_SCAN_LIMIT,
    });
    if (reply.kind === 'rows') {
      this._entryAddresses = reply.rows.map(
        (row) => (JSON.parse(row.value) as MemberRow).address,
      );
    }
  }
}
