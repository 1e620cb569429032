import {
  BatchJob,
  BatchState,
  TaskPhase,
  isFinal,
} from '../request/batch-job.js';
import type { BatchProgress, TaskCrash } from '../request/batch-job.js';
import {
  countTasks,
  invalidFieldOf,
  withWholeNeeds,
} from '../request/job-content.js';
import { RouteTable } from '../version/route-table.js';
import type { OperatorChange } from '../version/route-table.js';
import type { ServiceLoad } from '../scheduling/overload-control.js';
import type { OverloadOptions } from '../scheduling/overload-options.js';
import type { ChangedRow } from '../store.js';
import { SubmitRefusal } from './batch-events.js';
import type {
  BatchAction,
  BatchEvent,
  BatchReply,
  LogFields,
  PeerStatus,
} from './batch-events.js';
import { CrashBulkhead } from './crash-bulkhead.js';
import { CrashLedger } from './crash-ledger.js';
import { EntryLease } from './entry-lease.js';
import type { AdoptedJob } from './entry-takeover.js';
import { fleetKeys } from './fleet-rows.js';
import { JobLookups } from './job-lookups.js';
import type { JobLookup } from './job-lookups.js';
import { JobPlacer } from './job-placer.js';
import { JobRecorder } from './job-recorder.js';
import type { RecordedJob } from './job-recorder.js';
import { LateStartNotes } from './late-start-notes.js';
import type { EndedJob, OwnedJob, RetainedRow } from './owned-job.js';
import { PartStores } from './part-stores.js';
import { ENTRY_LEASE_MS, PeerMonitor, ProbeScope } from './peer-monitor.js';
import { ResendWindows } from './resend-windows.js';
import { DEFAULT_RUN_LIMITS } from './run-limits.js';
import type { RunLimits } from './run-limits.js';
import { RunReports } from './run-reports.js';
import { DEFAULT_STORE_LIMITS } from './store-limits.js';
import type { StoreLimits } from './store-limits.js';
import { StopSchedule } from './stop-schedule.js';
import { StoppingRuns } from './stopping-runs.js';
import { TakeoverCoordinator } from './takeover-coordinator.js';
import {
  DEFAULT_RETRY_AFTER_MS,
  REPLY_MARGIN_MS,
  VolatileAdmission,
  abandonedReply,
} from './volatile-admission.js';
import { WorkerFleet } from './worker-fleet.js';
import { WorkerHealth } from './worker-health.js';

/** Options of {@link BatchEntry}. */
export interface BatchEntryOptions {
  readonly name: string;
  readonly incarnation: string;
  /** Address at which other entries reach this one. */
  readonly address: string;
  readonly dataCentre: string;
  /** Returns uniform random numbers from 0 to 1. */
  readonly random: () => number;
  /** Table to which operators write; the entry follows its changes. */
  readonly operatorTable: string;
  /** Decodes one row of the operators' table. */
  readonly decodeOperatorRow: (row: ChangedRow) => OperatorChange;
  /** How long the state of an ended job is retained. */
  readonly stateRetentionMs?: number;
  /** Factor on the run time of a task whose data is remote. */
  readonly remoteDataFactor?: number;
  /** Decisions by priority while capacity is short. */
  readonly overload?: Partial<OverloadOptions>;
  /** Time limits of runs. */
  readonly runLimits?: RunLimits;
  /** Limits of the store. */
  readonly storeLimits?: Partial<StoreLimits>;
  /**
   * Time from the begin of a planned stop until the process is killed, in
   * milliseconds.
   */
  readonly stopGraceMs?: number;
  /**
   * Time at which the planned stop of the process began, if it has. Such an
   * incarnation replaces one that was fenced during the stop. It only answers
   * reads and ends the stop.
   */
  readonly stoppingSinceMs?: number | undefined;
}

const DEFAULT_STATE_RETENTION_MS = 120_000;
const DEFAULT_REMOTE_DATA_FACTOR = 1.5;
/** Delay after which the run ends of an unfinished job are recorded. */
const PROGRESS_DELAY_MS = 500;
const DEFAULT_STOP_GRACE_MS = 6000;
/** Greatest age of the statuses of other entries in a count of pending jobs. */
const MAX_STATUS_AGE_MS = 1000;
/** Maximum wait of a count for recent statuses. */
const COUNT_TIMEOUT_MS = 500;
/** How long after a count all peers are probed at the shortest interval. */
const PENDING_INTEREST_MS = 5000;
/**
 * How long after the loss of a worker driver all peers are probed at the shortest
 * interval. One that was lost with it has to be known before its callers return.
 */
const LOST_DRIVER_INTEREST_MS = 1500;

/** A call for the number of pending jobs of a queue. */
interface CountCall {
  readonly replyId: number;
  readonly queue: string;
  readonly untilMs: number;
}

/** A submitted job that is being recorded in the store. */
interface Submission {
  /** Reply ids of the submit calls for this job. */
  replies: number[];
  readonly deadlineMs: number;
}

/**
 * Accepts jobs from callers, records them in the store, places their tasks on
 * workers, and takes over the jobs of failed entries.
 *
 * The class does no I/O and reads no clock: the host passes events to
 * {@link BatchEntry.handle} and carries out the actions that it returns.
 */
