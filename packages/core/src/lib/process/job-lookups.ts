import { BatchState } from '../request/batch-job.js';
import type { BatchReply } from './batch-events.js';
import { SubmitRefusal } from './batch-events.js';
import { decodeJobRow, fleetKeys, partName, partOf } from './fleet-rows.js';
import type { JobRow } from './fleet-rows.js';
import type { PartStores } from './part-stores.js';
import type { WriteOutcome } from './store-writer.js';

/**
 * A call for a job that another entry may own: for its status, to cancel it, or a
 * submission that has found a row of the job.
 */
export interface JobLookup {
  readonly replyId: number;
  readonly kind: 'status' | 'cancel' | 'submit';
  readonly id: string;
  readonly deadlineMs: number;
}

/** A lookup without a reply. */
interface OpenLookup extends JobLookup {
  nextTryAtMs: number;
  /** Whether a read of the store or a forwarded cancel is in flight. */
  isWaiting: boolean;
}

/** Options of {@link JobLookups}. */
export interface JobLookupsOptions {
  readonly stores: PartStores;
  /** Answers from the local state, if possible; returns whether it did. */
  readonly answerLocally: (lookup: JobLookup) => boolean;
  /** Returns whether a submission of the job is being recorded here. */
  readonly isSubmitting: (id: string) => boolean;
  readonly reply: (replyId: number, reply: BatchReply) => void;
  /** Forwards a cancel to the owner; returns whether the owner is known. */
  readonly forward: (callId: number, owner: string, id: string) => boolean;
  /** Records that a job without a row was cancelled. */
  readonly withdraw: (
    id: string,
    abandonAtMs: number,
    onDone: (outcome: WriteOutcome, now: number) => void,
  ) => void;
  /** Time for which the row of a withdrawn job is kept, in milliseconds. */
  readonly retentionMs: number;
}

/** Delay between two attempts of a lookup. */
const RETRY_DELAY_MS = 60;
/** Part of a caller's deadline that is reserved for delivering the reply. */
const REPLY_MARGIN_MS = 100;
/** Retry-after of a lookup that timed out. */
const RETRY_AFTER_MS = 1000;

/**
 * Answers calls for jobs that this entry may not own: reads the job's row from the
 * store, and forwards a cancel to the job's owner. Failed attempts are retried
 * until the caller's deadline.
 *
 * The insert of a job whose caller has had no answer may still be performed. A
 * cancel therefore says that there is no such job only once a row prevents that.
 */
export class JobLookups {
  private readonly _options: JobLookupsOptions;
  private readonly _open = new Map<number, OpenLookup>();
  private readonly _forwards = new Map<number, OpenLookup>();
  private _nextCallId = 1;

  /** @param options - Store, local state and callbacks. */
  constructor(options: JobLookupsOptions) {
    this._options = options;
  }

  /** Reply ids of the calls without a reply. */
  get replyIds(): readonly number[] {
    return [...this._open.keys()];
  }

  /**
   * Answers a call from the local state, or begins a lookup.
   *
   * @param lookup - The call.
   * @param now - Current time in milliseconds.
   */
  begin(lookup: JobLookup, now: number): void {
    if (this._options.answerLocally(lookup)) {
      return;
    }
    const open = { ...lookup, nextTryAtMs: now, isWaiting: false };
    this._open.set(lookup.replyId, open);
    this._read(open);
  }

  /** @param replyId - Reply id of a call whose caller no longer waits. */
  remove(replyId: number): void {
    this._open.delete(replyId);
  }

  /**
   * Retries lookups that are due, and answers those that have timed out.
   *
   * @param now - Current time in milliseconds.
   */
  pump(now: number): void {
    for (const lookup of [...this._open.values()]) {
      if (now > lookup.deadlineMs - REPLY_MARGIN_MS) {
        this._answer(lookup, timeoutReply(lookup));
      } else if (!lookup.isWaiting && now >= lookup.nextTryAtMs) {
        if (this._options.answerLocally(lookup)) {
          this._open.delete(lookup.replyId);
        } else {
          this._read(lookup);
        }
      }
    }
  }

