import type { RunnerPeer, RunnerRef } from '../connection/runner-peer.js';
import { TaskKind } from '../messages.js';
import type { AnnounceRequest } from '../messages.js';
import type { Job } from '../request/job.js';
import type { JobSpec } from '../request/job-spec.js';
import {
  NOT_READY,
  ENTRY_REPLACED,
  STATE_UNREADABLE,
  notRunReply,
  refuseSubmission,
  unknownJobReply,
} from '../request/replies.js';
import { storeKeys } from '../store.js';
import type { Row } from '../store.js';
import { ConfigFollower } from '../version/config-follower.js';
import type { Configuration } from '../version/configuration.js';
import { TicketService } from '../version/ticket-service.js';
import { Admission } from './admission.js';
import { Dispatcher } from './dispatcher.js';
import { ENTRY_DEFAULTS } from './entry-context.js';
import type { EntryContext, EntryOptions } from './entry-context.js';
import type {
  EndpointRequest,
  EntryAction,
  EntryEvent,
  Reply,
} from './entry-events.js';
import { JobRows } from './job-rows.js';
import { JobTable } from './job-table.js';
import { Membership } from './membership.js';
import type { MemberView } from './membership.js';
import { ObjectClient } from './object-client.js';
import { RequestTable } from './request-table.js';
import { isFinalRow } from './rows.js';
import type { JobRow } from './rows.js';
import { StoreClient } from './store-client.js';
import { StoreWriter } from './store-writer.js';
import { Takeovers } from './takeovers.js';

type AskEvent = Extract<EntryEvent, { kind: 'ask' }>;

/** How long a planned stop waits for open work before it hands over jobs. */
const DRAIN_TIMEOUT_MS = 20_000;
/**
 * How long a planned stop without open work waits until the rows of the entry are
 * deleted. Rows that remain are removed by another entry once the lease expires.
 */
const LEAVE_TIMEOUT_MS = 3000;

/**
 * The entry process as a state machine. It admits jobs and requests from
 * callers, dispatches their tasks to runners, records the outcomes of jobs and
 * takes over the jobs of entries that fail or leave.
 *
 * It does no I/O and reads no clock: each call to `handle` takes an event and
 * the current time and returns actions, so a recorded or generated sequence of
 * events replays exactly.
 */
export class EntryCore {
  private readonly _ctx: EntryContext;
  private readonly _store: StoreClient;
  private readonly _writer: StoreWriter;
  private readonly _membership: Membership;
  private readonly _config: ConfigFollower;
  private readonly _tickets: TicketService;
  private readonly _admission: Admission;
  private readonly _dispatcher: Dispatcher;
  private readonly _rows: JobRows;
  private readonly _jobs: JobTable;
  private readonly _requests: RequestTable;
  private readonly _takeovers: Takeovers;
  private _actions: EntryAction[] = [];
  /** Reply ids of calls without an answer; retiring answers each of them. */
  private readonly _openCalls = new Set<number>();
  private _isReplaced = false;
  private _stopDeadlineMs: number | undefined;
  /** When the entry ends in any case; absent while it has open work. */
  private _leaveDeadlineMs: number | undefined;
  private _hasStopped = false;

