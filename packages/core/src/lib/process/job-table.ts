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
import { JobLogStep } from './entry-events.js';
import type { JobStatus, Reply } from './entry-events.js';
import type { JobRows } from './job-rows.js';
import { FIRST_EPOCH, isFinalRow } from './rows.js';
import type { JobRow } from './rows.js';
import type { WriteOutcome } from './store-writer.js';

/** Dependencies of {@link JobTable}. */
export interface JobTableOptions {
  readonly ctx: EntryContext;
  readonly rows: JobRows;
  /** @returns A condition that holds while this incarnation may own jobs. */
  readonly ownerCondition: () => Condition;
  /** Called with a job whose waiting tasks may be placed. */
  readonly onOpen: (job: Job) => void;
  /** Called with a decided job, whose tasks are to be cancelled. */
  readonly onDecided: (job: Job) => void;
  /** Called with a recorded job, whose records the runners may remove. */
  readonly onRecorded: (job: Job) => void;
}

interface Waiter {
  readonly replyId: number;
  readonly untilMs: number;
}

interface Claim {
  readonly spec: JobSpec;
  /** Reply ids of the callers that have not been answered. */
  readonly replyIds: Set<number>;
  readonly startedAtMs: number;
  /** The desk cancelled the job before the claim was confirmed. */
  cancelled: boolean;
}

interface TrackedJob {
  readonly job: Job;
  rowVersion: number;
  waiters: Waiter[];
  decided: boolean;
  recordedAtMs: number | undefined;
}

/** Tasks of one job, as collected from the runners during a takeover. */
export interface CollectedTasks {
  /** One state per task; `sent` also for the tasks in `results` and `lost`. */
  readonly states: readonly TaskState[];
  readonly results: readonly ResultMessage[];
  /** Positions of tasks without a record that may nevertheless have run. */
  readonly lost: readonly number[];
  /** Keys of all runners that may hold task records of the previous owner. */
  readonly runners: readonly string[];
}

/**
 * Tracks the jobs that this entry owns, from the claim to the recorded outcome,
 * and answers their callers.
 *
 * The tasks of a job start only after its claim has been stored. Its outcome is
 * reported to callers only after it has been stored, so that two owners can't
 * report different outcomes.
 */
export class JobTable {
  private readonly _options: JobTableOptions;
  private readonly _ctx: EntryContext;
  private readonly _rows: JobRows;
  private readonly _claims = new Map<string, Claim>();
  private readonly _jobs = new Map<string, TrackedJob>();

  /** @param options - Dependencies and callbacks. */
  constructor(options: JobTableOptions) {
    this._options = options;
    this._ctx = options.ctx;
    this._rows = options.rows;
  }

  /** Number of jobs without a recorded outcome, claims included. */
  get openCount(): number {
    let open = this._claims.size;
    for (const tracked of this._jobs.values()) {
      open += tracked.recordedAtMs === undefined ? 1 : 0;
    }
    return open;
  }

  /** @returns Whether this entry owns the job or is claiming it. */
  has(id: string): boolean {
    return this._jobs.has(id) || this._claims.has(id);
  }

  /**
   * Attaches a caller to a job that this entry owns or is claiming.
   *
   * @param spec - The job as submitted by the caller.
   * @param replyId - Reply id of the caller.
   */
  attach(spec: JobSpec, replyId: number): void {
    const tracked = this._jobs.get(spec.id);
    const known = tracked?.job.spec ?? this._claims.get(spec.id)?.spec;
    if (known && known.digest !== spec.digest) {
      this._reply(replyId, conflictReply(spec.id));
      return;
    }
    if (tracked) {
      this._ctx.logStep(JobLogStep.Attached, spec.id);
      this._reply(replyId, this._statusReply(tracked));
      return;
    }
    this._claims.get(spec.id)?.replyIds.add(replyId);
  }