  /**
   * Processes the outcome of a forwarded cancel.
   *
   * @param callId - Id of the forwarded call.
   * @param handled - Whether the owner has cancelled the job.
   * @param now - Current time in milliseconds.
   */
  onForwarded(callId: number, handled: boolean, now: number): void {
    const lookup = this._forwards.get(callId);
    this._forwards.delete(callId);
    if (!lookup) {
      return;
    }
    retryLater(lookup, now);
    if (handled && this._open.has(lookup.replyId)) {
      this._answer(lookup, { kind: 'cancelled' });
    }
  }

  private _read(lookup: OpenLookup): void {
    lookup.isWaiting = true;
    const keys = [fleetKeys.job(lookup.id)];
    const caller = this._options.stores.caller(partName(partOf(lookup.id)));
    caller.call({ kind: 'read', keys }, (reply, at) => {
      retryLater(lookup, at);
      if (!this._open.has(lookup.replyId) || reply.kind !== 'rows') {
        return;
      }
      if (this._options.answerLocally(lookup)) {
        this._open.delete(lookup.replyId);
        return;
      }
      const row = reply.rows[0];
      const data = row && decodeJobRow(row.value);
      if (data) {
        this._answerFromRow(lookup, data);
      } else if (!this._options.isSubmitting(lookup.id)) {
        this._onNoRow(lookup);
      }
    });
  }

  private _onNoRow(lookup: OpenLookup): void {
    switch (lookup.kind) {
      case 'status':
        this._answer(lookup, { kind: 'unknown-job' });
        return;
      case 'cancel':
        this._withdraw(lookup);
        return;
      case 'submit':
        this._answer(lookup, {
          kind: 'in-doubt',
          detail: 'the row of the job has been deleted',
        });
    }
  }

  private _withdraw(lookup: OpenLookup): void {
    lookup.isWaiting = true;
    const abandonAtMs = lookup.deadlineMs - REPLY_MARGIN_MS;
    this._options.withdraw(lookup.id, abandonAtMs, (outcome, at) => {
      retryLater(lookup, at);
      if (outcome.kind === 'committed' && this._open.has(lookup.replyId)) {
        this._answer(lookup, { kind: 'unknown-job' });
      }
    });
  }

  private _answerFromRow(lookup: OpenLookup, row: JobRow): void {
    if (row.kind === 'withdrawn') {
      this._answer(lookup, this._withdrawnReply(lookup));
      return;
    }
    switch (lookup.kind) {
      case 'status': {
        const state = row.kind === 'ended' ? row.state : BatchState.Running;
        this._answer(lookup, { kind: 'state', state });
        return;
      }
      case 'cancel':
        if (row.kind === 'ended') {
          this._answer(lookup, { kind: 'cancelled' });
        } else {
          this._forward(lookup, row.owner);
        }
        return;
      case 'submit':
        this._answer(lookup, { kind: 'accepted' });
    }
  }

  private _withdrawnReply({ kind }: JobLookup): BatchReply {
    return kind === 'submit'
      ? {
          kind: 'refused',
          reason: SubmitRefusal.Withdrawn,
          retryAfterMs: this._options.retentionMs,
        }
      : { kind: 'unknown-job' };
  }

  private _forward(lookup: OpenLookup, owner: string): void {
    const callId = this._nextCallId++;
    if (this._options.forward(callId, owner, lookup.id)) {
      lookup.isWaiting = true;
      this._forwards.set(callId, lookup);
    }
  }

  private _answer(lookup: OpenLookup, reply: BatchReply): void {
    this._open.delete(lookup.replyId);
    this._options.reply(lookup.replyId, reply);
  }
}

/** Lets a lookup whose attempt has ended be tried again after a delay. */
const retryLater = (lookup: OpenLookup, now: number): void => {
  lookup.isWaiting = false;
  lookup.nextTryAtMs = now + RETRY_DELAY_MS;
};

/** A submission may have been accepted, so it must not count as refused. */
const timeoutReply = ({ kind }: JobLookup): BatchReply =>
  kind === 'submit'
    ? { kind: 'in-doubt', detail: 'the store has not shown the job yet' }
    : { kind: 'unavailable', retryAfterMs: RETRY_AFTER_MS };
