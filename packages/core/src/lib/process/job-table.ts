import type { ResultMessage } from '../messages.js';
import { Job } from '../request/job.js';
import type { TaskState } from '../request/job.js';
import type { JobSpec } from '../request/job-spec.js';
import { FailureReason } from '../request/outcome.js';
import {
  CLAIM_REFUSED,
  conflictReply,
  pendingReply,
  refuseSubmission,
} from '../request/replies.js';
import { storeKeys } from '../store.js';
import type { Condition, Row } from '../store.js';
import type { EntryContext } from './entry-context.js';
import { JobStep } from './entry-events.js';
import type { JobStatus, Reply } from './entry-events.js';
import type { JobRows } from './job-rows.js';
import { isFinal } from './rows.js';
import type { JobRow } from './rows.js';
import type { WriteOutcome } from './store-writer.js';

/** What the job table needs of the other parts of the entry. */
export interface JobTableOptions {
  readonly ctx: EntryContext;
  readonly rows: JobRows;
  /** @returns Holds as long as this incarnation may own jobs. */
  readonly ownerCondition: () => Condition;
  /** Receives a job whose waiting tasks may be placed. */
  readonly onOpen: (job: Job) => void;
  /** Receives a job whose outcome is decided: its waiting tasks are dropped. */
  readonly onDecided: (job: Job) => void;
  /** Receives a job whose outcome is recorded: its results may be dropped. */
  readonly onRecorded: (job: Job) => void;
}

interface Waiter {
  readonly replyId: number;
  readonly untilMs: number;
}

interface Claim {
  readonly spec: JobSpec;
  /** Callers that have not been answered. */
  readonly replyIds: Set<number>;
  readonly startedAtMs: number;
  /** The desk cancelled the job before the claim was confirmed. */
  cancelled: boolean;
}

interface OwnedJob {
  readonly job: Job;
  rowVersion: number;
  waiters: Waiter[];
  decided: boolean;
  recordedAtMs: number | undefined;
}

/** What a fence collected of the tasks of one job. */
export interface CollectedTasks {
  /** One state a task; a task with a result or a loss counts as sent. */
  readonly states: readonly TaskState[];
  readonly results: readonly ResultMessage[];
  /** Tasks that a runner which did not answer may hold. */
  readonly lost: readonly number[];
  /** Keys of the runners that hold records of the job's owner. */
  readonly runners: readonly string[];
}

/**
 * The jobs that this entry owns, from the claim to the recorded outcome.
 *
 * A job's tasks may start only after its claim is in the table. Its outcome is
 * told to callers only after it is in the table, so two owners can't answer
 * differently.
 */
export class JobTable {
  private readonly _options: JobTableOptions;
  private readonly _ctx: EntryContext;
  private readonly _rows: JobRows;
  private readonly _claims = new Map<string, Claim>();
  private readonly _jobs = new Map<string, OwnedJob>();

  /** @param options - Context and what to tell the other parts. */
  constructor(options: JobTableOptions) {
    this._options = options;
    this._ctx = options.ctx;
    this._rows = options.rows;
  }

  /** Number of jobs without a recorded outcome, claims included. */
  get openCount(): number {
    let open = this._claims.size;
    for (const owned of this._jobs.values()) {
      open += owned.recordedAtMs === undefined ? 1 : 0;
    }
    return open;
  }

  /** @returns Whether the id is known here, claimed or about to be. */
  has(id: string): boolean {
    return this._jobs.has(id) || this._claims.has(id);
  }

  /**
   * Attaches a caller to a submission that is known here.
   *
   * @param spec - What the caller submitted.
   * @param replyId - The caller.
   */
  attach(spec: JobSpec, replyId: number): void {
    const owned = this._jobs.get(spec.id);
    const known = owned?.job.spec ?? this._claims.get(spec.id)?.spec;
    if (known && known.digest !== spec.digest) {
      this._reply(replyId, conflictReply(spec.id));
      return;
    }
    if (owned) {
      this._ctx.logStep(JobStep.Attached, spec.id);
      this._reply(replyId, this._statusReply(owned));
      return;
    }
    this._claims.get(spec.id)?.replyIds.add(replyId);
  }

