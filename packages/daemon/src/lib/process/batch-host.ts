import { setImmediate } from 'node:timers/promises';
import { create } from '@bufbuild/protobuf';
import type { Client, ConnectRouter } from '@connectrpc/connect';
import { BatchEntry, LoadShedder, STOPPED_REPLY } from '@sapphiremux/core';
import type {
  BatchAction,
  BatchEntryOptions,
  BatchEvent,
  BatchReply,
  QueueRoute,
  WorkerOrder,
  WorkerReport,
} from '@sapphiremux/core';
import {
  CancelJobReplySchema,
  EntryPeerService,
  NoteLateStartsReplySchema,
  ProbeReplySchema,
  decodeWorkerReport,
  encodeWorkerOrder,
} from '@sapphiremux/wire';
import type { Caller } from '../connection/caller.js';
import { MessageSocket } from '../connection/message-socket.js';
import { RpcClients } from '../connection/rpc-clients.js';
import { connectPeer, startRpcServer } from '../connection/rpc.js';
import type { RpcServer } from '../connection/rpc.js';
import { now } from './clock.js';
import { BatchEntryMetrics } from './fleet-metrics.js';
import type { StorePort } from './fleet-ports.js';
import { HeldCalls } from './held-calls.js';
import { IoTimeout } from './io-timeout.js';
import type { Log } from './logger.js';
import { PauseDetector } from './pause-detector.js';
import { TurnFlush } from './turn-flush.js';

/** Options of {@link BatchHost}. */
export interface BatchHostOptions {
  /** Options of each {@link BatchEntry} that do not change between incarnations. */
  readonly entry: Omit<
    BatchEntryOptions,
    'incarnation' | 'random' | 'stoppingSinceMs'
  >;
  /** @returns An incarnation name that no process has used before. */
  readonly newIncarnation: () => string;
  /** Address for RPC calls from other processes. */
  readonly listen: { readonly host: string; readonly port: number };
  readonly openStore: (metrics: BatchEntryMetrics) => StorePort;
  readonly log: Log;
  /** Called when a planned stop is complete. */
  readonly onStopped: () => void;
}

type Action<K extends BatchAction['kind']> = Extract<BatchAction, { kind: K }>;

/** A connection to a worker driver process. */
type Link = MessageSocket<WorkerOrder, WorkerReport>;

interface WaitingCaller {
  readonly call: BatchEvent['kind'];
  readonly startedAtMs: number;
  readonly resolve: (reply: BatchReply) => void;
}

/** What has happened since a planned stop began; logged when it ends. */
interface StopProgress {
  readonly sinceMs: number;
  calls: number;
  lastCallAtMs: number;
}

const LINK_FORMAT = { encode: encodeWorkerOrder, decode: decodeWorkerReport };
const TICK_MS = 50;
/** Tick period while the entry has no jobs. */
const IDLE_TICK_MS = 100;
/** Duration above which a turn of the event loop is logged. */
const SLOW_TURN_MS = 200;
/** When callers may come back to an entry that can't keep up. */
const SHED_RETRY_AFTER_MS = 2000;
/**
 * Polls of the sockets after a planned stop. Node.js accepts one connection in
 * each, and calls that came in a long turn wait in connections not yet accepted.
 */
const LAST_POLLS = 20;
const PROBE_TIMEOUT_MS = 400;
const FORWARD_TIMEOUT_MS = 600;
/** Notes that arrive later are of no use: the job has been sent again. */
const NOTE_TIMEOUT_MS = 600;
/**
 * Maximum wait at the owner for a forwarded cancellation. Shorter than
 * {@link FORWARD_TIMEOUT_MS}, so that the reply arrives in time.
 */
const FORWARDED_CANCEL_WAIT_MS = 550;

/**
 * Hosts an entry on the platform: feeds calls, messages, store replies and
 * ticks as events into a {@link BatchEntry}, which does no I/O itself, and
 * performs the actions that it returns. An incarnation that retires is replaced
 * by a new one in the same process.
 */
