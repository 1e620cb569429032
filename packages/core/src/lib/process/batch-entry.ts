import { EndKind, StartRefusal } from '../messages.js';
import type { RunEnd, WorkerReport } from '../messages.js';
import {
  BatchJob,
  BatchState,
  TaskPhase,
  chainEstimateMs,
  isFinal,
} from '../request/batch-job.js';
import type { BatchContent, BatchTask } from '../request/batch-job.js';
import { addRoom, subtractRoom } from '../request/room.js';
import { RouteTable } from '../version/route-table.js';
import type { OperatorChange } from '../version/route-table.js';
import type { ChangedRow } from '../store.js';
import { SubmitRefusal } from './batch-events.js';
import type {
  BatchAction,
  BatchEvent,
  BatchReply,
  LogFields,
  PeerStatus,
} from './batch-events.js';
import {
  hasBegun,
  isHopeless,
  orderJobs,
  prospectOf,
} from './batch-order.js';
import type { Prospect, RankedJob } from './batch-order.js';
import {
  ENTRY_PREFIX,
  MEMBER_TABLE,
  WORKER_PREFIX,
  decodeEntryRow,
  decodeJobRow,
  decodeWorkerRow,
  fleetKeys,
  partName,
  partOf,
} from './fleet-rows.js';
import type { EndedJobRow, EntryRow, OpenJobRow } from './fleet-rows.js';
import { JobRecorder } from './job-recorder.js';
import type { RecordedJob } from './job-recorder.js';
import { MEMBER_PART, PartStores } from './part-stores.js';
import { PeerWatch, TENURE_MS } from './peer-watch.js';
import type { Peer } from './peer-watch.js';
import { Succession } from './succession.js';
import type { AdoptedJob } from './succession.js';
import { TableFollower } from './table-follower.js';
import { chooseWorker } from './worker-choice.js';
import type { Candidate } from './worker-choice.js';
import { WorkerHealth } from './worker-health.js';
import { WorkerView, runName } from './worker-view.js';

/** Options of {@link BatchEntry}. */
export interface BatchEntryOptions {
  readonly name: string;
  readonly incarnation: string;
  /** Where other entries reach this one. */
  readonly address: string;
  readonly dataCentre: string;
  /** Uniform random numbers from 0 to 1. */
  readonly random: () => number;
  /** Table in which operators write; followed for every change. */
  readonly operatorTable: string;
  /** Reads one row of the operators' table. */
  readonly decodeOperatorRow: (row: ChangedRow) => OperatorChange;
  /** How long the state of an ended job is known. */
  readonly keepStateMs?: number;
  /** Run time away from a task's data against the time near it. */
  readonly farFactor?: number;
}

const DEFAULT_KEEP_STATE_MS = 120_000;
const DEFAULT_FAR_FACTOR = 1.5;
/** Longest wait of a call for changes of the members. */
const MEMBER_WAIT_MS = 600;
/** Longest wait of a call for changes by operators. */
const OPERATOR_WAIT_MS = 1000;
/** Pause between two words to a worker that has runs of this entry. */
const GRANT_PERIOD_MS = 200;
/** Pause between two words to a worker that has none. */
const IDLE_GRANT_PERIOD_MS = 500;
/** Pause before a link to a worker is opened again. */
const REOPEN_MS = 100;
/** Ends of a job that goes on are recorded after this time. */
const PROGRESS_AFTER_MS = 500;
/** Pause between two tries of a lookup. */
const ASK_RETRY_MS = 60;
/** Kept back from a caller's deadline for the answer to reach it. */
const REPLY_RESERVE_MS = 100;
/** When a caller may come back after a refusal for want of the store. */
const STORE_RETRY_AFTER_MS = 1000;
/** When a caller may come back after a refusal for want of room. */
const OVERLOAD_RETRY_AFTER_MS = 2000;
/** Failed calls in a row after which the store counts as away. */
const STORE_AWAY_FAILURES = 3;
/** Delay of each further entry before it takes over a silent one. */
const RANK_DELAY_MS = 400;
/** Time that callers get to notice a planned stop. */
const STOP_QUIET_MS = 2500;
/** When open jobs are left to the other entries, or answered as in doubt. */
const STOP_LIMIT_MS = 5500;
/** A job taken during a planned stop has to end by then. */
const STOP_ACCEPT_MS = 5000;
/** Factor on the estimate of a job's length that is taken during a stop. */
const STOP_ESTIMATE_FACTOR = 1.6;
/** How long fenced incarnations are named to workers that connect. */
const FENCE_MEMORY_MS = 60_000;

/** An end that is acknowledged once its job's row covers it. */
interface OwedRecord {
  readonly worker: string;
  readonly life: string;
  readonly number: number;
  readonly superseded: boolean;
  /** Whether this entry has sent the run. */
  readonly isOwnRun: boolean;
}

interface OwnJob extends RecordedJob {
  readonly job: BatchJob;
  owed: OwedRecord[];
  owedSinceMs: number;
  isSaving: boolean;
  isFinishing: boolean;
  /** Callers that wait for the final row. */
  cancelReplies: number[];
  /** Callers that wait for the end of a job that is not recorded. */
  endReplies: number[];
  /** When the callers of a volatile job stop waiting. */
  readonly deadlineMs: number;
  /** Incarnation whose runs of this job are not all known yet. */
  heirOf: string | undefined;
}

interface EndedJob {
  readonly state: BatchState;
  readonly version: number;
  readonly endedAtMs: number;
}

interface Submission {
  replies: number[];
  readonly deadlineMs: number;
}

interface Ask {
  readonly replyId: number;
  readonly kind: 'status' | 'cancel';
  readonly id: string;
  readonly deadlineMs: number;
  nextTryAtMs: number;
  isWaiting: boolean;
}

interface Heir {
  readonly succession: Succession;
  readonly victim: string;
  isLoaded: boolean;
  isSettled: boolean;
  readonly startedAtMs: number;
}

/**
 * An entry on the platform: takes jobs, records them, places their tasks on
 * workers, and takes over from entries that are gone.
 */