export class BatchEntry {
  readonly routes = new RouteTable();
  private readonly _options: Required<
    Omit<BatchEntryOptions, 'stoppingSinceMs'>
  >;
  private readonly _stores: PartStores;
  private readonly _recorder: JobRecorder;
  private readonly _lease: EntryLease;
  private readonly _peers: PeerMonitor;
  private readonly _health = new WorkerHealth();
  private readonly _crashes = new CrashLedger();
  private readonly _bulkhead = new CrashBulkhead();
  private readonly _fleet: WorkerFleet;
  private readonly _stoppingRuns: StoppingRuns;
  private readonly _placer: JobPlacer;
  private readonly _lookups: JobLookups;
  private readonly _reports: RunReports;
  private readonly _volatile: VolatileAdmission;
  private readonly _lateStarts: LateStartNotes;
  private readonly _resends: ResendWindows;
  private readonly _takeovers: TakeoverCoordinator;
  private readonly _jobs = new Map<string, OwnedJob>();
  private readonly _ended = new Map<string, EndedJob>();
  /** Jobs that were cancelled here before they were recorded, by id. */
  private readonly _withdrawn = new Map<string, RetainedRow>();
  private readonly _submissions = new Map<string, Submission>();
  private _actions: BatchAction[] = [];
  private _nowMs: number;
  /**
   * Time of the first event since the last flush. The close of a caller's
   * connection that came later may not have been noticed yet.
   */
  private _turnBeganAtMs: number | undefined;
  /** Whether the sockets have been polled again since the last placement. */
  private _hasPolledAgain = false;
  private _recordedJobCount = 0;
  private _isRetired = false;
  private _stop: StopSchedule | undefined;
  /** Whether this incarnation replaces one that was fenced during a stop. */
  private readonly _continuesStop: boolean;
  private _isLeaving = false;
  /** Time at which the planned stop ends whether or not the store has replied. */
  private _leaveUntilMs = Number.POSITIVE_INFINITY;
  /** Calls for counts that wait for recent statuses of the peers. */
  private _countCalls: CountCall[] = [];
  private _pendingAskedAtMs = Number.NEGATIVE_INFINITY;

  /**
   * @param options - Identity, address, tables and limits of the entry.
   * @param now - Current time in milliseconds.
   */
  constructor(options: BatchEntryOptions, now: number) {
    this._options = {
      stateRetentionMs: DEFAULT_STATE_RETENTION_MS,
      remoteDataFactor: DEFAULT_REMOTE_DATA_FACTOR,
      overload: {},
      stopGraceMs: DEFAULT_STOP_GRACE_MS,
      storeLimits: {},
      runLimits: DEFAULT_RUN_LIMITS,
      ...options,
    };
    const limits = { ...DEFAULT_STORE_LIMITS, ...options.storeLimits };
    this._nowMs = now;
    this._continuesStop = options.stoppingSinceMs !== undefined;
    if (options.stoppingSinceMs !== undefined) {
      this._beginStop(options.stoppingSinceMs);
    }
    this._peers = new PeerMonitor(options.incarnation);
    this._stores = new PartStores(
      {
        emit: (opId, part, req) => {
          this._actions.push({ kind: 'store', opId, part, req });
        },
        random: options.random,
        limits,
        onRejected: (key, valueBytes) => {
          const limitBytes = limits.rowBytes;
          this._log('store write rejected', { key, valueBytes, limitBytes });
        },
      },
      now,
    );
    this._recorder = new JobRecorder({
      stores: this._stores,
      incarnation: options.incarnation,
      rowBytes: limits.rowBytes,
      confirmedAtMs: () => this._lease.confirmedAtMs,
      onFenced: () => {
        this._retire('owner row is gone');
      },
    });
    const { name, incarnation, dataCentre, random } = options;
    const log = (message: string, fields: LogFields): void => {
      this._log(message, fields);
    };
    this._fleet = new WorkerFleet({
      name,
      incarnation,
      dataCentre,
      limits: this._options.runLimits,
      emit: (action) => {
        this._actions.push(action);
      },
    });
    this._stoppingRuns = new StoppingRuns(this._fleet);
    this._placer = new JobPlacer({
      fleet: this._fleet,
      stoppingRuns: this._stoppingRuns,
      health: this._health,
      crashes: this._crashes,
      bulkhead: this._bulkhead,
      routes: this.routes,
      dataCentre,
      remoteDataFactor: this._options.remoteDataFactor,
      overload: this._options.overload,
      random,
      log,
    });
    this._lookups = new JobLookups({
      stores: this._stores,
      answerLocally: (lookup) => this._answerLocally(lookup, this._nowMs),
      isSubmitting: (id) => this._submissions.has(id),
      reply: (replyId, reply) => {
        this._reply(replyId, reply);
      },
      forward: (callId, owner, id) => this._forwardCancel(callId, owner, id),
      withdraw: (id, abandonAtMs, onDone) => {
        this._recorder.withdraw(id, abandonAtMs, (outcome, at) => {
          if (outcome.kind === 'committed') {
            const { version } = outcome;
            this._withdrawn.set(id, { version, endedAtMs: at });
            this._log('job withdrawn before it was recorded', { job: id });
          }
          onDone(outcome, at);
        });
      },
      retentionMs: this._options.stateRetentionMs,
    });
    this._reports = new RunReports({
      incarnation,
      stores: this._stores,
      fleet: this._fleet,
      placer: this._placer,
      health: this._health,
      crashes: this._crashes,
      bulkhead: this._bulkhead,
      remoteDataFactor: this._options.remoteDataFactor,
      jobs: this._jobs,
      isEnded: (id) => this._ended.has(id),
      onAbandon: (ownedJob, reason, at) => {
        this._abandon(ownedJob, reason, at);
      },
      onFinal: (ownedJob, at) => {
        this._finish(ownedJob, at);
      },
      onFenced: (worker) => {
        this._retire(`fenced at ${worker}`);
      },
      log,
    });
    this._resends = new ResendWindows(this._options.runLimits);
    this._lateStarts = new LateStartNotes({
      limits: this._options.runLimits,
      workerOf: (worker) => this._fleet.get(worker),
      silentWorkers: (at) =>
        this._fleet.views
          .filter((view) => view.mayHoldUnknownStarts(at))
          .map((view) => view.name),
      resends: this._resends,
      peers: (at) => this._peers.unsuspectedRows(at),
      emit: (action) => {
        this._actions.push(action);
      },
      log,
    });
    this._volatile = new VolatileAdmission({
      routes: this.routes,
      placer: this._placer,
      jobs: this._jobs,
      ended: this._ended,
      stopState: () => ({
        drainsUntilMs: this._stop?.drainsUntilMs,
        refusesAll: this._refusesWork,
      }),
      lateWorkersOf: (id, at) => this._lateStarts.onSubmitted(id, at),
      add: (job, record, deadlineMs) => this._addJob(job, record, deadlineMs),
      onAccepted: (ownedJob, at) => {
        this._reports.giveUpCrashing(ownedJob, at);
      },
      remove: (ownedJob, at) => {
        this._removeAndAcknowledge(ownedJob, at);
      },
      abandon: (ownedJob, reason, at) => {
        this._abandon(ownedJob, reason, at);
      },
      reply: (replyId, reply) => {
        this._reply(replyId, reply);
      },
      log,
    });
    this._takeovers = new TakeoverCoordinator({
      name,
      incarnation,
      runExpiryMs: this._options.runLimits.runExpiryMs,
      stores: this._stores,
      recorder: this._recorder,
      peers: this._peers,
      fleet: this._fleet,
      onAdopted: (predecessor, job, at) => {
        this._onAdopted(predecessor, job, at);
      },
      onSettled: (predecessor, at) => {
        this._onTakeoverSettled(predecessor, at);
      },
      log,
    });
    this._lease = new EntryLease({
      incarnation,
      row: { name, address: options.address, dataCentre },
      stores: this._stores,
      peers: this._peers,
      fleet: this._fleet,
      routes: this.routes,
      operatorTable: options.operatorTable,
      decodeOperatorRow: options.decodeOperatorRow,
      onFenced: (reason) => {
        this._retire(reason);
      },
      onPredecessorLost: () => {
        this._resends.onPredecessorLost(now);
      },
      log,
    });
    if (!this._continuesStop) {
      this._lease.register();
      this._recorder.start(now);
    }
  }