  /**
   * @param options - Identity and limits.
   * @param now - Current time in milliseconds.
   */
  constructor(options: EntryOptions, now: number) {
    const resolved = { ...ENTRY_DEFAULTS, ...options };
    const emit = (action: EntryAction): void => {
      if (action.kind === 'reply') {
        this._openCalls.delete(action.replyId);
      }
      this._actions.push(action);
    };
    const { readsPerSecond } = resolved;
    this._store = new StoreClient(
      {
        emit: (opId, req) => {
          emit({ kind: 'store', opId, req });
        },
        readsPerSecond,
      },
      now,
    );
    this._writer = new StoreWriter({ ...resolved, store: this._store }, now);
    this._ctx = {
      options: resolved,
      store: this._store,
      writer: this._writer,
      objects: new ObjectClient({ ...resolved, store: this._store }),
      emit,
      logStep: (step, job, detail = '') => {
        emit({ kind: 'job-step', step, job, detail });
      },
      retire: (reason) => {
        this._retire(reason);
      },
    };
    const ctx = this._ctx;
    this._membership = new Membership(ctx);
    this._config = new ConfigFollower({
      ctx,
      peers: () =>
        this._membership.isReady ? this._membership.live : undefined,
    });
    this._tickets = new TicketService({
      ctx,
      config: this._config,
      peers: () => this._membership.live.map((v) => v.row.incarnation),
    });
    this._dispatcher = new Dispatcher({
      ctx,
      config: this._config,
      registerRunner: (ref) => this._membership.registerRunner(ref),
      unregisterRunner: (ref) => {
        this._membership.unregisterRunner(ref);
      },
      onChanged: (job, at) => {
        this._onTasksChanged(job, at);
      },
    });
    this._admission = new Admission({
      config: () => this._config.current,
      entryCount: () => this._membership.live.length + 1,
      waiting: () => this._dispatcher.waiting,
    });
    this._rows = new JobRows({
      ctx,
      ownerCondition: () => this._membership.ownerCondition,
    });
    this._jobs = this._createJobTable();
    this._requests = this._createRequestTable();
    this._takeovers = new Takeovers({
      ctx,
      membership: this._membership,
      rows: this._rows,
      jobs: this._jobs,
      onRunnerConfirmed: (ref, at) => {
        this._dispatcher.onRunnerConfirmed(ref, at);
      },
    });
  }

  /** Whether the entry accepts new work. */
  get isReady(): boolean {
    return (
      !this._isReplaced &&
      this._stopDeadlineMs === undefined &&
      this._membership.isReady &&
      this._config.confirmedAtMs > -Infinity
    );
  }

  /**
   * Whether any pending work depends on timely ticks: start-up, a planned stop,
   * calls, jobs, writes or takeovers.
   */
  get isBusy(): boolean {
    return (
      !this.isReady ||
      this._openCalls.size > 0 ||
      this._jobs.openCount > 0 ||
      this._writer.pending > 0 ||
      this._takeovers.activeCount > 0
    );
  }

  /** The configuration in force at this entry. */
  get config(): Configuration {
    return this._config.current;
  }

  /** The accepted tickets that are kept in memory, oldest first. */
  get tickets(): ReturnType<ConfigFollower['tickets']> {
    return this._config.tickets();
  }

  /** The other entries, as of the last scan. */
  get members(): readonly MemberView[] {
    return this._membership.others;
  }

  /** Number of tasks that wait for placement. */
  get waiting(): number {
    return this._dispatcher.waiting;
  }

  /** Number of jobs without a recorded outcome. */
  get openJobs(): number {
    return this._jobs.openCount;
  }

  /** Number of requests without an answer. */
  get openRequests(): number {
    return this._requests.openCount;
  }

  /** @returns The runners that this entry knows. */
  runners(): IterableIterator<RunnerPeer> {
    return this._dispatcher.runners();
  }

  /**
   * @param ref - A runner.
   * @returns Whether a successor can find the runner. The tasks of jobs are sent
   *   to no other runners.
   */
  isRegistered(ref: RunnerRef): boolean {
    return this._membership.isRegistered(ref);
  }

  /**
   * Processes one event.
   *
   * @param event - The event.
   * @param now - Current time in milliseconds.
   * @returns The actions to carry out, in this order.
   */
  handle(event: EntryEvent, now: number): readonly EntryAction[] {
    this._actions = [];
    if (this._isReplaced) {
      this._refuseLateCall(event);
    } else {
      this._store.pump(now);
      this._apply(event, now);
      this._writer.pump(now);
    }
    return this._actions;
  }