export class BatchEntry {
  readonly routes = new RouteTable();
  private readonly _options: Required<BatchEntryOptions>;
  private readonly _stores: PartStores;
  private readonly _recorder: JobRecorder;
  private readonly _members: TableFollower;
  private readonly _operators: TableFollower;
  private readonly _peers = new PeerWatch();
  private readonly _health = new WorkerHealth();
  private readonly _workers = new Map<string, WorkerView>();
  private readonly _links = new Map<number, WorkerView>();
  private readonly _jobs = new Map<string, OwnJob>();
  private readonly _ended = new Map<string, EndedJob>();
  private readonly _submissions = new Map<string, Submission>();
  private readonly _asks = new Map<number, Ask>();
  private readonly _forwards = new Map<number, Ask>();
  private readonly _heirs = new Map<string, Heir>();
  private readonly _fenced = new Map<string, number>();
  /** Runs that were given up although their end may still be listed. */
  private readonly _superseded = new Map<string, number>();
  /** Jobs that may have tasks to place. */
  private readonly _waiting = new Set<OwnJob>();
  private _actions: BatchAction[] = [];
  private _nextLinkId = 1;
  private _nextCallId = 1;
  private _hasTenure = false;
  private _recordedJobs = 0;
  private _isStoreAway = false;
  private _isRegistered = false;
  private _ownVersion = 0;
  private _isDown = false;
  private _stoppingSinceMs: number | undefined;
  private _isLeaving = false;

  /**
   * @param options - Names, address and the reader of operators' rows.
   * @param now - Current time in milliseconds.
   */
  constructor(options: BatchEntryOptions, now: number) {
    this._options = {
      keepStateMs: DEFAULT_KEEP_STATE_MS,
      farFactor: DEFAULT_FAR_FACTOR,
      ...options,
    };
    this._stores = new PartStores(
      {
        emit: (opId, part, req) => {
          this._actions.push({ kind: 'store', opId, part, req });
        },
        random: options.random,
      },
      now,
    );
    this._recorder = new JobRecorder({
      stores: this._stores,
      incarnation: options.incarnation,
      onFenced: () => {
        this._standDown('owner row is gone');
      },
    });
    this._members = new TableFollower({
      table: MEMBER_TABLE,
      waitMs: MEMBER_WAIT_MS,
      onChange: (row, at) => {
        this._onMember(row, at);
      },
    });
    this._operators = new TableFollower({
      table: options.operatorTable,
      waitMs: OPERATOR_WAIT_MS,
      onChange: (row) => {
        this._onOperatorRow(row);
      },
    });
    this._register();
    this._recorder.start();
  }

  /** Whether a planned stop has begun. */
  get isStopping(): boolean {
    return this._stoppingSinceMs !== undefined;
  }

  /** Whether jobs are taken. */
  get isReady(): boolean {
    return (
      this.routes.version !== undefined && this._stoppingSinceMs === undefined
    );
  }

  /** Jobs without a final row. */
  get openJobs(): number {
    return this._jobs.size;
  }

  /** Jobs with tasks that wait for room. */
  get waitingJobs(): number {
    return this._waiting.size;
  }

  /** @returns Whether this entry runs the job or knows how it ended. */
  owns(id: string): boolean {
    return this._jobs.has(id) || this._ended.has(id);
  }

  /** @returns What other entries may know of this one. */
  statusOf(now: number): PeerStatus {
    return {
      incarnation: this._options.incarnation,
      storeReachable: now - this._members.confirmedAtMs < TENURE_MS,
      pending: this._pendingHere(),
    };
  }

  /**
   * @param queue - Name of a queue.
   * @returns Accepted jobs of all entries for which no task has started.
   */
  pending(queue: string): number {
    let sum = this._pendingHere()[queue] ?? 0;
    for (const peer of this._peers.peers) {
      sum += peer.status?.pending[queue] ?? 0;
    }
    return sum;
  }

  /**
   * @param event - What happened.
   * @param now - Current time in milliseconds.
   * @returns What has to be done.
   */
  handle(event: BatchEvent, now: number): BatchAction[] {
    if (!this._isDown) {
      this._handle(event, now);
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
        this._onAsk(
          {
            replyId: event.replyId,
            kind: event.kind,
            id: event.id,
            deadlineMs: event.deadlineMs,
            nextTryAtMs: now,
            isWaiting: false,
          },
          now,
        );
        return;
      case 'caller-gone':
        this._onCallerGone(event.replyId, now);
        return;
      case 'link-closed':
        this._onLinkClosed(event.linkId, now);
        return;
      case 'report':
        this._onReport(event.linkId, event.report, now);
        return;
      case 'store-reply':
        this._stores.onReply(event.opId, event.reply, now);
        return;
      case 'follow-reply':
        this._follower(event.table)?.onReply(event.reply, now);
        return;
      case 'operator-change':
        this._applyOperatorChange(event.change);
        return;
      case 'probe-reply':
        this._peers.onProbed(event.incarnation, event.status, now);
        return;
      case 'forward-reply':
        this._onForwarded(event.callId, event.handled, now);
        return;
      case 'paused':
        this._log('pause suspected', { jumpMs: Math.round(event.jumpMs) });
        this._members.distrust();
        // Callers may have given up meanwhile and asked another entry.
        this._abandonVolatile('this process was paused', now);
        return;
      case 'tick':
        this._onTick(now);
        return;
      case 'stop':
        this._stoppingSinceMs ??= now;
        return;
      case 'flush':
        this._flush(now);
    }
  }

  private _follower(table: string): TableFollower | undefined {
    if (table === MEMBER_TABLE) {
      return this._members;
    }
    return table === this._options.operatorTable ? this._operators : undefined;
  }

  private _pendingHere(): Record<string, number> {
    const pending: Record<string, number> = {};
    for (const { job } of this._jobs.values()) {
      if (job.state === BatchState.Queued) {
        const { queue } = job.content;
        pending[queue] = (pending[queue] ?? 0) + 1;
      }
    }
    return pending;
  }

  // Members and tenure

  private _register(): void {
    const { incarnation, name, address, dataCentre } = this._options;
    const key = fleetKeys.entry(incarnation);
    const row: EntryRow = { name, address, dataCentre };
    this._stores.writer(MEMBER_PART).submit({
      conditions: [{ key, version: 0 }],
      writes: [{ key, value: JSON.stringify(row) }],
      proofKey: key,
      onDone: (outcome) => {
        if (outcome.kind === 'committed') {
          this._isRegistered = true;
          this._ownVersion = outcome.version;
        }
      },
    });
  }