  /** Whether a planned stop has begun. */
  get isStopping(): boolean {
    return this._stop !== undefined;
  }

  /**
   * Whether new jobs should be sent to this entry: its configuration is loaded
   * and no planned stop has begun. Jobs that still arrive after the beginning of
   * a planned stop may be accepted.
   */
  get isReady(): boolean {
    return this.routes.version !== undefined && this._stop === undefined;
  }

  /** Number of jobs that have not ended, or whose end is not yet recorded. */
  get openJobs(): number {
    return this._jobs.size;
  }

  /** Number of jobs with tasks that wait for worker capacity. */
  get waitingJobs(): number {
    return this._placer.size;
  }

  /** @returns Weight of the jobs of a queue, see {@link JobPlacer.weightOf}. */
  weightOf(queue: {
    readonly service: string;
    readonly priority: number;
  }): number | undefined {
    return this._placer.weightOf(queue);
  }

  /** Load of each service that is treated by priority. */
  loads(now: number): ReadonlyMap<string, ServiceLoad> {
    return this._placer.overload.loads(now);
  }

  /** @returns Whether this entry runs the job or retains its final state. */
  owns(id: string): boolean {
    return this._jobs.has(id) || this._ended.has(id);
  }

  /** @returns The status that this entry reports to other entries. */
  statusOf(now: number): PeerStatus {
    return {
      incarnation: this._options.incarnation,
      storeReachable: this._lease.hasStoreContact(now),
      pending: this._pendingByQueue(),
    };
  }

  /** Whether the entry takes no jobs any more. */
  private get _refusesWork(): boolean {
    return this._isLeaving || this._continuesStop;
  }

  private _onCount(
    { replyId, queue }: Extract<BatchEvent, { kind: 'count' }>,
    now: number,
  ): void {
    this._pendingAskedAtMs = now;
    this._countCalls.push({
      replyId,
      queue,
      untilMs: now + COUNT_TIMEOUT_MS,
    });
    this._answerCounts(now);
  }