  /**
   * Starts to claim a job that is new to this entry.
   *
   * @param spec - The submission.
   * @param replyId - Reply id of the caller.
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
   * Takes over a job from a fenced owner.
   *
   * @param row - Its row after the adoption.
   * @param spec - The submission.
   * @param rowVersion - Version of the row after the adoption.
   * @param collected - The job's tasks, as collected from the runners.
   */
  adopt(
    row: JobRow,
    spec: JobSpec,
    rowVersion: number,
    collected: CollectedTasks,
  ): void {
    const job = new Job({ spec, epoch: row.epoch, states: collected.states });
    collected.runners.forEach((key) => job.runners.add(key));
    this._ctx.logStep(
      JobLogStep.Adopted,
      spec.id,
      `epoch ${String(row.epoch)}`,
    );
    collected.results.forEach((result) => {
      job.markResult(result);
    });
    collected.lost.forEach((index) => {
      job.markLost(index, 'its entry and a runner that may hold it are gone');
    });
    this._open(job, rowVersion);
    this.settle(job);
  }

  /**
   * Replies with a job's status when its outcome is recorded or the wait ends.
   * While the job is being claimed, the reply is sent when the claim ends.
   *
   * @param id - A job that this entry owns or is claiming.
   * @param replyId - Reply id of the caller.
   * @param untilMs - Time at which the wait ends.
   */
  awaitOutcome(id: string, replyId: number, untilMs: number): void {
    const tracked = this._jobs.get(id);
    if (!tracked) {
      this._claims.get(id)?.replyIds.add(replyId);
      return;
    }
    if (tracked.recordedAtMs !== undefined) {
      this._reply(replyId, this._statusReply(tracked));
      return;
    }
    tracked.waiters.push({ replyId, untilMs });
  }

  /**
   * Cancels a job on behalf of its desk, unless its outcome is decided.
   *
   * @param id - The job.
   */
  cancel(id: string): void {
    const claim = this._claims.get(id);
    if (claim) {
      claim.cancelled = true;
    }
    const tracked = this._jobs.get(id);
    if (tracked) {
      tracked.job.fail(FailureReason.Cancelled, 'The desk cancelled the job.');
      this.settle(tracked.job);
    }
  }

  /**
   * Starts to record the outcome of a job, if it is decided.
   *
   * @param job - A job whose tasks have changed.
   */
  settle(job: Job): void {
    const tracked = this._jobs.get(job.spec.id);
    if (!tracked || tracked.decided || !job.outcome) {
      return;
    }
    tracked.decided = true;
    this._ctx.logStep(JobLogStep.Decided, job.spec.id, job.outcome.kind);
    this._options.onDecided(job);
    this._rows.record(job, tracked.rowVersion, (result, now) => {
      this._onRecorded(tracked, result, now);
    });
  }

  /** @param now - Current time in milliseconds. */
  tick(now: number): void {
    for (const [id, claim] of this._claims) {
      this._answerTimedOutClaim(id, claim, now);
    }
    for (const [id, tracked] of this._jobs) {
      this._tickJob(tracked, now);
      if (this._isExpired(tracked, now)) {
        this._jobs.delete(id);
      }
    }
  }

  /** @param replyId - Reply id of a caller that has disconnected. */
  onCallerDisconnected(replyId: number): void {
    for (const tracked of this._jobs.values()) {
      tracked.waiters = tracked.waiters.filter((w) => w.replyId !== replyId);
    }
  }

  private _answerTimedOutClaim(id: string, claim: Claim, now: number): void {
    if (now - claim.startedAtMs <= this._ctx.options.claimTimeoutMs) {
      return;
    }
    for (const replyId of claim.replyIds) {
      this._reply(replyId, pendingReply(id));
    }
    claim.replyIds.clear();
  }

  private _tickJob(tracked: TrackedJob, now: number): void {
    if (!tracked.decided && tracked.job.spec.deadlineMs <= now) {
      tracked.job.fail(FailureReason.Deadline, 'The deadline passed.');
      this.settle(tracked.job);
    }
    if (tracked.waiters.length === 0) {
      return;
    }
    const due = tracked.waiters.filter((w) => w.untilMs <= now);
    tracked.waiters = tracked.waiters.filter((w) => w.untilMs > now);
    for (const { replyId } of due) {
      this._reply(replyId, this._statusReply(tracked));
    }
  }