  private _onMember(row: ChangedRow, now: number): void {
    if (row.key.startsWith(ENTRY_PREFIX)) {
      this._onEntryRow(row.key.slice(ENTRY_PREFIX.length), row, now);
    } else if (row.key.startsWith(WORKER_PREFIX)) {
      this._onWorkerRow(row.key.slice(WORKER_PREFIX.length), row);
    }
  }

  private _onEntryRow(incarnation: string, row: ChangedRow, now: number): void {
    const data = row.value === null ? undefined : decodeEntryRow(row.value);
    if (incarnation === this._options.incarnation) {
      const isReplaced = data?.fencedBy !== undefined || row.value === null;
      if (isReplaced && this._isRegistered) {
        this._standDown(`fenced by ${data?.fencedBy ?? 'a successor'}`);
      }
      return;
    }
    if (!data) {
      this._peers.delete(incarnation);
      return;
    }
    const peer = this._peers.set(incarnation, data, row.version, now);
    // One process a VM and role: an earlier incarnation of this name is gone.
    peer.isGone ||= data.name === this._options.name;
  }

  private _onWorkerRow(name: string, row: ChangedRow): void {
    const data = row.value === null ? undefined : decodeWorkerRow(row.value);
    const view = this._workers.get(name);
    if (!data) {
      if (view && view.linkId === undefined) {
        this._workers.delete(name);
      }
      return;
    }
    if (view) {
      view.address = data.address;
    } else {
      this._workers.set(name, new WorkerView(name, data.address));
    }
  }

  private _onOperatorRow(row: ChangedRow): void {
    this._applyOperatorChange(this._options.decodeOperatorRow(row));
  }

  private _applyOperatorChange(change: OperatorChange): void {
    if (change.kind === 'other') {
      this._log('operator row ignored', {
        key: change.key,
        detail: change.detail,
      });
      return;
    }
    if (this.routes.apply(change)) {
      this._log('configuration in force', {
        version: this.routes.version ?? 0,
        dataCentresOut: this.routes.out.join(','),
      });
    }
  }

  private _updateTenure(now: number): void {
    const isConfirmed = now - this._members.confirmedAtMs <= TENURE_MS;
    const has =
      this._isRegistered &&
      (isConfirmed ||
        (this._members.isLoaded && this._peers.agreesOnOutage(now)));
    if (has !== this._hasTenure) {
      this._hasTenure = has;
      this._log(has ? 'tenure gained' : 'tenure lost', {
        storeAgeMs: Math.min(
          1e9,
          Math.round(now - this._members.confirmedAtMs),
        ),
      });
    }
    const isAway = this._members.failures >= STORE_AWAY_FAILURES;
    if (isAway !== this._isStoreAway) {
      this._isStoreAway = isAway;
      this._log(isAway ? 'store lost' : 'store regained', {
        failures: this._members.failures,
      });
    }
  }

  private _standDown(reason: string): void {
    if (this._isDown) {
      return;
    }
    this._isDown = true;
    this._log('standing down', { reason, jobs: this._jobs.size });
    for (const replyId of this._openReplies()) {
      this._reply(replyId, {
        kind: 'in-doubt',
        detail: 'this entry was replaced',
      });
    }
    this._actions.push({ kind: 'stand-down', reason });
  }

  private _openReplies(): number[] {
    return [
      ...[...this._submissions.values()].flatMap((s) => s.replies),
      ...this._asks.keys(),
      ...[...this._jobs.values()].flatMap((own) => own.cancelReplies),
      ...[...this._jobs.values()].flatMap((own) => own.endReplies),
    ];
  }

  // Submissions

