import { setTimeout as delay } from 'node:timers/promises';
import { create } from '@bufbuild/protobuf';
import type { Client, ConnectRouter } from '@connectrpc/connect';
import { ConnectError, Code } from '@connectrpc/connect';
import { EntryCore, ErrorCode, JobLogStep, RunState } from '@sapphiremux/core';
import type {
  EntryAction,
  EntryEvent,
  EntryMessage,
  JobStatus,
  PollReply,
  Reply,
} from '@sapphiremux/core';
import { advertisedAddress } from '@sapphiremux/settings';
import type { EntrySettings } from '@sapphiremux/settings';
import {
  AnnounceReplySchema,
  EntryMessageSchema,
  EntryService,
  JobReplySchema,
  PollReplySchema,
} from '@sapphiremux/wire';
import type {
  EntryMessage as WireEntryMessage,
  RunnerMessage,
} from '@sapphiremux/wire';
import type { Caller } from '../connection/caller.js';
import { RpcClients } from '../connection/rpc-clients.js';
import {
  connectEntry,
  connectRunner,
  startRpcServer,
} from '../connection/rpc.js';
import type { RpcServer } from '../connection/rpc.js';
import { StreamLinks } from '../connection/stream-links.js';
import { loadTls } from '../connection/tls.js';
import type { TlsContext } from '../connection/tls.js';
import { now } from './clock.js';
import { HeldCalls } from './held-calls.js';
import type { Log } from './logger.js';
import { EntryMetrics } from './metrics.js';
import { StoreHttpClient } from './store-http-client.js';
import { TurnFlush } from './turn-flush.js';

/** Options of {@link EntryHost}. */
export interface EntryHostOptions {
  readonly settings: EntrySettings;
  /** @returns An incarnation name that no process has used before. */
  readonly newIncarnation: () => string;
  readonly log: Log;
  /** Called when a planned stop is complete. */
  readonly onStopped: () => void;
}

type Action<K extends EntryAction['kind']> = Extract<EntryAction, { kind: K }>;

interface WaitingCaller {
  readonly kind: EntryEvent['kind'];
  readonly startedAtMs: number;
  readonly resolve: (reply: Reply) => void;
}

const TICK_MS = 50;
/** Tick period while the entry has no work. */
const IDLE_TICK_MS = 250;
const POLL_TIMEOUT_MS = 1000;
const FENCE_TIMEOUT_MS = 1000;
/** Added to the wait of a forwarded call for the network round trip. */
const FORWARD_ROUND_TRIP_MS = 1000;
/** Retry delay given to callers when the owner of a job does not answer. */
const RETRY_AFTER_MS = 1000;

/**
 * Hosts an entry: feeds calls, messages, store replies and ticks as events into
 * an {@link EntryCore}, which does no I/O itself, and performs the actions that
 * it returns. An incarnation that retires is replaced by a new one in the same
 * process.
 */
export class EntryHost {
  readonly metrics = new EntryMetrics();
  private readonly _options: EntryHostOptions;
  private readonly _address: string;
  private readonly _tls: TlsContext | undefined;
  private readonly _store: StoreHttpClient;
  private readonly _links: StreamLinks<string, WireEntryMessage, RunnerMessage>;
  private readonly _peers: RpcClients<Client<typeof EntryService>>;
  private readonly _callers = new Map<number, WaitingCaller>();
  private readonly _polls = new Map<number, (reply: PollReply) => void>();
  private _core: EntryCore;
  /** Number of the current core; replies to earlier cores are dropped. */
  private _generation = 1;
  private _server: RpcServer | undefined;
  private _timer: NodeJS.Timeout | undefined;
  private readonly _flush = new TurnFlush(() => {
    this.dispatch({ kind: 'flush' });
  });
  private readonly _held = new HeldCalls(() => {
    this._flush.runScheduled();
  });
  private _nextReplyId = 1;
  /** Number of calls that wait for the answer of another entry. */
  private _forwardedCalls = 0;

  /** @param options - Settings, log and callbacks. */
  constructor(options: EntryHostOptions) {
    const { settings } = options;
    this._options = options;
    this._address = advertisedAddress(settings);
    this._tls = loadTls(settings.tls);
    this._peers = new RpcClients((address) =>
      connectEntry({ address, tls: this._tls }),
    );
    this._store = new StoreHttpClient({
      url: settings.store.url,
      timeoutMs: settings.store.timeout,
      calls: this.metrics.storeCalls,
    });
    this._links = new StreamLinks({
      connect: (address) => {
        const rpc = connectRunner({ address, tls: this._tls });
        return {
          open: (outgoing) => rpc.client.dispatch(outgoing),
          close: () => {
            rpc.close();
          },
        };
      },
      onMessage: (linkId, msg) => {
        this.dispatch({ kind: 'link-message', linkId, msg });
      },
      onClosed: (linkId) => {
        this.dispatch({ kind: 'link-closed', linkId });
      },
    });
    this._core = this._createCore();
  }

  /** The current incarnation of the entry. */
  get core(): EntryCore {
    return this._core;
  }