  /**
   * Claims a submission that is not known here.
   *
   * @param spec - The submission.
   * @param replyId - The caller.
   * @param now - Current time in milliseconds.
   */
  claim(spec: JobSpec, replyId: number, now: number): void {
    this._claims.set(spec.id, {
      spec,
      replyIds: new Set([replyId]),
      startedAtMs: now,
      cancelled: false,
    });
    const untilMs = now + this._ctx.options.claimTimeoutMs;
    this._rows.claim(spec, untilMs, (outcome) => {
      this._onClaimed(spec, outcome);
    });
  }

  /**
   * Takes a job over from a fenced owner.
   *
   * @param row - Its row after the adoption.
   * @param spec - The submission.
   * @param rowVersion - Version of the row after the adoption.
   * @param found - What the fence collected of its tasks.
   */
  adopt(
    row: JobRow,
    spec: JobSpec,
    rowVersion: number,
    found: CollectedTasks,
  ): void {
    const job = new Job({ spec, epoch: row.epoch, states: found.states });
    found.runners.forEach((key) => job.runners.add(key));
    this._ctx.logStep(JobStep.Adopted, spec.id, `epoch ${String(row.epoch)}`);
    found.results.forEach((result) => {
      job.markResult(result);
    });
    found.lost.forEach((index) => {
      job.markLost(index, 'its entry and a runner that may hold it are gone');
    });
    this._open(job, rowVersion);
    this.settle(job);
  }

  /**
   * Answers with a job's status, at once or when its outcome is recorded.
   *
   * @param id - A job that is known here.
   * @param replyId - The caller.
   * @param untilMs - Longest time to wait.
   */
  ask(id: string, replyId: number, untilMs: number): void {
    const owned = this._jobs.get(id);
    if (!owned) {
      this._claims.get(id)?.replyIds.add(replyId);
      return;
    }
    if (owned.recordedAtMs !== undefined) {
      this._reply(replyId, this._statusReply(owned));
      return;
    }
    owned.waiters.push({ replyId, untilMs });
  }

  /**
   * Gives a job up on behalf of its desk, unless its outcome is decided.
   *
   * @param id - The job.
   */
  cancel(id: string): void {
    const claim = this._claims.get(id);
    if (claim) {
      claim.cancelled = true;
    }
    const owned = this._jobs.get(id);
    if (owned) {
      owned.job.fail(FailureReason.Cancelled, 'The desk cancelled the job.');
      this.settle(owned.job);
    }
  }

  /**
   * Records the outcome of a job, once it is decided.
   *
   * @param job - A job whose tasks have changed.
   */
  settle(job: Job): void {
    const owned = this._jobs.get(job.spec.id);
    if (!owned || owned.decided || !job.outcome) {
      return;
    }
    owned.decided = true;
    this._ctx.logStep(JobStep.Decided, job.spec.id, job.outcome.kind);
    this._options.onDecided(job);
    this._rows.record(job, owned.rowVersion, (result, now) => {
      this._onRecorded(owned, result, now);
    });
  }

  /** @param now - Current time in milliseconds. */
  tick(now: number): void {
    for (const [id, claim] of this._claims) {
      this._answerSlowClaim(id, claim, now);
    }
    for (const [id, owned] of this._jobs) {
      this._tickJob(owned, now);
      if (this._isExpired(owned, now)) {
        this._jobs.delete(id);
      }
    }
  }

  /** @param replyId - A caller that no longer waits. */
  forgetCaller(replyId: number): void {
    for (const owned of this._jobs.values()) {
      owned.waiters = owned.waiters.filter((w) => w.replyId !== replyId);
    }
  }

  private _answerSlowClaim(id: string, claim: Claim, now: number): void {
    if (now - claim.startedAtMs <= this._ctx.options.claimTimeoutMs) {
      return;
    }
    for (const replyId of claim.replyIds) {
      this._reply(replyId, pendingReply(id));
    }
    claim.replyIds.clear();
  }

  private _tickJob(owned: OwnedJob, now: number): void {
    if (!owned.decided && owned.job.spec.deadlineMs <= now) {
      owned.job.fail(FailureReason.Deadline, 'The deadline passed.');
      this.settle(owned.job);
    }
    if (owned.waiters.length === 0) {
      return;
    }
    const due = owned.waiters.filter((w) => w.untilMs <= now);
    owned.waiters = owned.waiters.filter((w) => w.untilMs > now);
    for (const { replyId } of due) {
      this._reply(replyId, this._statusReply(owned));
    }
  }