  private _isExpired(tracked: TrackedJob, now: number): boolean {
    return (
      tracked.recordedAtMs !== undefined &&
      now - tracked.recordedAtMs > this._ctx.options.outcomeCacheMs
    );
  }

  private _onClaimed(spec: JobSpec, outcome: WriteOutcome): void {
    switch (outcome.kind) {
      case 'committed':
        this._ctx.logStep(JobLogStep.Claimed, spec.id);
        this._finishClaim(spec, outcome.version);
        return;
      case 'conflict':
        if (outcome.keys.includes(this._options.ownerCondition().key)) {
          this._ctx.retire('The owner row of this entry is gone.');
          return;
        }
        this._readExistingRow(spec);
        return;
      case 'abandoned':
      case 'rejected':
        this._endClaim(spec.id, refuseSubmission(spec, CLAIM_REFUSED));
    }
  }

  private _finishClaim(spec: JobSpec, rowVersion: number): void {
    const claim = this._claims.get(spec.id);
    this._claims.delete(spec.id);
    const tracked = this._open(new Job({ spec }), rowVersion);
    for (const replyId of claim?.replyIds ?? []) {
      this._reply(replyId, this._statusReply(tracked));
    }
    if (claim?.cancelled) {
      this.cancel(spec.id);
    }
  }

  private _readExistingRow(spec: JobSpec): void {
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
    const adopted = this._jobs.get(spec.id);
    if (adopted) {
      // This entry has adopted the job while the claim was under way.
      this._ctx.logStep(JobLogStep.Attached, spec.id);
      this._endClaim(spec.id, this._statusReply(adopted));
      return;
    }
    const isOwn = jobRow.owner === this._ctx.options.incarnation;
    if (isOwn && !isFinalRow(jobRow)) {
      if (jobRow.epoch === FIRST_EPOCH) {
        // This entry's own claim: no task of the job has started, because the
        // job was not in this table when it was submitted.
        this._finishClaim(spec, row.version);
      } else {
        // This entry is adopting the job: tasks may have started under the
        // previous owner.
        this._endClaim(spec.id, pendingReply(spec.id));
      }
      return;
    }
    this._ctx.logStep(JobLogStep.Attached, spec.id);
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

  private _open(job: Job, rowVersion: number): TrackedJob {
    const tracked: TrackedJob = {
      job,
      rowVersion,
      waiters: [],
      decided: false,
      recordedAtMs: undefined,
    };
    this._jobs.set(job.spec.id, tracked);
    this._options.onOpen(job);
    return tracked;
  }

  private _onRecorded(
    tracked: TrackedJob,
    result: WriteOutcome,
    now: number,
  ): void {
    if (result.kind !== 'committed') {
      this._ctx.retire('A job of this entry was taken over.');
      return;
    }
    tracked.recordedAtMs = now;
    this._ctx.logStep(JobLogStep.Recorded, tracked.job.spec.id);
    for (const { replyId } of tracked.waiters) {
      this._reply(replyId, this._statusReply(tracked));
    }
    tracked.waiters = [];
    this._options.onRecorded(tracked.job);
  }

  private _statusReply(tracked: TrackedJob): Reply {
    const { spec, doneCount, outcome } = tracked.job;
    const status: JobStatus = {
      id: spec.id,
      desk: spec.desk,
      taskCount: spec.tasks.length,
      doneCount,
    };
    const isRecorded = tracked.recordedAtMs !== undefined && outcome;
    return {
      kind: 'job',
      status: isRecorded ? { ...status, outcome } : status,
    };
  }

  private _reply(replyId: number, reply: Reply): void {
    this._ctx.emit({ kind: 'reply', replyId, reply });
  }
}