  /** Answers the calls for counts once the statuses of the peers are recent. */
  private _answerCounts(now: number): void {
    if (this._countCalls.length === 0) {
      return;
    }
    const areFresh = this._peers.areStatusesFresh(MAX_STATUS_AGE_MS, now);
    const due = this._countCalls.filter(
      (call) => areFresh || now >= call.untilMs,
    );
    this._countCalls = this._countCalls.filter((call) => !due.includes(call));
    for (const { replyId, queue } of due) {
      this._reply(replyId, { kind: 'count', pending: this._pending(queue) });
    }
  }

  /** Number of accepted jobs without a started task, over all entries. */
  private _pending(queue: string): number {
    let sum = this._pendingByQueue()[queue] ?? 0;
    for (const peer of this._peers.peers) {
      sum += peer.status?.pending[queue] ?? 0;
    }
    return sum;
  }

  /**
   * Processes one event.
   *
   * @param event - The event.
   * @param now - Current time in milliseconds.
   * @returns Actions for the host to carry out.
   */
  handle(event: BatchEvent, now: number): BatchAction[] {
    this._nowMs = now;
    this._turnBeganAtMs ??= now;
    if (!this._isRetired) {
      this._handle(event, now);
    }
    if (event.kind === 'flush') {
      this._turnBeganAtMs = undefined;
    }
    const actions = this._actions;
    this._actions = [];
    return actions;
  }

  private _handle(event: BatchEvent, now: number): void {
    switch (event.kind) {
      case 'submit':
        this._onSubmit(event, now);
        return;
      case 'status':
      case 'cancel':
        this._lookups.begin(event, now);
        return;
      case 'count':
        this._onCount(event, now);
        return;
      case 'caller-gone':
        this._onCallerDisconnected(event.replyId, now);
        return;
      case 'link-closed':
        this._fleet.onLinkClosed(event.linkId, event.detail, now);
        return;
      case 'report':
        this._reports.onReport(event.linkId, event.report, now);
        return;
      case 'store-reply':
        this._stores.onReply(event.opId, event.reply, now);
        return;
      case 'follow-reply':
        this._lease.onReply(event.table, event.reply, now);
        return;
      case 'probe-reply':
        this._onProbed(event.incarnation, event.status, now);
        return;
      case 'forward-reply':
        this._lookups.onForwarded(event.callId, event.handled, now);
        return;
      case 'late-starts':
        this._lateStarts.onNotes(event.notes, now);
        return;
      case 'paused':
        this._log('pause suspected', { jumpMs: Math.round(event.jumpMs) });
        this._lease.invalidate();
        // Callers may have timed out and resubmitted to another entry.
        this._abandonVolatile('this process was paused', now);
        return;
      case 'tick':
        this._onTick(now);
        return;
      case 'stop':
        this._beginStop(event.sinceMs ?? now);
        return;
      case 'flush':
        this._flush(event.pollAgeMs ?? 0, now);
    }
  }

  private _onProbed(
    incarnation: string,
    status: PeerStatus | undefined,
    now: number,
  ): void {
    const change = this._peers.onProbed(incarnation, status, now);
    if (change) {
      const peer = this._peers.get(incarnation);
      this._log(`entry ${change}`, {
        entry: incarnation,
        name: peer?.row.name ?? '',
      });
      if (peer && change !== 'regained') {
        this._resends.onEntryLost(peer.aliveAtMs, now);
      }
    }
    this._answerCounts(now);
  }

  private _pendingByQueue(): Record<string, number> {
    const pending: Record<string, number> = {};
    for (const { job } of this._jobs.values()) {
      if (!isFinal(job.state) && !job.mayHaveBegun) {
        const { queue } = job.content;
        pending[queue] = (pending[queue] ?? 0) + 1;
      }
    }
    return pending;
  }

  private _retire(reason: string): void {
    if (this._isRetired) {
      return;
    }
    this._isRetired = true;
    this._log('standing down', {
      reason,
      jobs: this._jobs.size,
      ...(this._stop
        ? {
            stoppingMs: this._stop.elapsedMs(this._nowMs),
            hasBegunToLeave: this._isLeaving,
          }
        : {}),
    });
    this._answerOpenCalls('this entry was replaced');
    // An entry that has begun to leave has nothing left to do but to end.
    this._actions.push(
      this._isLeaving ? { kind: 'stopped' } : { kind: 'retire', reason },
    );
  }

  /** Answers all calls without a reply, because this incarnation ends. */
  private _answerOpenCalls(detail: string): void {
    for (const ownedJob of this._jobs.values()) {
      if (ownedJob.job.content.isVolatile) {
        this._replyAll(ownedJob.endReplies, abandonedReply(ownedJob, detail));
        ownedJob.endReplies = [];
        const { id, job } = ownedJob;
        this._lateStarts.onAbandoned(id, job.placedTasks, this._nowMs);
      }
    }
    this._lateStarts.pump(this._nowMs, true);
    this._replyAll(this._openReplies(), { kind: 'in-doubt', detail });
  }

  private _openReplies(): number[] {
    return [
      ...[...this._submissions.values()].flatMap((s) => s.replies),
      ...this._lookups.replyIds,
      ...this._countCalls.map(({ replyId }) => replyId),
      ...[...this._jobs.values()].flatMap((ownedJob) => ownedJob.cancelReplies),
      ...[...this._jobs.values()].flatMap((ownedJob) => ownedJob.endReplies),
    ];
  }

  // Submissions

