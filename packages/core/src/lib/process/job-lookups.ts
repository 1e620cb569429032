import { BatchState } from '../request/batch-job.js';
import type { BatchReply } from './batch-events.js';
import { decodeJobRow, fleetKeys, partName, partOf } from './fleet-rows.js';
import type { EndedJobRow, OpenJobRow } from './fleet-rows.js';
import type { PartStores } from './part-stores.js';

/** A status or cancel call for a job that another entry may own. */
export interface JobLookup {
  readonly replyId: number;
  readonly kind: 'status' | 'cancel';
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
}

/** Delay between two attempts of a lookup. */
const RETRY_DELAY_MS = 60;
/** Part of a caller's deadline that is reserved for delivering the reply. */
const REPLY_MARGIN_MS = 100;
/** Retry-after of a lookup that timed out. */
const RETRY_AFTER_MS = 1000;

/**
 * Answers status and cancel calls for jobs that this entry may not own: reads
 * the job's row from the store, and forwards a cancel to the job's owner. Failed
 * attempts are retried until the caller's deadline.
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
        this._answer(lookup, {
          kind: 'unavailable',
          retryAfterMs: RETRY_AFTER_MS,
        });
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
    lookup.isWaiting = false;
    lookup.nextTryAtMs = now + RETRY_DELAY_MS;
    if (handled && this._open.has(lookup.replyId)) {
      this._answer(lookup, { kind: 'cancelled' });
    }
  }

  private _read(lookup: OpenLookup): void {
    lookup.isWaiting = true;
    const keys = [fleetKeys.job(lookup.id)];
    const caller = this._options.stores.caller(partName(partOf(lookup.id)));
    caller.call({ kind: 'read', keys }, (reply, at) => {
      lookup.isWaiting = false;
      lookup.nextTryAtMs = at + RETRY_DELAY_MS;
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
        this._answer(lookup, { kind: 'unknown-job' });
      }
    });
  }

  private _answerFromRow(
    lookup: OpenLookup,
    row: OpenJobRow | EndedJobRow,
  ): void {
    const isStatus = lookup.kind === 'status';
    switch (row.kind) {
      case 'ended':
        this._answer(
          lookup,
          isStatus
            ? { kind: 'state', state: row.state }
            : { kind: 'cancelled' },
        );
        return;
      case 'open':
        if (isStatus) {
          this._answer(lookup, { kind: 'state', state: BatchState.Running });
        } else {
          this._forward(lookup, row.owner);
        }
    }
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