  private _apply(event: EntryEvent, now: number): void {
    switch (event.kind) {
      case 'submit':
        this._openCalls.add(event.replyId);
        this._onSubmit(event.spec, event.replyId, now);
        return;
      case 'request':
        this._openCalls.add(event.replyId);
        this._onRequest(event.request, event.replyId, now);
        return;
      case 'ask':
        this._openCalls.add(event.replyId);
        this._onAsk(event, now);
        return;
      case 'apply-ticket':
        this._openCalls.add(event.replyId);
        this._onTicket(event, now);
        return;
      case 'store-reply':
        this._store.onReply(event.opId, event.reply, now);
        return;
      case 'announce':
        this._dispatcher.onAnnounced(toRunnerRef(event.req), now);
        return;
      case 'link-message':
        this._dispatcher.onMessage(event.linkId, event.msg, now);
        return;
      case 'link-closed':
        this._dispatcher.onLinkClosed(event.linkId, now);
        return;
      case 'fence-reply':
        this._takeovers.onFenceReply(event.callId, event.reply, now);
        return;
      case 'poll':
        this._ctx.emit({
          kind: 'poll-answer',
          replyId: event.replyId,
          reply: this._config.onPoll(event.req),
        });
        return;
      case 'poll-reply':
        this._config.onPollReply(event.callId, event.reply);
        this._tickets.tick(now);
        return;
      case 'caller-gone':
        this._openCalls.delete(event.replyId);
        this._jobs.onCallerDisconnected(event.replyId);
        this._requests.onCallerDisconnected(event.replyId);
        return;
      case 'flush':
        this._dispatcher.flush(now);
        return;
      case 'tick':
        this._tick(now);
        return;
      case 'stop':
        this._stopDeadlineMs ??= now + DRAIN_TIMEOUT_MS;
    }
  }

  private _createJobTable(): JobTable {
    return new JobTable({
      ctx: this._ctx,
      rows: this._rows,
      ownerCondition: () => this._membership.ownerCondition,
      onOpen: (job) => {
        this._dispatcher.add(job);
      },
      onDecided: (job) => {
        this._dispatcher.cancelTasks(job);
      },
      onRecorded: (job) => {
        this._dispatcher.releaseRecords(job);
      },
    });
  }

  private _createRequestTable(): RequestTable {
    return new RequestTable({
      ctx: this._ctx,
      onOpen: (job) => {
        this._dispatcher.add(job);
      },
      onRetry: (job) => {
        this._dispatcher.requeue(job, 0);
      },
      onAnswered: (job) => {
        this._dispatcher.cancelTasks(job);
        this._dispatcher.releaseRecords(job);
      },
    });
  }

  private _onSubmit(spec: JobSpec, replyId: number, now: number): void {
    if (this._jobs.has(spec.id)) {
      this._jobs.attach(spec, replyId);
      return;
    }
    const refusal = this.isReady ? this._admission.check(spec, now) : NOT_READY;
    if (refusal) {
      this._reply(replyId, refuseSubmission(spec, refusal));
      return;
    }
    this._jobs.claim(spec, replyId, now);
  }

  private _onRequest(
    request: EndpointRequest,
    replyId: number,
    now: number,
  ): void {
    const { endpoint, payload } = request;
    const refusal = this.isReady
      ? this._admission.check(
          { ...request, tasks: [{ endpoint, payload }] },
          now,
        )
      : NOT_READY;
    if (refusal) {
      this._reply(replyId, notRunReply(refusal));
      return;
    }
    this._requests.add(request, replyId);
  }

  private _onAsk(event: AskEvent, now: number): void {
    if (!this._jobs.has(event.job)) {
      this._queryStore(event);
      return;
    }
    if (event.cancel) {
      this._jobs.cancel(event.job);
    }
    this._jobs.awaitOutcome(event.job, event.replyId, now + event.waitMs);
  }

  private _queryStore(event: AskEvent): void {
    const keys = [storeKeys.job(event.job)];
    this._store.call({ kind: 'read', keys }, (reply) => {
      if (reply.kind !== 'rows') {
        this._reply(event.replyId, STATE_UNREADABLE);
        return;
      }
      const row = reply.rows[0];
      if (row) {
        this._answerFromRow(row, event);
      } else {
        this._reply(event.replyId, unknownJobReply(event.job));
      }
    });
  }