  private _onSubmit(
    event: Extract<BatchEvent, { kind: 'submit' }>,
    now: number,
  ): void {
    const { id, replyId, content } = event;
    const invalidField = invalidFieldOf(content);
    if (invalidField !== undefined) {
      const reason = SubmitRefusal.Invalid;
      this._log('job refused', { job: id, reason, field: invalidField });
      const retryAfterMs = DEFAULT_RETRY_AFTER_MS;
      this._reply(replyId, { kind: 'refused', reason, retryAfterMs });
      return;
    }
    if (content.isVolatile) {
      this._volatile.onSubmit(event, now);
      return;
    }
    if (this._jobs.has(id) || this._ended.has(id)) {
      this._reply(replyId, { kind: 'accepted' });
      return;
    }
    const open = this._submissions.get(id);
    if (open) {
      open.replies.push(replyId);
      return;
    }
    const refusal = this._refusalOfRecorded();
    if (refusal) {
      this._log('job refused', { job: id, reason: refusal });
      this._reply(replyId, {
        kind: 'refused',
        reason: refusal,
        retryAfterMs: DEFAULT_RETRY_AFTER_MS,
      });
      return;
    }
    const encoded = this._recorder.encode(content);
    if (encoded.kind === 'too-large') {
      const { sizeBytes, limitBytes } = encoded;
      this._refuseTooLarge([replyId], id, sizeBytes, limitBytes);
      return;
    }
    const deadlineMs = event.deadlineMs - REPLY_MARGIN_MS;
    this._submissions.set(id, { replies: [replyId], deadlineMs });
    this._recorder.submit(id, encoded.value, deadlineMs, (outcome, at) => {
      const replies = this._submissions.get(id)?.replies ?? [];
      this._submissions.delete(id);
      switch (outcome.kind) {
        case 'committed':
          this._addJob(
            new BatchJob({ id, content, epoch: 0, acceptedAtMs: at }),
            {
              id,
              version: outcome.version,
              hasProgressRow: false,
              progressVersion: 0,
            },
          );
          this._log('job accepted', {
            job: id,
            queue: content.queue,
            config: this.routes.version ?? 0,
            tasks: countTasks(content.steps),
            recordMs: Math.round(at - now),
          });
          this._replyAll(replies, { kind: 'accepted' });
          return;
        case 'conflict':
          if (outcome.keys.includes(fleetKeys.job(id))) {
            this._lookUpSubmitted(id, replies, event.deadlineMs, at);
          } else {
            const detail = 'this entry was replaced';
            this._replyAll(replies, { kind: 'in-doubt', detail });
          }
          return;
        case 'rejected':
          this._refuseTooLarge(replies, id, outcome.valueBytes);
          return;
        case 'abandoned':
          this._log('job refused', { job: id, reason: 'store gave no answer' });
          this._replyAll(replies, {
            kind: 'refused',
            reason: SubmitRefusal.StoreUnavailable,
            retryAfterMs: DEFAULT_RETRY_AFTER_MS,
          });
      }
    });
  }

  /**
   * Answers submissions of a job that has a row already, because another entry
   * has accepted it, or because it was cancelled.
   */
  private _lookUpSubmitted(
    id: string,
    replyIds: readonly number[],
    deadlineMs: number,
    now: number,
  ): void {
    this._log('job has a row already', { job: id, callers: replyIds.length });
    for (const replyId of replyIds) {
      this._lookups.begin({ kind: 'submit', replyId, id, deadlineMs }, now);
    }
  }

  /** Answers submissions of a job that the store can't hold. */
  private _refuseTooLarge(
    replies: readonly number[],
    id: string,
    sizeBytes: number,
    limitBytes?: number,
  ): void {
    this._log('job refused', {
      job: id,
      reason: 'too-large',
      sizeBytes,
      ...(limitBytes === undefined ? {} : { limitBytes }),
    });
    const size = `the job takes up to ${String(sizeBytes)} bytes in the store`;
    const detail =
      limitBytes === undefined
        ? `${size}, which rejects it`
        : `${size}, more than the limit of ${String(limitBytes)} bytes`;
    this._replyAll(replies, { kind: 'too-large', detail });
  }

  /**
   * Whether this entry may place runs and extend the time until which its runs
   * may continue. Only recorded jobs can be taken over, so an entry without
   * recorded jobs needs no entry lease.
   */
  private get _mayPlaceRuns(): boolean {
    return this._lease.isHeld || this._recordedJobCount === 0;
  }

  private _onCallerDisconnected(replyId: number, now: number): void {
    this._lookups.remove(replyId);
    for (const ownedJob of this._jobs.values()) {
      if (ownedJob.endReplies.includes(replyId)) {
        ownedJob.endReplies = ownedJob.endReplies.filter(
          (other) => other !== replyId,
        );
        const { isVolatile } = ownedJob.job.content;
        if (isVolatile && ownedJob.endReplies.length === 0) {
          this._abandon(ownedJob, 'caller gone', now);
        }
        return;
      }
    }
  }