  /** Settings of this process. */
  get settings(): EntrySettings {
    return this._options.settings;
  }

  /** Starts the RPC server and the periodic ticks. */
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
    this._tick();
  }

  /**
   * Passes a caller's call to the entry and waits for the reply.
   *
   * @param toEvent - Creates the event from the id that the reply will carry.
   * @param signal - Aborted when the caller disconnects.
   * @returns The reply; never settles when the caller disconnects first.
   */
  dispatchCall(
    toEvent: (replyId: number) => EntryEvent,
    signal?: AbortSignal,
  ): Promise<Reply> {
    const replyId = this._nextReplyId++;
    const event = toEvent(replyId);
    return new Promise((resolve) => {
      this._callers.set(replyId, {
        kind: event.kind,
        startedAtMs: now(),
        resolve,
      });
      signal?.addEventListener('abort', () => {
        this._onDisconnect(replyId);
      });
      this.dispatch(event);
    });
  }

  /**
   * Passes a single request to the entry, unless its caller has disconnected. A
   * busy process may read a request long after it was sent, and the caller may
   * have turned to another entry meanwhile.
   *
   * @param toEvent - Creates the event from the id that the reply will carry.
   * @param caller - Connection of the caller.
   * @returns The reply; never settles when the caller disconnects first.
   */
  dispatchRequest(
    toEvent: (replyId: number) => EntryEvent,
    caller: Caller,
  ): Promise<Reply> {
    const disconnected = new AbortController();
    caller.onGone(() => {
      disconnected.abort();
    });
    return this._held.hold({
      caller,
      pass: () => this.dispatchCall(toEvent, disconnected.signal),
      onDropped: () => {
        this._options.log.info('request dropped, its caller has gone');
      },
    });
  }

  /** @param event - Event that the entry handles now. */
  dispatch(event: EntryEvent): void {
    for (const action of this._core.handle(event, now())) {
      this._run(action);
    }
    if (event.kind !== 'flush') {
      this._flush.schedule();
    }
  }

  /** Waits until no caller waits for an answer any more. */
  async answered(): Promise<void> {
    while (this._held.count + this._callers.size + this._forwardedCalls > 0) {
      await delay(TICK_MS);
    }
  }

  /** Closes all connections and stops the ticks. */
  async close(): Promise<void> {
    clearTimeout(this._timer);
    this._links.closeAll();
    this._peers.close();
    await this._server?.close();
    await this._store.close();
  }

  private _tick(): void {
    this.dispatch({ kind: 'tick' });
    this._updateGauges();
    const periodMs = this._core.isBusy ? TICK_MS : IDLE_TICK_MS;
    this._timer = setTimeout(() => {
      this._tick();
    }, periodMs);
  }

  private _createCore(): EntryCore {
    const { settings, newIncarnation } = this._options;
    const { limits } = settings;
    return new EntryCore(
      {
        id: settings.id,
        incarnation: newIncarnation(),
        address: this._address,
        dataCentre: settings.data_centre,
        random: Math.random,
        writesPerSecond: settings.store.writes_per_second,
        readsPerSecond: settings.store.reads_per_second,
        freshnessMs: limits.freshness,
        memberLeaseMs: limits.member_lease,
        linkTimeoutMs: limits.link_silence,
        runnerLostMs: limits.runner_lost,
        claimTimeoutMs: limits.claim_timeout,
        routineShare: limits.routine_share,
      },
      now(),
    );
  }

  private _onDisconnect(replyId: number): void {
    if (this._callers.delete(replyId)) {
      this.dispatch({ kind: 'caller-gone', replyId });
    }
  }

  private _addRoutes(router: ConnectRouter): void {
    router.service(EntryService, {
      announce: (req) => {
        this.dispatch({ kind: 'announce', req });
        const others = this._core.members.map((view) => view.row.address);
        const entries = [this._address, ...others];
        return create(AnnounceReplySchema, { entries });
      },
      poll: async (req) => {
        const replyId = this._nextReplyId++;
        const reply = await new Promise<PollReply>((resolve) => {
          this._polls.set(replyId, resolve);
          this.dispatch({ kind: 'poll', replyId, req });
        });
        return create(PollReplySchema, reply);
      },
      job: async (req) => {
        const reply = await this.dispatchCall((replyId) => ({
          kind: 'ask',
          replyId,
          job: req.job,
          waitMs: req.waitMs,
          cancel: req.cancel,
          forward: false,
        }));
        if (reply.kind !== 'job') {
          throw new ConnectError('not the owner', Code.NotFound);
        }
        const status = JSON.stringify(reply.status);
        return create(JobReplySchema, { status });
      },
    });
  }

  private _run(action: EntryAction): void {
    switch (action.kind) {
      case 'reply':
        this._onReply(action.replyId, action.reply);
        return;
      case 'poll-answer':
        this._polls.get(action.replyId)?.(action.reply);
        this._polls.delete(action.replyId);
        return;
      case 'store':
        void this._callStore(action);
        return;
      case 'open-link':
        this._links.open(action.linkId, action.address);
        return;
      case 'send':
        this._send(action);
        return;
      case 'close-link':
        this._links.close(action.linkId);
        return;
      case 'fence':
        void this._fence(action);
        return;
      case 'poll-peer':
        void this._pollPeer(action);
        return;
      case 'job-step':
        this._logStep(action);
        return;
      case 'ticket-adopted':
        this._options.log.info('ticket in force', {
          ticket: action.ticket.number,
          author: action.ticket.author,
          afterMs: Math.round(now() - action.ticket.atMs),
        });
        return;
      case 'retire':
        this._replaceCore(action.reason);
        return;
      case 'stopped':
        this._options.onStopped();
    }
  }

  private _onReply(replyId: number, reply: Reply): void {
    const caller = this._callers.get(replyId);
    if (!caller) {
      return;
    }
    this._callers.delete(replyId);
    if (reply.kind === 'forward') {
      void this._forward(reply).then(caller.resolve);
      return;
    }
    const code = reply.kind === 'error' ? reply.error.code : '';
    this.metrics.replies.inc({ kind: caller.kind, code });
    this.metrics.replyMs.observe(
      { kind: caller.kind },
      now() - caller.startedAtMs,
    );
    caller.resolve(reply);
  }

  private async _forward(
    reply: Extract<Reply, { kind: 'forward' }>,
  ): Promise<Reply> {
    const { address, job, waitMs, cancel } = reply;
    this._forwardedCalls += 1;
    const answer = await this._peers.call(
      address,
      waitMs + FORWARD_ROUND_TRIP_MS,
      (client, options) => client.job({ job, waitMs, cancel }, options),
    );
    this._forwardedCalls -= 1;
    if (answer) {
      return { kind: 'job', status: JSON.parse(answer.status) as JobStatus };
    }
    return {
      kind: 'error',
      error: {
        code: ErrorCode.Unavailable,
        detail: `The entry that runs job "${job}" does not answer now.`,
        runState: RunState.MAY_HAVE_RUN,
        retryAfterMs: RETRY_AFTER_MS,
      },
    };
  }

  /**
   * Waits for a result that the entry requested and dispatches it as an event.
   * The result is dropped when the incarnation has been replaced meanwhile.
   */
  private async _dispatchResult<T>(
    work: Promise<T>,
    toEvent: (answer: T) => EntryEvent,
  ): Promise<void> {
    const generation = this._generation;
    const answer = await work;
    if (generation === this._generation) {
      this.dispatch(toEvent(answer));
    }
  }

  private _callStore({ opId, req }: Action<'store'>): Promise<void> {
    return this._dispatchResult(this._store.call(req), (reply) => ({
      kind: 'store-reply',
      opId,
      reply,
    }));
  }

  private _send(action: Action<'send'>): void {
    const { starts, cancels } = action.msg;
    this.metrics.starts.inc(starts.length);
    if (cancels.length > 0) {
      this.metrics.wasted.inc({ kind: 'cancel' }, cancels.length);
    }
    if (isHeartbeat(action.msg)) {
      this.metrics.wasted.inc({ kind: 'heartbeat' });
    }
    this._links.send(action.linkId, create(EntryMessageSchema, action.msg));
  }

  private _fence({ callId, address, req }: Action<'fence'>): Promise<void> {
    const rpc = connectRunner({ address, tls: this._tls });
    const work = rpc.client
      .fence(req, { timeoutMs: FENCE_TIMEOUT_MS })
      .catch(() => undefined)
      .finally(() => {
        rpc.close();
      });
    return this._dispatchResult(work, (reply) => ({
      kind: 'fence-reply',
      callId,
      reply,
    }));
  }

  private _pollPeer(action: Action<'poll-peer'>): Promise<void> {
    const { callId, address, req } = action;
    const work = this._peers.call(address, POLL_TIMEOUT_MS, (client, options) =>
      client.poll(req, options),
    );
    return this._dispatchResult(work, (reply) => ({
      kind: 'poll-reply',
      callId,
      reply,
    }));
  }

  private _logStep(action: Action<'job-step'>): void {
    const { step, job, detail } = action;
    this.metrics.jobSteps.inc({ step });
    if (step === JobLogStep.Refused) {
      this.metrics.wasted.inc({ kind: 'refused-start' });
    }
    this._options.log.info(`job ${step}`, { job, detail });
  }

  private _replaceCore(reason: string): void {
    this._options.log.warn('standing down', { reason });
    this._links.closeAll();
    this._generation += 1;
    this._core = this._createCore();
  }

  private _updateGauges(): void {
    this.metrics.waiting.set(this._core.waiting);
    this.metrics.openJobs.set(this._core.openJobs);
    this.metrics.configVersion.set(this._core.config.version);
  }
}

const isHeartbeat = (msg: EntryMessage): boolean =>
  !msg.open &&
  !msg.returned &&
  !msg.demand &&
  !msg.config &&
  msg.starts.length + msg.cancels.length + msg.released.length === 0;