  private _isExpired(owned: OwnedJob, now: number): boolean {
    return (
      owned.recordedAtMs !== undefined &&
      now - owned.recordedAtMs > this._ctx.options.outcomeCacheMs
    );
  }

  private _onClaimed(spec: JobSpec, outcome: WriteOutcome): void {
    switch (outcome.kind) {
      case 'committed':
        this._ctx.logStep(JobStep.Claimed, spec.id);
        this._finishClaim(spec, outcome.version);
        return;
      case 'conflict':
        if (outcome.keys.includes(this._options.ownerCondition().key)) {
          this._ctx.standDown('The owner row of this entry is gone.');
          return;
        }
        this._readTaken(spec);
        return;
      case 'given-up':
        this._endClaim(spec.id, refuseSubmission(spec, CLAIM_REFUSED));
    }
  }

  private _finishClaim(spec: JobSpec, rowVersion: number): void {
    const claim = this._claims.get(spec.id);
    this._claims.delete(spec.id);
    const owned = this._open(new Job({ spec }), rowVersion);
    for (const replyId of claim?.replyIds ?? []) {
      this._reply(replyId, this._statusReply(owned));
    }
    if (claim?.cancelled) {
      this.cancel(spec.id);
    }
  }

  private _readTaken(spec: JobSpec): void {
    const key = storeKeys.job(spec.id);
    this._ctx.store.call({ kind: 'read', keys: [key] }, (reply) => {
      const row = reply.kind === 'rows' ? reply.rows[0] : undefined;
      if (!row) {
        this._endClaim(spec.id, pendingReply(spec.id));
        return;
      }
      this._attachToRow(spec, row);
    });
  }

  private _attachToRow(spec: JobSpec, row: Row): void {
    const jobRow = JSON.parse(row.value) as JobRow;
    if (jobRow.digest !== spec.digest) {
      this._endClaim(spec.id, conflictReply(spec.id));
      return;
    }
    const isOwn = jobRow.owner === this._ctx.options.incarnation;
    if (isOwn && !isFinal(jobRow)) {
      // The claim is this entry's own and none of its tasks has started.
      this._finishClaim(spec, row.version);
      return;
    }
    this._ctx.logStep(JobStep.Attached, spec.id);
    this._rows.readStatus(spec.id, jobRow, (status) => {
      const reply = status && ({ kind: 'job', status } as const);
      this._endClaim(spec.id, reply ?? pendingReply(spec.id));
    });
  }

  private _endClaim(id: string, reply: Reply): void {
    const claim = this._claims.get(id);
    this._claims.delete(id);
    for (const replyId of claim?.replyIds ?? []) {
      this._reply(replyId, reply);
    }
  }

  private _open(job: Job, rowVersion: number): OwnedJob {
    const owned: OwnedJob = {
      job,
      rowVersion,
      waiters: [],
      decided: false,
      recordedAtMs: undefined,
    };
    this._jobs.set(job.spec.id, owned);
    this._options.onOpen(job);
    return owned;
  }

  private _onRecorded(
    owned: OwnedJob,
    result: WriteOutcome,
    now: number,
  ): void {
    if (result.kind !== 'committed') {
      this._ctx.standDown('A job of this entry was taken over.');
      return;
    }
    owned.recordedAtMs = now;
    this._ctx.logStep(JobStep.Recorded, owned.job.spec.id);
    for (const { replyId } of owned.waiters) {
      this._reply(replyId, this._statusReply(owned));
    }
    owned.waiters = [];
    this._options.onRecorded(owned.job);
  }

  private _statusReply(owned: OwnedJob): Reply {
    const { spec, doneCount, outcome } = owned.job;
    const status: JobStatus = {
      id: spec.id,
      desk: spec.desk,
      taskCount: spec.tasks.length,
      doneCount,
    };
    const isFinal = owned.recordedAtMs !== undefined && outcome;
    return { kind: 'job', status: isFinal ? { ...status, outcome } : status };
  }

  private _reply(replyId: number, reply: Reply): void {
    this._ctx.emit({ kind: 'reply', replyId, reply });
  }
}