export class BatchHost {
  readonly metrics = new BatchEntryMetrics();
  private readonly _options: BatchHostOptions;
  private readonly _store: StorePort;
  private readonly _links = new Map<number, Link>();
  private readonly _peers = new RpcClients<Client<typeof EntryPeerService>>(
    (address) => connectPeer({ address }),
  );
  private readonly _pauses = new PauseDetector();
  private readonly _shedder = new LoadShedder(Math.random);
  private _lastTickAtMs: number | undefined;
  /** Time of the tick before the last one. */
  private _earlierTickAtMs: number | undefined;
  private _tickIntervalMs = IDLE_TICK_MS;
  /** Delay of the event loop at the last tick, in milliseconds. */
  private _delayMs = 0;
  private readonly _callers = new Map<number, WaitingCaller>();
  private _core: BatchEntry;
  /** Number of the current core; replies to earlier cores are dropped. */
  private _generation = 1;
  private _server: RpcServer | undefined;
  private _timer: IoTimeout | undefined;
  private readonly _flush = new TurnFlush((turnMs, pollAgeMs) => {
    this.dispatch({ kind: 'flush', pollAgeMs });
    this._observeTurn(turnMs);
  });
  private readonly _heldCalls = new HeldCalls(() => {
    this._flush.runScheduled();
  });
  private _nextReplyId = 1;
  private _plannedStop: StopProgress | undefined;
  /** Whether the planned stop is complete; the entry then answers no more. */
  private _hasStopped = false;

  /** @param options - Settings, store, log and callbacks. */
  constructor(options: BatchHostOptions) {
    this._options = options;
    this._store = options.openStore(this.metrics);
    this._core = this._createCore();
  }

  /** The current incarnation of the entry. */
  get core(): BatchEntry {
    return this._core;
  }