  /**
   * Ends a volatile job whose caller no longer waits or may have resubmitted it
   * to another entry.
   */
  private _abandon(ownedJob: OwnedJob, reason: string, now: number): void {
    const { job } = ownedJob;
    const placed = job.placedTasks;
    this._log('job abandoned', {
      job: ownedJob.id,
      reason,
      ageMs: Math.round(now - job.acceptedAtMs),
      callers: ownedJob.endReplies.length,
      activeRuns: placed.length,
      ...(placed.length === 0
        ? {}
        : {
            sincePlacedMs: Math.round(
              now - Math.max(...placed.map((task) => task.sinceMs)),
            ),
          }),
    });
    this._stopRuns(ownedJob);
    this._lateStarts.onAbandoned(ownedJob.id, placed, now);
    this._removeAndAcknowledge(ownedJob, now);
    this._replyAll(ownedJob.endReplies, abandonedReply(ownedJob, reason));
  }

  private _abandonVolatile(reason: string, now: number): void {
    for (const ownedJob of [...this._jobs.values()]) {
      if (ownedJob.job.content.isVolatile) {
        this._abandon(ownedJob, reason, now);
      }
    }
  }

  private _removeAndAcknowledge(ownedJob: OwnedJob, now: number): void {
    this._remove(ownedJob);
    this._fleet.acknowledge(ownedJob.unacknowledged, now);
  }

  private _remove(ownedJob: OwnedJob): void {
    this._placer.delete(ownedJob);
    if (this._jobs.delete(ownedJob.id) && !ownedJob.job.content.isVolatile) {
      this._recordedJobCount -= 1;
    }
  }

  private _refusalOfRecorded(): SubmitRefusal | undefined {
    if (this._refusesWork) {
      return SubmitRefusal.Stopping;
    }
    if (this._lease.isStoreUnavailable) {
      return SubmitRefusal.StoreUnavailable;
    }
    return this._lease.isHeld ? undefined : SubmitRefusal.NoLease;
  }

  private _addJob(
    job: BatchJob,
    record: RecordedJob,
    deadlineMs = Number.POSITIVE_INFINITY,
  ): OwnedJob {
    const ownedJob: OwnedJob = {
      ...record,
      job,
      unacknowledged: [],
      unacknowledgedSinceMs: 0,
      hasUnsavedCrash: false,
      isSaving: false,
      isProgressRejected: false,
      isFinishing: false,
      cancelReplies: [],
      endReplies: [],
      deadlineMs,
      unsettledPredecessor: undefined,
    };
    this._jobs.set(job.id, ownedJob);
    this._placer.add(ownedJob);
    this._placer.overload.onSubmitted(job.content, job.acceptedAtMs);
    this._recordedJobCount += job.content.isVolatile ? 0 : 1;
    return ownedJob;
  }

  // Status and cancel calls

  private _answerLocally(lookup: JobLookup, now: number): boolean {
    const ownedJob = this._jobs.get(lookup.id);
    const state = ownedJob?.job.state ?? this._ended.get(lookup.id)?.state;
    if (state === undefined) {
      return false;
    }
    if (lookup.kind === 'submit') {
      this._reply(lookup.replyId, { kind: 'accepted' });
    } else if (lookup.kind === 'status') {
      // A final state holds once it is recorded; until then another owner may
      // start tasks again.
      const isUnrecorded = ownedJob !== undefined && isFinal(state);
      const shown = isUnrecorded ? BatchState.Running : state;
      this._reply(lookup.replyId, { kind: 'state', state: shown });
    } else if (ownedJob) {
      ownedJob.cancelReplies.push(lookup.replyId);
      if (!isFinal(state)) {
        ownedJob.job.state = BatchState.Cancelled;
        this._finish(ownedJob, now);
      }
    } else {
      this._reply(lookup.replyId, { kind: 'cancelled' });
    }
    return true;
  }

  private _forwardCancel(callId: number, owner: string, id: string): boolean {
    const peer = this._peers.get(owner);
    if (!peer) {
      return false;
    }
    const { address } = peer.row;
    this._actions.push({ kind: 'forward-cancel', callId, address, id });
    return true;
  }

  private _reply(replyId: number, reply: BatchReply): void {
    this._actions.push({ kind: 'reply', replyId, reply });
  }

  private _replyAll(replyIds: readonly number[], reply: BatchReply): void {
    for (const replyId of replyIds) {
      this._reply(replyId, reply);
    }
  }

  // Ends of jobs

  private _finish(ownedJob: OwnedJob, now: number): void {
    const isUnsettled =
      ownedJob.unsettledPredecessor !== undefined &&
      ownedJob.job.state !== BatchState.Cancelled;
    if (ownedJob.isFinishing || isUnsettled) {
      // Until all workers have reported, one of them may still list a later run
      // of a task whose `DONE` end would be acknowledged here.
      return;
    }
    ownedJob.isFinishing = true;
    this._placer.delete(ownedJob);
    const { job } = ownedJob;
    this._stopRuns(ownedJob);
    if (job.content.isVolatile) {
      this._log('job ended', {
        job: ownedJob.id,
        state: job.state,
        tookMs: Math.round(now - job.acceptedAtMs),
      });
      this._removeAndAcknowledge(ownedJob, now);
      this._replyAll(ownedJob.cancelReplies, { kind: 'cancelled' });
      this._replyAll(ownedJob.endReplies, { kind: 'ended', state: job.state });
      return;
    }
    const isUrgent = ownedJob.cancelReplies.length > 0;
    this._recorder.finish(ownedJob, job.state, isUrgent, now, (outcome, at) => {
      this._remove(ownedJob);
      if (outcome.kind !== 'committed') {
        this._log('job lost to another owner', { job: ownedJob.id });
        const replyIds = [...ownedJob.cancelReplies, ...ownedJob.endReplies];
        this._replyAll(replyIds, {
          kind: 'in-doubt',
          detail: 'another entry owns the job',
        });
        return;
      }
      this._ended.set(ownedJob.id, {
        state: job.state,
        version: outcome.version,
        endedAtMs: at,
      });
      this._log('job ended', {
        job: ownedJob.id,
        state: job.state,
        tookMs: Math.round(at - job.acceptedAtMs),
        recordMs: Math.round(at - now),
      });
      this._fleet.acknowledge(ownedJob.unacknowledged, at);
      this._replyAll(ownedJob.cancelReplies, { kind: 'cancelled' });
      this._replyAll(ownedJob.endReplies, { kind: 'ended', state: job.state });
    });
  }

