import { BatchState } from '../request/batch-job.js';
import type { BatchReply } from './batch-events.js';
import { decodeJobRow, fleetKeys, partName, partOf } from './fleet-rows.js';
import type { EndedJobRow, OpenJobRow } from './fleet-rows.js';
import type { PartStores } from './part-stores.js';

/** A call about a job that another entry may own. */
export interface JobLookup {
  readonly replyId: number;
  readonly kind: 'status' | 'cancel';
  readonly id: string;
  readonly deadlineMs: number;
}

interface OpenLookup extends JobLookup {
  nextTryAtMs: number;
  isWaiting: boolean;
}

/** Options of {@link JobLookups}. */
export interface JobLookupsOptions {
  readonly stores: PartStores;
  /** Answers from what this entry knows itself; tells whether it did. */
  readonly answerHere: (lookup: JobLookup) => boolean;
  /** Whether a submission of the job is on its way to the store. */
  readonly isSubmitting: (id: string) => boolean;
  readonly reply: (replyId: number, reply: BatchReply) => void;
  /** Hands a cancel to the owner; tells whether the owner is known. */
  readonly forward: (callId: number, owner: string, id: string) => boolean;
}

/** Pause between two tries of a lookup. */
const RETRY_MS = 60;
/** Kept back from a caller's deadline for the answer to reach it. */
const REPLY_RESERVE_MS = 100;
/** When a caller may come back after a lookup without an answer. */
const RETRY_AFTER_MS = 1000;

/** Calls about jobs of other entries: read from the store, or handed on. */
export class JobLookups {
  private readonly _options: JobLookupsOptions;
  private readonly _open = new Map<number, OpenLookup>();
  private readonly _forwards = new Map<number, OpenLookup>();
  private _nextCallId = 1;

  /** @param options - Store and what this entry knows. */
  constructor(options: JobLookupsOptions) {
    this._options = options;
  }

  /** Callers that wait. */
  get replyIds(): readonly number[] {
    return [...this._open.keys()];
  }

  /**
   * @param lookup - The call.
   * @param now - Current time in milliseconds.
   */
  begin(lookup: JobLookup, now: number): void {
    if (this._options.answerHere(lookup)) {
      return;
    }
    const open = { ...lookup, nextTryAtMs: now, isWaiting: false };
    this._open.set(lookup.replyId, open);
    this._read(open);
  }

  /** @param replyId - A caller that has left. */
  drop(replyId: number): void {
    this._open.delete(replyId);
  }

  /**
   * Tries again what has found no answer, and gives up what has no time left.
   *
   * @param now - Current time in milliseconds.
   */
  pump(now: number): void {
    for (const lookup of [...this._open.values()]) {
      if (now > lookup.deadlineMs - REPLY_RESERVE_MS) {
        this._answer(lookup, {
          kind: 'unavailable',
          retryAfterMs: RETRY_AFTER_MS,
        });
      } else if (!lookup.isWaiting && now >= lookup.nextTryAtMs) {
        if (this._options.answerHere(lookup)) {
          this._open.delete(lookup.replyId);
        } else {
          this._read(lookup);
        }
      }
    }
  }

  /**
   * @param callId - A cancel that was handed on.
   * @param handled - Whether its owner has carried it out.
   * @param now - Current time in milliseconds.
   */
  onForwarded(callId: number, handled: boolean, now: number): void {
    const lookup = this._forwards.get(callId);
    this._forwards.delete(callId);
    if (!lookup) {
      return;
    }
    lookup.isWaiting = false;
    lookup.nextTryAtMs = now + RETRY_MS;
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
      lookup.nextTryAtMs = at + RETRY_MS;
      if (!this._open.has(lookup.replyId) || reply.kind !== 'rows') {
        return;
      }
      if (this._options.answerHere(lookup)) {
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
