import type { WorkerOrder, WorkerReport } from '../messages.js';
import type { BatchContent, BatchState } from '../request/batch-job.js';
import type {
  FollowReply,
  FollowRequest,
  StoreReply,
  StoreRequest,
} from '../store.js';

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean>>;

/** Why a submission was refused. Each reason proves that it never runs. */
export enum SubmitRefusal {
  /** The store can't record it now. */
  StoreUnavailable = 'store-unavailable',
  /** It could not be finished in useful time. */
  Overload = 'overload',
  /** The entry has no say now: it can't tell whether it was replaced. */
  NoTenure = 'no-tenure',
  Stopping = 'stopping',
}

/** Answer to a desk. */
export type BatchReply =
  | { readonly kind: 'accepted' }
  /** A job whose caller has waited for its end. */
  | { readonly kind: 'ended'; readonly state: BatchState }
  | {
      readonly kind: 'refused';
      readonly reason: SubmitRefusal;
      readonly retryAfterMs: number;
    }
  /** Nothing is known of what became of the call; it may be repeated. */
  | { readonly kind: 'in-doubt'; readonly detail: string }
  | { readonly kind: 'state'; readonly state: BatchState }
  | { readonly kind: 'unknown-job' }
  | { readonly kind: 'cancelled' }
  /** The store has not answered in time; the call has changed nothing. */
  | { readonly kind: 'unavailable'; readonly retryAfterMs: number };

/** What one entry tells another about itself. */
export interface PeerStatus {
  readonly incarnation: string;
  /** Whether it has heard from the store lately. */
  readonly storeReachable: boolean;
  /** Jobs without a started task, by queue. */
  readonly pending: Readonly<Record<string, number>>;
}

/** Something that happens to an entry. */
export type BatchEvent =
  | {
      readonly kind: 'submit';
      readonly replyId: number;
      readonly id: string;
      readonly content: BatchContent;
      /** When the caller stops waiting. */
      readonly deadlineMs: number;
    }
  | {
      readonly kind: 'status' | 'cancel';
      readonly replyId: number;
      readonly id: string;
      readonly deadlineMs: number;
    }
  | { readonly kind: 'caller-gone'; readonly replyId: number }
  | {
      readonly kind: 'link-closed';
      readonly linkId: number;
      /** Why, for the log. */
      readonly detail: string;
    }
  | {
      readonly kind: 'report';
      readonly linkId: number;
      readonly report: WorkerReport;
    }
  | {
      readonly kind: 'store-reply';
      readonly opId: number;
      readonly reply: StoreReply;
    }
  | {
      readonly kind: 'follow-reply';
      readonly table: string;
      readonly reply: FollowReply;
    }
  | {
      readonly kind: 'probe-reply';
      readonly incarnation: string;
      /** Absent when the peer has not answered. */
      readonly status: PeerStatus | undefined;
    }
  | {
      readonly kind: 'forward-reply';
      readonly callId: number;
      readonly handled: boolean;
    }
  /** The process may have been paused: what rested on time is not true. */
  | { readonly kind: 'paused'; readonly jumpMs: number }
  | { readonly kind: 'tick' }
  | { readonly kind: 'stop' }
  | { readonly kind: 'flush' };

/** What an entry has to do. */
export type BatchAction =
  | {
      readonly kind: 'reply';
      readonly replyId: number;
      readonly reply: BatchReply;
    }
  | {
      readonly kind: 'store';
      readonly opId: number;
      readonly part: string;
      readonly req: StoreRequest;
    }
  | { readonly kind: 'follow'; readonly req: FollowRequest }
  | {
      readonly kind: 'open-link';
      readonly linkId: number;
      readonly address: string;
    }
  | { readonly kind: 'close-link'; readonly linkId: number }
  | {
      readonly kind: 'order';
      readonly linkId: number;
      readonly order: WorkerOrder;
    }
  | {
      readonly kind: 'probe';
      readonly incarnation: string;
      readonly address: string;
    }
  /** Hands a cancel to the entry that owns the job. */
  | {
      readonly kind: 'forward-cancel';
      readonly callId: number;
      readonly address: string;
      readonly id: string;
    }
  | {
      readonly kind: 'log';
      readonly message: string;
      readonly fields: LogFields;
    }
  /** This incarnation has been replaced; a new one has to begin. */
  | { readonly kind: 'stand-down'; readonly reason: string }
  | { readonly kind: 'stopped' };