  private _stopRuns(ownedJob: OwnedJob): void {
    for (const task of ownedJob.job.placedTasks) {
      this._fleet.stopRunOf(task);
      if (ownedJob.job.content.isVolatile) {
        const { name, run, worker } = task;
        this._stoppingRuns.add({ task: name, run }, worker);
      }
    }
  }

  private _saveProgress(now: number): void {
    for (const ownedJob of this._jobs.values()) {
      const areEndsDue =
        ownedJob.unacknowledged.length > 0 &&
        now - ownedJob.unacknowledgedSinceMs > PROGRESS_DELAY_MS;
      if (
        !(areEndsDue || ownedJob.hasUnsavedCrash) ||
        ownedJob.job.content.isVolatile ||
        // Its ends are acknowledged once its final state is recorded.
        isFinal(ownedJob.job.state) ||
        ownedJob.isSaving ||
        ownedJob.isProgressRejected
      ) {
        continue;
      }
      const ends = ownedJob.unacknowledged;
      ownedJob.unacknowledged = [];
      ownedJob.hasUnsavedCrash = false;
      ownedJob.isSaving = true;
      const progress = this._progressOf(ownedJob);
      this._recorder.saveProgress(ownedJob, progress, now, (outcome, at) => {
        ownedJob.isSaving = false;
        this._log('progress recorded', {
          job: ownedJob.id,
          outcome: outcome.kind,
          ends: ends.length,
          done: progress.done.length,
          tookMs: Math.round(at - now),
        });
        switch (outcome.kind) {
          case 'committed':
            this._fleet.acknowledge(ends, at);
            return;
          case 'rejected':
            // They are acknowledged once the final state is recorded.
            ownedJob.unacknowledged = [...ends, ...ownedJob.unacknowledged];
            ownedJob.isProgressRejected = true;
            return;
          case 'conflict':
          case 'abandoned':
        }
      });
    }
  }

  private _progressOf({ job }: OwnedJob): BatchProgress {
    const crashes: Record<string, readonly TaskCrash[]> = {};
    job.tasks.forEach((task, position) => {
      if (this._crashes.isSuspect(task.name)) {
        crashes[String(position)] = this._crashes.crashesOf(task.name);
      }
    });
    return { ...job.progress, crashes };
  }

  // Takeover

  private _monitorPeers(now: number): void {
    const needsAllPeers =
      this._lease.isStoreInDoubt(now) ||
      now - this._pendingAskedAtMs < PENDING_INTEREST_MS ||
      now - this._fleet.linkLostAtMs < LOST_DRIVER_INTEREST_MS;
    const scope = needsAllPeers ? ProbeScope.All : ProbeScope.Neighbours;
    for (const peer of this._peers.due(scope, now)) {
      this._actions.push({
        kind: 'probe',
        incarnation: peer.incarnation,
        address: peer.row.address,
      });
    }
    if (
      !this._lease.isHeld ||
      this._lease.isStoreUnavailable ||
      this._refusesWork
    ) {
      return;
    }
    this._takeovers.pump(now);
  }

  private _onAdopted(
    predecessor: string,
    adopted: AdoptedJob,
    now: number,
  ): void {
    const { record, row, progress } = adopted;
    const job = new BatchJob({
      id: record.id,
      content: withWholeNeeds(row.content),
      epoch: row.epoch,
      acceptedAtMs: now,
      progress,
    });
    for (const [position, crashes] of Object.entries(progress.crashes ?? {})) {
      const task = job.tasks[Number(position)];
      if (task) {
        this._crashes.restore(task.name, crashes);
      }
    }
    const ownedJob = this._addJob(job, record);
    ownedJob.unsettledPredecessor = predecessor;
    this._reports.giveUpCrashing(ownedJob, now);
    this._reports.giveUpInvalid(ownedJob, now);
  }

  private _onTakeoverSettled(predecessor: string, now: number): void {
    for (const ownedJob of this._jobs.values()) {
      if (ownedJob.unsettledPredecessor !== predecessor) {
        continue;
      }
      ownedJob.unsettledPredecessor = undefined;
      if (isFinal(ownedJob.job.state)) {
        this._finish(ownedJob, now);
        continue;
      }
      for (const task of ownedJob.job.tasks) {
        if (task.phase === TaskPhase.Unknown) {
          ownedJob.job.requeue(task, now);
        }
      }
      this._placer.add(ownedJob);
    }
  }

  // Timers