  private _onSubmit(
    event: Extract<BatchEvent, { kind: 'submit' }>,
    now: number,
  ): void {
    const { id, replyId, content } = event;
    if (content.isVolatile) {
      this._onVolatile(event, now);
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
    const refusal = this._refusalOf();
    if (refusal) {
      this._log('job refused', { job: id, reason: refusal });
      this._reply(replyId, {
        kind: 'refused',
        reason: refusal,
        retryAfterMs: STORE_RETRY_AFTER_MS,
      });
      return;
    }
    const deadlineMs = event.deadlineMs - REPLY_RESERVE_MS;
    this._submissions.set(id, { replies: [replyId], deadlineMs });
    this._recorder.submit(id, content, deadlineMs, (outcome, at) => {
      const replies = this._submissions.get(id)?.replies ?? [];
      this._submissions.delete(id);
      switch (outcome.kind) {
        case 'committed':
          this._addJob(
            new BatchJob({ id, content, epoch: 0, acceptedAtMs: at }),
            { id, version: outcome.version, hasProgressRow: false },
          );
          this._log('job accepted', {
            job: id,
            queue: content.queue,
            config: this.routes.version ?? 0,
            tasks: content.steps.reduce((sum, step) => sum + step.count, 0),
            recordMs: Math.round(at - now),
          });
          this._replyAll(replies, { kind: 'accepted' });
          return;
        case 'conflict':
          this._replyAll(
            replies,
            outcome.keys.includes(fleetKeys.job(id))
              ? { kind: 'accepted' }
              : { kind: 'in-doubt', detail: 'this entry was replaced' },
          );
          return;
        case 'given-up':
          this._log('job refused', { job: id, reason: 'store gave no answer' });
          this._replyAll(replies, {
            kind: 'refused',
            reason: SubmitRefusal.StoreUnavailable,
            retryAfterMs: STORE_RETRY_AFTER_MS,
          });
      }
    });
  }

  /** A job that is not recorded and ends with its caller. */
  private _onVolatile(
    event: Extract<BatchEvent, { kind: 'submit' }>,
    now: number,
  ): void {
    const { id, replyId, content, deadlineMs } = event;
    const known = this._jobs.get(id);
    if (known) {
      known.endReplies.push(replyId);
      return;
    }
    const refusal = this._refusalOfVolatile(content, now);
    if (refusal) {
      this._log('job refused', { job: id, reason: refusal });
      this._reply(replyId, {
        kind: 'refused',
        reason: refusal,
        retryAfterMs: STORE_RETRY_AFTER_MS,
      });
      return;
    }
    const own = this._addJob(
      new BatchJob({ id, content, epoch: 0, acceptedAtMs: now }),
      { id, version: 0, hasProgressRow: false },
      deadlineMs - REPLY_RESERVE_MS,
    );
    own.endReplies.push(replyId);
    this._log('job accepted', {
      job: id,
      queue: content.queue,
      config: this.routes.version ?? 0,
      tasks: own.job.tasks.length,
      waitMs: Math.round(deadlineMs - now),
    });
  }

  private _refusalOfVolatile(
    content: BatchContent,
    now: number,
  ): SubmitRefusal | undefined {
    if (this._isLeaving || this._endsAfterStop(content, now)) {
      return SubmitRefusal.Stopping;
    }
    return undefined;
  }

  /**
   * Whether this entry may place runs and keep them going. Only recorded jobs
   * can be taken over, so without any there is nobody to make way for.
   */
  private get _mayAct(): boolean {
    return this._hasTenure || this._recordedJobs === 0;
  }

  /** Whether the job would outlast a planned stop that has begun. */
  private _endsAfterStop(content: BatchContent, now: number): boolean {
    if (this._stoppingSinceMs === undefined) {
      return false;
    }
    const expectedMs = this._health.expectedMs(
      content.queue,
      chainEstimateMs(content),
    );
    const endsMs = now + STOP_ESTIMATE_FACTOR * expectedMs;
    return endsMs > this._stoppingSinceMs + STOP_ACCEPT_MS;
  }

  private _onCallerGone(replyId: number, now: number): void {
    this._asks.delete(replyId);
    for (const own of this._jobs.values()) {
      if (own.endReplies.includes(replyId)) {
        own.endReplies = own.endReplies.filter((other) => other !== replyId);
        if (own.endReplies.length === 0) {
          this._abandon(own, 'caller gone', now);
        }
        return;
      }
    }
  }

  /** Ends a volatile job whose caller no longer waits or may ask elsewhere. */
  private _abandon(own: OwnJob, reason: string, now: number): void {
    this._log('job abandoned', {
      job: own.id,
      reason,
      ageMs: Math.round(now - own.job.acceptedAtMs),
      callers: own.endReplies.length,
    });
    this._stopRuns(own);
    this._drop(own);
    this._replyAll(own.endReplies, { kind: 'in-doubt', detail: reason });
  }

  private _abandonVolatile(reason: string, now: number): void {
    for (const own of [...this._jobs.values()]) {
      if (own.job.content.isVolatile) {
        this._abandon(own, reason, now);
      }
    }
  }

  private _drop(own: OwnJob): void {
    this._remove(own);
    this._acknowledge(own.owed);
  }

  private _remove(own: OwnJob): void {
    this._waiting.delete(own);
    if (this._jobs.delete(own.id) && !own.job.content.isVolatile) {
      this._recordedJobs -= 1;
    }
  }

  private _refusalOf(): SubmitRefusal | undefined {
    if (this._isLeaving) {
      return SubmitRefusal.Stopping;
    }
    if (this._isStoreAway) {
      return SubmitRefusal.StoreUnavailable;
    }
    return this._hasTenure ? undefined : SubmitRefusal.NoTenure;
  }

  private _addJob(
    job: BatchJob,
    record: RecordedJob,
    deadlineMs = Number.POSITIVE_INFINITY,
  ): OwnJob {
    const own: OwnJob = {
      ...record,
      job,
      owed: [],
      owedSinceMs: 0,
      isSaving: false,
      isFinishing: false,
      cancelReplies: [],
      endReplies: [],
      deadlineMs,
      heirOf: undefined,
    };
    this._jobs.set(job.id, own);
    this._waiting.add(own);
    this._recordedJobs += job.content.isVolatile ? 0 : 1;
    return own;
  }

  // States and cancels

  private _onAsk(ask: Ask, now: number): void {
    if (!this._answerHere(ask, now)) {
      this._asks.set(ask.replyId, ask);
      this._tryAsk(ask);
    }
  }

  private _answerHere(ask: Ask, now: number): boolean {
    const own = this._jobs.get(ask.id);
    const state = own?.job.state ?? this._ended.get(ask.id)?.state;
    if (state === undefined) {
      return false;
    }
    if (ask.kind === 'status') {
      this._reply(ask.replyId, { kind: 'state', state });
    } else if (own && (!isFinal(state) || own.isFinishing)) {
      own.cancelReplies.push(ask.replyId);
      if (!isFinal(state)) {
        own.job.state = BatchState.Cancelled;
        this._finish(own, now);
      }
    } else {
      this._reply(ask.replyId, { kind: 'cancelled' });
    }
    return true;
  }

  private _tryAsk(ask: Ask): void {
    ask.isWaiting = true;
    const key = fleetKeys.job(ask.id);
    const caller = this._stores.caller(partName(partOf(ask.id)));
    caller.call({ kind: 'read', keys: [key] }, (reply, at) => {
      ask.isWaiting = false;
      ask.nextTryAtMs = at + ASK_RETRY_MS;
      if (!this._asks.has(ask.replyId) || reply.kind !== 'rows') {
        return;
      }
      if (this._answerHere(ask, at)) {
        this._asks.delete(ask.replyId);
        return;
      }
      const row = reply.rows[0];
      const data = row && decodeJobRow(row.value);
      if (!data) {
        if (!this._submissions.has(ask.id)) {
          this._answer(ask, { kind: 'unknown-job' });
        }
        return;
      }
      this._answerFromRow(ask, data);
    });
  }

  private _answerFromRow(ask: Ask, row: OpenJobRow | EndedJobRow): void {
    switch (row.kind) {
      case 'ended':
        this._answer(
          ask,
          ask.kind === 'status'
            ? { kind: 'state', state: row.state }
            : { kind: 'cancelled' },
        );
        return;
      case 'open':
        if (ask.kind === 'status') {
          this._answer(ask, { kind: 'state', state: BatchState.Running });
          return;
        }
        this._forward(ask, row.owner);
    }
  }

  private _forward(ask: Ask, owner: string): void {
    const peer = this._peers.get(owner);
    if (!peer) {
      return;
    }
    const callId = this._nextCallId++;
    ask.isWaiting = true;
    this._forwards.set(callId, ask);
    this._actions.push({
      kind: 'forward-cancel',
      callId,
      address: peer.row.address,
      id: ask.id,
    });
  }

  private _onForwarded(callId: number, handled: boolean, now: number): void {
    const ask = this._forwards.get(callId);
    this._forwards.delete(callId);
    if (!ask) {
      return;
    }
    ask.isWaiting = false;
    ask.nextTryAtMs = now + ASK_RETRY_MS;
    if (handled && this._asks.has(ask.replyId)) {
      this._answer(ask, { kind: 'cancelled' });
    }
  }

  private _answer(ask: Ask, reply: BatchReply): void {
    this._asks.delete(ask.replyId);
    this._reply(ask.replyId, reply);
  }

  private _reply(replyId: number, reply: BatchReply): void {
    this._actions.push({ kind: 'reply', replyId, reply });
  }

  private _replyAll(replyIds: readonly number[], reply: BatchReply): void {
    for (const replyId of replyIds) {
      this._reply(replyId, reply);
    }
  }

  // Workers

  private _openLinks(now: number): void {
    for (const view of this._workers.values()) {
      if (view.isSilent(now) && view.linkId !== undefined) {
        this._log('worker silent, link replaced', {
          worker: view.name,
          silentMs: Math.round(
            now - Math.max(view.lastReportAtMs, view.linkedAtMs),
          ),
        });
        this._actions.push({ kind: 'close-link', linkId: view.linkId });
        this._onLinkClosed(view.linkId, now);
      }
      if (view.linkId === undefined && now >= view.reopenAtMs) {
        const linkId = this._nextLinkId++;
        view.relink(linkId, now);
        view.order.adopt = [...this._fenced.keys()];
        this._links.set(linkId, view);
        this._actions.push({
          kind: 'open-link',
          linkId,
          address: view.address,
        });
      }
    }
  }

  private _onLinkClosed(linkId: number, now: number): void {
    const view = this._links.get(linkId);
    this._links.delete(linkId);
    if (view?.linkId === linkId) {
      view.linkId = undefined;
      view.isKnown = false;
      view.reopenAtMs = now + REOPEN_MS;
      view.takeOrder();
    }
  }

  private _onReport(linkId: number, report: WorkerReport, now: number): void {
    const view = this._links.get(linkId);
    if (!view) {
      return;
    }
    if (report.fenced) {
      this._standDown(`fenced at ${view.name}`);
      return;
    }
    const before = view.hello;
    view.observe(report, now);
    const isReborn =
      before !== undefined && before.incarnation !== view.hello?.incarnation;
    if (before?.life !== view.hello?.life) {
      this._health.reset(view.name);
    }
    for (const end of report.ends) {
      this._onEnd(view, end, now);
    }
    for (const { task, run, reason } of report.refused) {
      this._onRefused(view, task, run, reason, now);
    }
    if (report.snapshot) {
      this._onSnapshot(view, report, isReborn, now);
    }
  }

  private _jobOf(task: string): OwnJob | undefined {
    const dot = task.indexOf('.');
    return this._jobs.get(dot < 0 ? task : task.slice(0, dot));
  }

  private _onEnd(view: WorkerView, end: RunEnd, now: number): void {
    const name = runName(end);
    const isOwnRun = view.placed.delete(name);
    const superseded = end.kind === EndKind.DONE && this._superseded.has(name);
    const owed: OwedRecord = {
      worker: view.name,
      life: end.life,
      number: end.number,
      superseded,
      isOwnRun,
    };
    const own = this._jobOf(end.task);
    if (!own) {
      this._onForeignEnd(owed, end);
      return;
    }
    if (own.job.content.isVolatile) {
      this._acknowledge([owed]);
    } else if (end.number > 0) {
      this._owe(own, owed, now);
    }
    const task = own.job.task(end.task);
    if (!task || isFinal(own.job.state) || superseded) {
      return;
    }
    this._noteHealth(own, task, end, view, now);
    own.job.applyEnd(task, end, view.name, now);
    if (end.kind !== EndKind.DONE) {
      this._log('run ended early', {
        task: end.task,
        run: end.run,
        worker: view.name,
        how: EndKind[end.kind],
        failures: task.failures,
      });
    }
    if (isFinal(own.job.state)) {
      this._finish(own, now);
    } else if (task.phase !== TaskPhase.Done) {
      this._waiting.add(own);
    }
  }

  private _noteHealth(
    own: OwnJob,
    task: BatchTask,
    end: RunEnd,
    view: WorkerView,
    now: number,
  ): void {
    const isCurrent = task.phase === TaskPhase.Placed && task.run === end.run;
    if (!isCurrent) {
      return;
    }
    if (end.kind === EndKind.DONE) {
      this._health.onDone(
        { queue: own.job.content.queue, worker: view.name },
        own.job.stepOf(task).estimateMs,
        now - task.sinceMs,
      );
    } else if (end.kind === EndKind.FAILED) {
      if (this._health.onFailed(view.name, now)) {
        this._log('worker set aside', { worker: view.name });
      }
    }
  }

  private _owe(own: OwnJob, owed: OwedRecord, now: number): void {
    const isKnown = own.owed.some(
      (other) => other.number === owed.number && other.life === owed.life,
    );
    if (isKnown) {
      return;
    }
    if (own.owed.length === 0) {
      own.owedSinceMs = now;
    }
    own.owed.push(owed);
  }

  /** An end of a job that is not open here. */
  private _onForeignEnd(owed: OwedRecord, end: RunEnd): void {
    if (owed.number === 0) {
      return;
    }
    const id = end.task.slice(0, end.task.indexOf('.'));
    if (this._ended.has(id) || owed.isOwnRun) {
      this._acknowledge([owed]);
      return;
    }
    const key = fleetKeys.job(id);
    const caller = this._stores.caller(partName(partOf(id)));
    caller.call({ kind: 'read', keys: [key] }, (reply) => {
      if (reply.kind !== 'rows' || this._jobs.has(id)) {
        return;
      }
      const row = reply.rows[0];
      const data = row && decodeJobRow(row.value);
      if (data?.kind !== 'open') {
        this._acknowledge([owed]);
      }
    });
  }

  private _acknowledge(owed: readonly OwedRecord[]): void {
    for (const { worker, life, number, superseded } of owed) {
      const view = this._workers.get(worker);
      if (view && number > 0) {
        // Rides with the next order; nobody waits for it.
        view.order.recorded.push({ life, number, superseded });
      }
    }
  }

  private _onRefused(
    view: WorkerView,
    name: string,
    run: number,
    reason: StartRefusal,
    now: number,
  ): void {
    view.placed.delete(runName({ task: name, run }));
    const own = this._jobOf(name);
    const task = own?.job.task(name);
    this._log('start refused', {
      task: name,
      run,
      worker: view.name,
      reason: StartRefusal[reason],
    });
    if (!own || task?.run !== run || task.phase !== TaskPhase.Placed) {
      return;
    }
    switch (reason) {
      case StartRefusal.UNHEALTHY:
      case StartRefusal.NO_ANSWER:
      case StartRefusal.INVALID:
        this._health.onFailed(view.name, now);
        task.avoid.add(view.name);
        break;
      case StartRefusal.NO_ROOM:
      case StartRefusal.NOT_READY:
      case StartRefusal.FENCED:
      case StartRefusal.STALE_RUN:
      case StartRefusal.UNSPECIFIED:
        break;
    }
    own.job.requeue(task, now);
    this._waiting.add(own);
  }

  private _onSnapshot(
    view: WorkerView,
    report: WorkerReport,
    isReborn: boolean,
    now: number,
  ): void {
    const active = new Set<string>();
    for (const run of report.active) {
      active.add(runName(run));
      this._onActive(view, run.task, run.run, run.owner, now);
    }
    if (view.isKnown) {
      return;
    }
    view.isKnown = true;
    for (const [name, placed] of [...view.placed]) {
      if (active.has(name)) {
        continue;
      }
      if (isReborn) {
        this._giveUp(view, name, now);
      } else {
        // Its start may still arrive over the earlier link.
        view.order.stops.push({ task: placed.task, run: placed.run });
        view.isDirty = true;
      }
    }
  }

  private _onActive(
    view: WorkerView,
    name: string,
    run: number,
    owner: string,
    now: number,
  ): void {
    const own = this._jobOf(name);
    const task = own?.job.task(name);
    const id = name.slice(0, name.indexOf('.'));
    if (!own || !task) {
      if (owner === this._options.incarnation || this._ended.has(id)) {
        this._stopAt(view, name, run);
      }
      return;
    }
    if (task.phase === TaskPhase.Unknown && !isFinal(own.job.state)) {
      task.phase = TaskPhase.Placed;
      task.run = run;
      task.worker = view.name;
      task.sinceMs = now;
      own.job.state = BatchState.Running;
    }
    const isCurrent =
      task.phase === TaskPhase.Placed &&
      task.run === run &&
      task.worker === view.name &&
      !isFinal(own.job.state);
    if (!isCurrent) {
      this._stopAt(view, name, run);
      return;
    }
    const { needs } = own.job.stepOf(task);
    view.placed.set(runName({ task: name, run }), {
      job: own.id,
      task: name,
      run,
      needs,
      sequence: 0,
    });
    if (owner === '') {
      view.order.claims.push({
        spec: '',
        needs,
        runs: [{ task: name, run, checkpoint: '' }],
        volatile: own.job.content.isVolatile,
      });
      view.isDirty = true;
    }
  }

  private _stopAt(view: WorkerView, task: string, run: number): void {
    view.order.stops.push({ task, run });
    view.isDirty = true;
  }

  /** The run has provably ended or never began; the task may run again. */
  private _giveUp(view: WorkerView, name: string, now: number): void {
    const placed = view.placed.get(name);
    view.placed.delete(name);
    if (!placed) {
      return;
    }
    this._superseded.set(name, now);
    const own = this._jobs.get(placed.job);
    const task = own?.job.task(placed.task);
    if (own && task?.phase === TaskPhase.Placed && task.run === placed.run) {
      this._log('run given up', {
        task: placed.task,
        run: placed.run,
        worker: view.name,
        silentMs: Math.round(now - view.lastReportAtMs),
      });
      own.job.requeue(task, now);
      this._waiting.add(own);
    }
  }

  // Ends of jobs

  private _finish(own: OwnJob, now: number): void {
    if (own.isFinishing) {
      return;
    }
    own.isFinishing = true;
    this._waiting.delete(own);
    const { job } = own;
    this._stopRuns(own);
    if (job.content.isVolatile) {
      this._log('job ended', {
        job: own.id,
        state: job.state,
        tookMs: Math.round(now - job.acceptedAtMs),
      });
      this._drop(own);
      this._replyAll(own.endReplies, { kind: 'ended', state: job.state });
      return;
    }
    const isUrgent = own.cancelReplies.length > 0;
    this._recorder.finish(own, job.state, isUrgent, now, (outcome, at) => {
      this._remove(own);
      if (outcome.kind !== 'committed') {
        this._log('job lost to another owner', { job: own.id });
        this._replyAll(own.cancelReplies, {
          kind: 'in-doubt',
          detail: 'another entry owns the job',
        });
        return;
      }
      this._ended.set(own.id, {
        state: job.state,
        version: outcome.version,
        endedAtMs: at,
      });
      this._log('job ended', {
        job: own.id,
        state: job.state,
        tookMs: Math.round(at - job.acceptedAtMs),
        recordMs: Math.round(at - now),
      });
      this._acknowledge(own.owed);
      this._replyAll(own.cancelReplies, { kind: 'cancelled' });
    });
  }

  private _stopRuns(own: OwnJob): void {
    for (const task of own.job.tasks) {
      if (task.phase === TaskPhase.Placed) {
        const view = this._workers.get(task.worker);
        if (view) {
          this._stopAt(view, task.name, task.run);
        }
      }
    }
  }

  private _saveProgress(now: number): void {
    for (const own of this._jobs.values()) {
      const isDue =
        own.owed.length > 0 &&
        !own.isSaving &&
        !own.isFinishing &&
        now - own.owedSinceMs > PROGRESS_AFTER_MS;
      if (!isDue) {
        continue;
      }
      const owed = own.owed;
      own.owed = [];
      own.isSaving = true;
      this._recorder.saveProgress(own, own.job.progress, now, (outcome) => {
        own.isSaving = false;
        if (outcome.kind === 'committed') {
          this._acknowledge(owed);
        }
      });
    }
  }

  // Takeover

  private _watchPeers(now: number): void {
    for (const peer of this._peers.due(now)) {
      this._actions.push({
        kind: 'probe',
        incarnation: peer.incarnation,
        address: peer.row.address,
      });
    }
    if (!this._hasTenure || this._isStoreAway || this._isLeaving) {
      return;
    }
    for (const peer of this._peers.suspects(now)) {
      if (!this._heirs.has(peer.incarnation) && this._isHeir(peer, now)) {
        this._takeOver(peer, now);
      }
    }
    for (const heir of this._heirs.values()) {
      heir.succession.pump(now);
      this._settle(heir, now);
    }
  }

  private _isHeir(peer: Peer, now: number): boolean {
    const { fencedBy, name } = peer.row;
    if (name === this._options.name) {
      return true;
    }
    if (fencedBy !== undefined && fencedBy !== this._options.incarnation) {
      const other = this._peers.get(fencedBy);
      if (other && !this._peers.suspects(now).includes(other)) {
        return false;
      }
    }
    const live = this._peers.peers
      .filter((other) => !this._peers.suspects(now).includes(other))
      .map((other) => other.incarnation);
    const rank = live.filter((other) => other < this._options.incarnation);
    const sinceMs = peer.silentSinceMs ?? now;
    return (
      rank.length === 0 ||
      now - sinceMs > TENURE_MS + rank.length * RANK_DELAY_MS
    );
  }

  private _takeOver(peer: Peer, now: number): void {
    const { incarnation, row, version } = peer;
    const succession = new Succession({
      stores: this._stores,
      recorder: this._recorder,
      incarnation: this._options.incarnation,
      victim: {
        incarnation,
        row,
        version,
        isGone: peer.isGone || row.hasLeft === true,
      },
      onAdopted: (job, at) => {
        this._onAdopted(incarnation, job, at);
      },
      onLoaded: (at) => {
        this._onLoaded(incarnation, at);
      },
      onLost: () => {
        this._heirs.delete(incarnation);
      },
      log: (message, fields) => {
        this._log(message, fields);
      },
    });
    this._heirs.set(incarnation, {
      succession,
      victim: incarnation,
      isLoaded: false,
      isSettled: false,
      startedAtMs: now,
    });
    succession.start(now);
  }

  private _onAdopted(victim: string, adopted: AdoptedJob, now: number): void {
    const { record, row, progress } = adopted;
    const job = new BatchJob({
      id: record.id,
      content: row.content,
      epoch: row.epoch,
      acceptedAtMs: now,
      progress,
    });
    const own = this._addJob(job, record);
    own.heirOf = victim;
    if (isFinal(job.state)) {
      this._finish(own, now);
    }
  }

  private _onLoaded(victim: string, now: number): void {
    const heir = this._heirs.get(victim);
    if (heir) {
      heir.isLoaded = true;
      this._fenced.set(victim, now);
      for (const view of this._workers.values()) {
        view.order.adopt.push(victim);
        view.isDirty = true;
      }
    }
  }

  /** Ends a takeover once every worker has told what it has of the victim. */
  private _settle(heir: Heir, now: number): void {
    if (!heir.isLoaded || heir.isSettled) {
      return;
    }
    const isProven = now > heir.succession.provenAtMs;
    const missing = [...this._workers.values()].filter(
      (view) => !view.adopted.has(heir.victim),
    );
    if (missing.length > 0 && !isProven) {
      return;
    }
    heir.isSettled = true;
    this._log('takeover settled', {
      victim: heir.victim,
      silentWorkers: missing.length,
      afterMs: Math.round(now - heir.startedAtMs),
    });
    for (const own of this._jobs.values()) {
      if (own.heirOf !== heir.victim) {
        continue;
      }
      own.heirOf = undefined;
      for (const task of own.job.tasks) {
        if (task.phase === TaskPhase.Unknown) {
          own.job.requeue(task, now);
        }
      }
      this._waiting.add(own);
    }
    heir.succession.finish();
  }

  // Turns of the loop

  private _onTick(now: number): void {
    this._updateTenure(now);
    this._openLinks(now);
    this._watchPeers(now);
    for (const view of this._workers.values()) {
      if (view.placed.size > 0 && view.isLost(now)) {
        for (const name of [...view.placed.keys()]) {
          this._giveUp(view, name, now);
        }
      }
    }
    this._refuseHopeless(now);
    this._saveProgress(now);
    this._expire(now);
    this._checkDeadlines(now);
    this._checkStop(now);
  }

  private _expire(now: number): void {
    forgetOld(this._superseded, now, this._options.keepStateMs);
    forgetOld(this._fenced, now, FENCE_MEMORY_MS);
    for (const [id, ended] of this._ended) {
      if (now - ended.endedAtMs < this._options.keepStateMs) {
        break;
      }
      this._ended.delete(id);
      this._recorder.forget(id, ended.version, now);
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
    for (const own of [...this._jobs.values()]) {
      if (now > own.deadlineMs) {
        this._abandon(own, 'deadline passed', now);
      }
    }
    for (const ask of [...this._asks.values()]) {
      if (now > ask.deadlineMs - REPLY_RESERVE_MS) {
        this._answer(ask, {
          kind: 'unavailable',
          retryAfterMs: STORE_RETRY_AFTER_MS,
        });
      } else if (!ask.isWaiting && now >= ask.nextTryAtMs) {
        if (this._answerHere(ask, now)) {
          this._asks.delete(ask.replyId);
        } else {
          this._tryAsk(ask);
        }
      }
    }
  }

  private _checkStop(now: number): void {
    if (this._stoppingSinceMs === undefined || this._isLeaving) {
      return;
    }
    const sinceMs = now - this._stoppingSinceMs;
    const isQuiet =
      this._jobs.size === 0 &&
      this._submissions.size === 0 &&
      this._asks.size === 0;
    if (sinceMs < STOP_QUIET_MS || (!isQuiet && sinceMs < STOP_LIMIT_MS)) {
      return;
    }
    this._isLeaving = true;
    this._abandonVolatile('this entry has stopped', now);
    const { incarnation, name, address, dataCentre } = this._options;
    const key = fleetKeys.entry(incarnation);
    const row: EntryRow = { name, address, dataCentre, hasLeft: true };
    this._log('leaving', { jobs: this._jobs.size });
    this._stores.writer(MEMBER_PART).submit({
      conditions: [{ key, version: this._ownVersion }],
      writes: [{ key, value: JSON.stringify(row) }],
      proofKey: key,
      giveUpAtMs: now + TENURE_MS,
      onDone: () => {
        this._isDown = true;
        this._actions.push({ kind: 'stopped' });
      },
    });
  }

  private _flush(now: number): void {
    this._updateTenure(now);
    this._place(now);
    this._recorder.pump(now);
    this._stores.pump(now);
    for (const follower of [this._members, this._operators]) {
      const req = follower.next(now);
      if (req) {
        this._actions.push({ kind: 'follow', req });
      }
    }
    this._sendOrders(now);
  }

  private _sendOrders(now: number): void {
    for (const view of this._workers.values()) {
      const { linkId } = view;
      if (linkId === undefined) {
        continue;
      }
      const periodMs =
        view.placed.size > 0 ? GRANT_PERIOD_MS : IDLE_GRANT_PERIOD_MS;
      if (!view.isDirty && now - view.sentAtMs < periodMs) {
        continue;
      }
      const order = view.takeOrder();
      order.entry = this._options.name;
      order.incarnation = this._options.incarnation;
      order.holdUntilMs = this._mayAct ? view.grant(now) : 0;
      view.sentAtMs = now;
      this._actions.push({ kind: 'order', linkId, order });
    }
  }

  private _place(now: number): void {
    if (!this._mayAct || this._waiting.size === 0 || this._isLeaving) {
      return;
    }
    const candidates = this._candidates(now);
    if (candidates.length === 0) {
      return;
    }
    for (const { job: own } of this._inOrder(now)) {
      const ready = own.job.ready;
      const placed: string[] = [];
      for (const task of ready) {
        const at = this._placeTask(own, task, candidates, now);
        if (at === undefined) {
          break;
        }
        placed.push(at);
      }
      if (placed.length > 0) {
        own.job.state = BatchState.Running;
        this._log('runs placed', {
          job: own.id,
          runs: placed.join(' '),
          left: ready.length - placed.length,
          waitedMs: Math.round(now - own.job.acceptedAtMs),
          config: this.routes.version ?? 0,
        });
      }
      if (placed.length === ready.length) {
        this._waiting.delete(own);
      }
    }
  }

  private _inOrder(now: number): RankedJob<OwnJob>[] {
    const ranked: RankedJob<OwnJob>[] = [];
    for (const own of this._waiting) {
      if (isFinal(own.job.state) || own.job.ready.length === 0) {
        this._waiting.delete(own);
        continue;
      }
      ranked.push({ job: own, ...this._prospectOf(own.job, now) });
    }
    return orderJobs(ranked);
  }

  private _prospectOf(
    job: BatchJob,
    now: number,
  ): { readonly prospect: Prospect; readonly latestStartMs: number } {
    const { content } = job;
    const chainMs = this._health.expectedMs(
      content.queue,
      chainEstimateMs(content),
    );
    return prospectOf(
      {
        acceptedAtMs: job.acceptedAtMs,
        chainMs,
        leftMs: chainMs,
        stretch: content.stretch,
        slackMs: content.slackMs,
      },
      now,
    );
  }

  /** Refuses volatile jobs that are not worth their callers' wait. */
  private _refuseHopeless(now: number): void {
    for (const own of [...this._waiting]) {
      const { job } = own;
      const { prospect } = this._prospectOf(job, now);
      const isRefused =
        job.content.isVolatile &&
        !hasBegun(job) &&
        isHopeless(prospect, {
          waitedMs: now - job.acceptedAtMs,
          patienceMs: own.deadlineMs - job.acceptedAtMs,
        });
      if (!isRefused) {
        continue;
      }
      this._log('job refused', {
        job: own.id,
        reason: SubmitRefusal.Overload,
        waitedMs: Math.round(now - job.acceptedAtMs),
        waitingJobs: this._waiting.size,
      });
      this._drop(own);
      this._replyAll(own.endReplies, {
        kind: 'refused',
        reason: SubmitRefusal.Overload,
        retryAfterMs: OVERLOAD_RETRY_AFTER_MS,
      });
    }
  }

  private _candidates(now: number): PlacementCandidate[] {
    const candidates: PlacementCandidate[] = [];
    for (const view of this._workers.values()) {
      const { hello } = view;
      if (
        !hello ||
        !view.isUsable(now) ||
        this.routes.isOut(hello.dataCentre)
      ) {
        continue;
      }
      candidates.push({
        name: view.name,
        view,
        service: hello.service,
        dataCentre: hello.dataCentre,
        labels: hello.labels,
        free: view.free,
        slowness: this._health.slowness(view.name),
        isSetAside: this._health.isSetAside(view.name, now),
      });
    }
    return candidates;
  }

  private _placeTask(
    own: OwnJob,
    task: BatchTask,
    candidates: readonly PlacementCandidate[],
    now: number,
  ): string | undefined {
    const { job } = own;
    const step = job.stepOf(task);
    const chosen = chooseWorker(
      {
        needs: step.needs,
        requires: step.requires,
        affinity: step.affinity,
        farFactor: this._options.farFactor,
        avoid: task.avoid,
        dataCentre: this._options.dataCentre,
      },
      candidates.filter(
        (candidate) =>
          candidate.service === job.content.service &&
          hasRoomForStep(job, task, candidate.name),
      ),
      this._options.random,
    );
    if (!chosen) {
      return undefined;
    }
    const { view } = chosen;
    const run = job.place(task, view.name, now);
    view.placed.set(runName({ task: task.name, run }), {
      job: own.id,
      task: task.name,
      run,
      needs: step.needs,
      sequence: view.nextSequence,
    });
    chosen.free = subtractRoom(chosen.free, step.needs);
    const runs = { task: task.name, run, checkpoint: task.checkpoint };
    const group = view.order.starts.find(
      (other) => other.spec === job.content.spec && other.needs === step.needs,
    );
    if (group) {
      group.runs.push(runs);
    } else {
      view.order.starts.push({
        spec: job.content.spec,
        needs: step.needs,
        runs: [runs],
        volatile: job.content.isVolatile,
      });
    }
    view.isDirty = true;
    return `${task.name.slice(own.id.length)}#${String(run)}@${view.name}`;
  }

  private _log(message: string, fields: LogFields): void {
    this._actions.push({ kind: 'log', message, fields });
  }
}

interface PlacementCandidate extends Candidate {
  readonly view: WorkerView;
  readonly service: string;
  free: ReturnType<typeof addRoom>;
}

/** Whether the worker may take one more task of the step. */
const hasRoomForStep = (
  job: BatchJob,
  task: BatchTask,
  worker: string,
): boolean => {
  const { antiAffinity } = job.stepOf(task);
  if (antiAffinity === undefined) {
    return true;
  }
  const there = job.tasks.filter(
    (other) =>
      other.step === task.step &&
      other.phase === TaskPhase.Placed &&
      other.worker === worker,
  );
  return there.length < antiAffinity;
};

const forgetOld = (
  map: Map<string, number>,
  now: number,
  keepMs: number,
): void => {
  for (const [key, atMs] of map) {
    if (now - atMs < keepMs) {
      return;
    }
    map.delete(key);
  }
};