  /** Starts the RPC server and the periodic ticks. */
  async start(): Promise<void> {
    this._server = await startRpcServer({
      ...this._options.listen,
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
   * @param caller - Absent if it does not matter whether the caller disconnects.
   * @returns The reply; never settles when the caller disconnects first. Calls
   *   after the end of a planned stop are refused.
   */
  dispatchCall(
    toEvent: (replyId: number) => BatchEvent,
    caller?: Caller,
  ): Promise<BatchReply> {
    if (this._hasStopped) {
      return Promise.resolve(STOPPED_REPLY);
    }
    const replyId = this._nextReplyId++;
    const event = toEvent(replyId);
    return new Promise((resolve) => {
      const startedAtMs = now();
      if (this._plannedStop) {
        this._plannedStop.calls += 1;
        this._plannedStop.lastCallAtMs = startedAtMs;
      }
      this._callers.set(replyId, { call: event.kind, startedAtMs, resolve });
      caller?.onGone(() => {
        if (this._callers.delete(replyId)) {
          this.dispatch({ kind: 'caller-gone', replyId });
        }
      });
      this.dispatch(event);
    });
  }

  /**
   * Passes a submission to the entry, unless its caller has disconnected. A busy
   * process may read a submission long after it was sent. The caller may have
   * disconnected meanwhile and have sent the job to another entry, so the tasks
   * of the job must not start here as well.
   *
   * @param job - Id of the job.
   * @param toEvent - Creates the event from the id that the reply will carry.
   * @param caller - Connection of the caller.
   * @returns The reply; never settles when the caller disconnects first.
   */
  dispatchSubmission(
    job: string,
    toEvent: (replyId: number) => BatchEvent,
    caller: Caller,
  ): Promise<BatchReply> {
    if (this._hasStopped) {
      return Promise.resolve(STOPPED_REPLY);
    }
    return this._heldCalls.hold({
      caller,
      pass: () => this.dispatchCall(toEvent, caller),
      onDropped: () => {
        this._drop(job);
      },
    });
  }

  private _drop(job: string): void {
    const message = 'submission dropped, its caller has gone';
    this.metrics.decisions.inc(message);
    this._options.log.info(message, { job });
  }

  /**
   * Decides whether a submission is refused, before its body is read, because
   * this process can't keep up. Jobs that the entry knows are never refused.
   *
   * @param job - Id of the job.
   * @param findQueue - Returns the queue that it is submitted to, if any; called
   *   only while submissions are being refused.
   * @returns When to come back in milliseconds; `undefined` if it is accepted.
   */
  refuseForLoad(
    job: string,
    findQueue: () => QueueRoute | undefined,
  ): number | undefined {
    if (this._shedder.share === 0 || this._core.owns(job)) {
      return undefined;
    }
    const queue = findQueue();
    const weight = queue && this._core.weightOf(queue);
    if (!this._shedder.shouldRefuse(weight)) {
      return undefined;
    }
    const reason = 'entry-overload';
    this.metrics.replies.inc('submit', 'shed');
    this.metrics.refusedJobs.inc({ queue: queue?.name ?? '', reason });
    this._options.log.info('job refused', {
      job,
      reason,
      queue: queue?.name ?? '',
      delayMs: Math.round(this._delayMs),
      refusedShare: Number(this._shedder.share.toFixed(2)),
    });
    return SHED_RETRY_AFTER_MS;
  }

  /** @param event - Event that the entry handles now. */
  dispatch(event: BatchEvent): void {
    const jumpMs = this._pauses.check(performance.now(), Date.now());
    if (jumpMs !== undefined) {
      this._handle({ kind: 'paused', jumpMs });
    }
    this._handle(event);
    if (event.kind !== 'flush') {
      this._flush.schedule();
    }
  }

  /**
   * Begins the planned stop of the process.
   *
   * @param signalledAtMs - Time at which the process read the signal; earlier
   *   than now if it was still starting.
   */
  stop(signalledAtMs = now()): void {
    // A process that was busy or frozen reads the signal late, possibly after its
    // first tick since.
    const sinceMs = Math.min(signalledAtMs, this._earlierTickAtMs ?? Infinity);
    this._plannedStop ??= { sinceMs, calls: 0, lastCallAtMs: sinceMs };
    this.dispatch({ kind: 'stop', sinceMs: this._plannedStop.sinceMs });
  }

  /** Number of calls without a reply. */
  get openCalls(): number {
    return this._callers.size;
  }

  /**
   * Waits at the end of a planned stop until the calls have been answered that
   * arrived before.
   */
  async answerLastCalls(): Promise<void> {
    let polls = 0;
    while (polls < LAST_POLLS || this._heldCalls.count > 0) {
      await setImmediate();
      polls += 1;
    }
  }

  /** Closes all connections and stops the ticks. */
  async close(): Promise<void> {
    this._timer?.clear();
    this._closeLinks();
    this._peers.close();
    await this._server?.close();
    await this._store.close();
  }

  private _handle(event: BatchEvent): void {
    for (const action of this._core.handle(event, now())) {
      this._run(action);
    }
  }

  private _createCore(): BatchEntry {
    const { entry, newIncarnation, log } = this._options;
    const incarnation = newIncarnation();
    log.info('incarnation begun', { incarnation });
    return new BatchEntry(
      {
        ...entry,
        incarnation,
        random: Math.random,
        stoppingSinceMs: this._plannedStop?.sinceMs,
      },
      now(),
    );
  }

  private _tick(): void {
    this._observeDelay();
    this.dispatch({ kind: 'tick' });
    this.metrics.openJobs.set(this._core.openJobs);
    this.metrics.waitingJobs.set(this._core.waitingJobs);
    this.metrics.configVersion.set(this._core.routes.version ?? 0);
    this.metrics.setLoads(this._core.loads(now()));
    this._tickIntervalMs = this._core.openJobs > 0 ? TICK_MS : IDLE_TICK_MS;
    this._timer = new IoTimeout(() => {
      this._tick();
    }, this._tickIntervalMs);
  }

  private _observeDelay(): void {
    const at = now();
    if (this._lastTickAtMs !== undefined) {
      this._delayMs = at - this._lastTickAtMs - this._tickIntervalMs;
      this._shedder.observe(this._delayMs);
      this.metrics.loopDelayMs.set(this._delayMs);
    }
    this._earlierTickAtMs = this._lastTickAtMs;
    this._lastTickAtMs = at;
  }

  private _observeTurn(turnMs: number): void {
    this.metrics.turnMs.observe(turnMs);
    if (turnMs > SLOW_TURN_MS) {
      this._options.log.info('slow turn of the event loop', {
        turnMs: Math.round(turnMs),
        openJobs: this._core.openJobs,
      });
    }
  }

  private _addRoutes(router: ConnectRouter): void {
    router.service(EntryPeerService, {
      probe: () => create(ProbeReplySchema, this._core.statusOf(now())),
      cancelJob: async ({ job }) => {
        if (!this._core.owns(job)) {
          return create(CancelJobReplySchema, { handled: false });
        }
        const reply = await this.dispatchCall((replyId) => ({
          kind: 'cancel',
          replyId,
          id: job,
          deadlineMs: now() + FORWARDED_CANCEL_WAIT_MS,
        }));
        const handled = reply.kind === 'cancelled';
        return create(CancelJobReplySchema, { handled });
      },
      noteLateStarts: ({ notes }) => {
        this.dispatch({ kind: 'late-starts', notes });
        return create(NoteLateStartsReplySchema);
      },
    });
  }

  private _run(action: BatchAction): void {
    switch (action.kind) {
      case 'reply':
        this._onReply(action);
        return;
      case 'store':
        void this._callStore(action);
        return;
      case 'follow':
        void this._follow(action);
        return;
      case 'open-link':
        this._openLink(action);
        return;
      case 'close-link':
        this._closeLink(action);
        return;
      case 'order':
        this._links.get(action.linkId)?.send(action.order);
        return;
      case 'probe':
        void this._probe(action);
        return;
      case 'forward-cancel':
        void this._forwardCancel(action);
        return;
      case 'note-late-starts':
        void this._noteLateStarts(action);
        return;
      case 'log':
        this.metrics.onDecision(action.message, action.fields);
        this._options.log.info(action.message, action.fields);
        return;
      case 'poll-again':
        this._flush.scheduleAfterNextPoll();
        return;
      case 'retire':
        this._closeLinks();
        this._generation += 1;
        this._core = this._createCore();
        return;
      case 'stopped':
        this._hasStopped = true;
        this._logStop();
        this._options.onStopped();
    }
  }

  private _logStop(): void {
    if (this._plannedStop) {
      const { sinceMs, calls, lastCallAtMs } = this._plannedStop;
      this._options.log.info('planned stop complete', {
        tookMs: Math.round(now() - sinceMs),
        calls,
        lastCallMs: Math.round(lastCallAtMs - sinceMs),
        openCalls: this.openCalls,
      });
    }
  }

  private _openLink({ linkId, address }: Action<'open-link'>): void {
    const link: Link = MessageSocket.connect(address, LINK_FORMAT, {
      onMessage: (report) => {
        this.dispatch({ kind: 'report', linkId, report });
      },
      onClosed: (detail) => {
        this._links.delete(linkId);
        this.dispatch({ kind: 'link-closed', linkId, detail });
      },
    });
    this._links.set(linkId, link);
  }

  private _closeLink({ linkId, isReset }: Action<'close-link'>): void {
    const link = this._links.get(linkId);
    this._links.delete(linkId);
    if (isReset) {
      link?.reset();
    } else {
      link?.close();
    }
  }

  private _closeLinks(): void {
    for (const link of this._links.values()) {
      link.close();
    }
    this._links.clear();
  }

  private _onReply({ replyId, reply }: Action<'reply'>): void {
    const caller = this._callers.get(replyId);
    this._callers.delete(replyId);
    if (caller) {
      const { call, startedAtMs } = caller;
      this.metrics.replies.inc(call, reply.kind);
      this.metrics.replyMs.observe({ call }, now() - startedAtMs);
      caller.resolve(reply);
    }
  }

  /**
   * Waits for a result that the entry requested and dispatches it as an event.
   * The result is dropped when the incarnation has been replaced meanwhile.
   */
  private async _dispatchResult<T>(
    work: Promise<T>,
    toEvent: (answer: T) => BatchEvent,
  ): Promise<void> {
    const generation = this._generation;
    const answer = await work;
    if (generation === this._generation) {
      this.dispatch(toEvent(answer));
    }
  }

  private _callStore({ opId, part, req }: Action<'store'>): Promise<void> {
    return this._dispatchResult(this._store.call(part, req), (reply) => ({
      kind: 'store-reply',
      opId,
      reply,
    }));
  }

  private _follow({ req }: Action<'follow'>): Promise<void> {
    return this._dispatchResult(this._store.follow(req), (reply) => ({
      kind: 'follow-reply',
      table: req.table,
      reply,
    }));
  }

  private _probe({ incarnation, address }: Action<'probe'>): Promise<void> {
    const work = this._peers.call(
      address,
      PROBE_TIMEOUT_MS,
      (client, options) => client.probe({ incarnation }, options),
    );
    return this._dispatchResult(work, (status) => ({
      kind: 'probe-reply',
      incarnation,
      status,
    }));
  }

  private async _noteLateStarts({
    address,
    notes,
  }: Action<'note-late-starts'>): Promise<void> {
    const reply = await this._peers.call(
      address,
      NOTE_TIMEOUT_MS,
      (client, options) =>
        client.noteLateStarts(
          {
            notes: notes.map(({ job, workers, forMs }) => ({
              job,
              workers: [...workers],
              forMs,
            })),
          },
          options,
        ),
    );
    if (!reply) {
      const message = 'note of late starts not confirmed';
      this.metrics.decisions.inc(message);
      this._options.log.info(message, { address, notes: notes.length });
    }
  }

  private _forwardCancel(action: Action<'forward-cancel'>): Promise<void> {
    const { callId, address, id } = action;
    const work = this._peers.call(
      address,
      FORWARD_TIMEOUT_MS,
      (client, options) => client.cancelJob({ job: id }, options),
    );
    return this._dispatchResult(work, (answer) => ({
      kind: 'forward-reply',
      callId,
      handled: answer?.handled ?? false,
    }));
  }
}