  private _onTick(now: number): void {
    this._lease.update(now);
    if (!this._continuesStop) {
      this._updateLinks(now);
    }
    this._monitorPeers(now);
    this._reports.pump(now);
    this._stoppingRuns.prune();
    this._lateStarts.pump(now);
    this._volatile.refuse(this._placer.tooLate(now), now);
    this._saveProgress(now);
    this._deleteExpired(now);
    this._checkDeadlines(now);
    this._checkStop(now);
  }

  private _updateLinks(now: number): void {
    this._fleet.updateLinks(
      {
        fenced: this._takeovers.fenced,
        all: this._takeovers.hasUnsettled,
        shortage: this._placer.shortage,
        others: this._peers.unsuspectedRows(now),
      },
      now,
    );
  }

  private _deleteExpired(now: number): void {
    for (const retained of [this._ended, this._withdrawn]) {
      for (const [id, { version, endedAtMs }] of retained) {
        if (now - endedAtMs < this._options.stateRetentionMs) {
          break;
        }
        retained.delete(id);
        this._recorder.deleteEnded(id, version, now);
      }
    }
  }

  private _checkDeadlines(now: number): void {
    for (const submission of this._submissions.values()) {
      if (now > submission.deadlineMs && submission.replies.length > 0) {
        this._replyAll(submission.replies, {
          kind: 'in-doubt',
          detail: 'the store has not confirmed the job yet',
        });
        submission.replies = [];
      }
    }
    for (const ownedJob of [...this._jobs.values()]) {
      if (now > ownedJob.deadlineMs) {
        this._abandon(ownedJob, 'deadline passed', now);
      }
    }
    this._lookups.pump(now);
    this._answerCounts(now);
  }

  private _beginStop(sinceMs: number): void {
    this._stop ??= new StopSchedule(sinceMs, this._options.stopGraceMs);
  }

  private _checkStop(now: number): void {
    if (!this._stop || this._isRetired) {
      return;
    }
    this._stop.observeTick(now);
    if (this._isLeaving) {
      if (now >= this._leaveUntilMs) {
        this._endStop('row not marked', now);
      }
      return;
    }
    const isIdle =
      this._jobs.size === 0 &&
      this._submissions.size === 0 &&
      this._lookups.replyIds.length === 0;
    if (this._stop.mayLeave(isIdle, now)) {
      this._leave(this._stop, now);
    }
  }

  private _leave(stop: StopSchedule, now: number): void {
    this._isLeaving = true;
    this._abandonVolatile('this entry has stopped', now);
    this._log('leaving', {
      stoppingMs: stop.elapsedMs(now),
      jobs: this._jobs.size,
      submissions: this._submissions.size,
      lookups: this._lookups.replyIds.length,
      counts: this._countCalls.length,
    });
    const isMarking = this._lease.leave((outcome, at) => {
      this._endStop(outcome.kind, at);
    }, now);
    // Without a write the next tick ends the stop, once the stops of the runs
    // have been sent.
    this._leaveUntilMs = isMarking
      ? Math.min(now + ENTRY_LEASE_MS, stop.endsByMs)
      : now;
  }

  private _endStop(outcome: string, now: number): void {
    const stoppingMs = this._stop?.elapsedMs(now) ?? 0;
    const openCalls = this._openReplies().length;
    this._log('left', { outcome, stoppingMs, openCalls });
    this._answerOpenCalls('this entry has stopped');
    this._isRetired = true;
    this._actions.push({ kind: 'stopped' });
  }

  private _flush(pollAgeMs: number, now: number): void {
    this._lease.update(now);
    if (this._mayPlaceRuns && !this._isLeaving) {
      this._place(pollAgeMs, now);
    } else {
      this._hasPolledAgain = false;
    }
    this._recorder.pump(now);
    this._stores.pump(now);
    for (const req of this._lease.next(now)) {
      this._actions.push({ kind: 'follow', req });
    }
    this._fleet.sendOrders(
      {
        grantsFromMs: this._mayPlaceRuns
          ? this._knownUntilMs(pollAgeMs, now)
          : undefined,
        operatorVersion: this._lease.operatorVersion,
        operatorAgeMs: this._lease.operatorAgeMs(now),
        isOutOfService: (dataCentre) => this.routes.isOutOfService(dataCentre),
      },
      now,
    );
  }

  /**
   * Returns the time until which the close of a caller's connection would have
   * been noticed, to within {@link RunLimits.maxPollAgeMs}.
   */
  private _knownUntilMs(pollAgeMs: number, now: number): number {
    return pollAgeMs > this._options.runLimits.maxPollAgeMs
      ? now - pollAgeMs
      : (this._turnBeganAtMs ?? now);
  }

  /**
   * Places tasks, after another poll of the sockets if the last one is too long
   * ago. There is one such poll for each placement, so that an entry whose turns
   * all take long places tasks, too.
   */
  private _place(pollAgeMs: number, now: number): void {
    this._hasPolledAgain =
      !this._hasPolledAgain &&
      pollAgeMs > this._options.runLimits.maxPollAgeMs &&
      this._placer.size > 0;
    if (this._hasPolledAgain) {
      this._actions.push({ kind: 'poll-again' });
    } else {
      this._volatile.refuse(this._placer.place(now), now);
    }
  }

  private _log(message: string, fields: LogFields): void {
    this._actions.push({ kind: 'log', message, fields });
  }
}