  private _answerFromRow(row: Row, event: AskEvent): void {
    const jobRow = JSON.parse(row.value) as JobRow;
    const { owner, address } = jobRow;
    const isElsewhere = owner !== this._ctx.options.incarnation;
    const { job, waitMs, cancel, replyId } = event;
    if (!isFinalRow(jobRow) && isElsewhere && event.forward) {
      const forward = { address, job, waitMs, cancel };
      this._reply(replyId, { kind: 'forward', ...forward });
      return;
    }
    this._rows.readStatus(job, jobRow, (status) => {
      this._reply(replyId, status ? { kind: 'job', status } : STATE_UNREADABLE);
    });
  }

  private _onTicket(
    event: Extract<EntryEvent, { kind: 'apply-ticket' }>,
    now: number,
  ): void {
    if (!this.isReady) {
      this._reply(event.replyId, notRunReply(NOT_READY));
      return;
    }
    this._tickets.propose(event.proposal, event.replyId, now);
  }

  private _onTasksChanged(job: Job, now: number): void {
    if (job.kind === TaskKind.JOB) {
      this._jobs.settle(job);
    } else {
      this._requests.onChanged(job, now);
    }
  }

  private _tick(now: number): void {
    this._ctx.objects.tick(now);
    this._membership.tick(now);
    this._config.tick(now);
    this._tickets.tick(now);
    this._takeovers.tick(now);
    this._dispatcher.tick(now);
    this._jobs.tick(now);
    this._requests.tick(now);
    this._finishStop(now);
  }

  private _finishStop(now: number): void {
    if (this._stopDeadlineMs === undefined) {
      return;
    }
    if (this._leaveDeadlineMs !== undefined) {
      if (now >= this._leaveDeadlineMs) {
        this._emitStopped();
      }
      return;
    }
    // Requests are not handed over with the jobs; they end here.
    if (this._membership.isTakenOver && this._requests.openCount === 0) {
      this._retire('Another entry has taken over the jobs of this entry.');
      return;
    }
    const open =
      this._jobs.openCount + this._openCalls.size + this._takeovers.activeCount;
    if (open === 0) {
      this._leaveDeadlineMs = now + LEAVE_TIMEOUT_MS;
      this._membership.leave(() => {
        this._emitStopped();
      });
    } else if (now >= this._stopDeadlineMs) {
      this._membership.handOver();
    }
  }

  private _retire(reason: string): void {
    if (this._isReplaced) {
      return;
    }
    this._isReplaced = true;
    this._requests.failAll();
    for (const replyId of this._openCalls) {
      this._reply(replyId, ENTRY_REPLACED);
    }
    for (const peer of this._dispatcher.runners()) {
      if (peer.link) {
        this._ctx.emit({ kind: 'close-link', linkId: peer.link.linkId });
      }
    }
    if (this._stopDeadlineMs === undefined) {
      this._ctx.emit({ kind: 'retire', reason });
    } else {
      this._emitStopped();
    }
  }

  /** The host ends the process once, whatever happens until it has closed. */
  private _emitStopped(): void {
    if (!this._hasStopped) {
      this._hasStopped = true;
      this._ctx.emit({ kind: 'stopped' });
    }
  }

  /** Refuses calls that arrive after this incarnation has been replaced. */
  private _refuseLateCall(event: EntryEvent): void {
    if (event.kind === 'submit') {
      this._reply(event.replyId, refuseSubmission(event.spec, NOT_READY));
    } else if (event.kind === 'request' || event.kind === 'apply-ticket') {
      this._reply(event.replyId, notRunReply(NOT_READY));
    } else if (event.kind === 'ask') {
      this._reply(event.replyId, STATE_UNREADABLE);
    } else if (event.kind === 'poll') {
      const reply = { incarnation: '', version: 0, tickets: [] };
      const { replyId } = event;
      this._ctx.emit({ kind: 'poll-answer', replyId, reply });
    }
  }

  private _reply(replyId: number, reply: Reply): void {
    this._ctx.emit({ kind: 'reply', replyId, reply });
  }
}

const toRunnerRef = (req: AnnounceRequest) => ({
  id: req.runner,
  incarnation: req.incarnation,
  address: req.address,
  dataCentre: req.dataCentre,
  endpoint: req.endpoint,
});
