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

/** Why a submission was refused. A refused job never runs. */
export enum SubmitRefusal {
  /** The store can't record the job at present. */
  StoreUnavailable = 'store-unavailable',
  /** The job would not end in time to be of use to its caller. */
  Overload = 'overload',
  /** The entry has had no worker for the job for some time. */
  NoWorkers = 'no-workers',
  /** The entry does not hold its lease, so another entry may have replaced it. */
  NoLease = 'no-tenure',
  /** A planned stop has begun. */
  Stopping = 'stopping',
  /** The entry has given the job up before any of its tasks could begin. */
  Abandoned = 'abandoned',
  /** A number of the job, or of its queue, is out of range. */
  Invalid = 'invalid',
  /** The job was cancelled before it was recorded. */
  Withdrawn = 'withdrawn',
}

/** Reply to a call from a desk. */
export type BatchReply =
  | { readonly kind: 'accepted' }
  /** A volatile job, whose caller waits for its end, has ended. */
  | { readonly kind: 'ended'; readonly state: BatchState }
  | {
      readonly kind: 'refused';
      readonly reason: SubmitRefusal;
      readonly retryAfterMs: number;
    }
  /** The job can't be stored and never will be, so it is not accepted. */
  | { readonly kind: 'too-large'; readonly detail: string }
  /** The outcome of the call is unknown; the call may be repeated. */
  | { readonly kind: 'in-doubt'; readonly detail: string }
  | { readonly kind: 'state'; readonly state: BatchState }
  | { readonly kind: 'unknown-job' }
  | { readonly kind: 'cancelled' }
  | { readonly kind: 'count'; readonly pending: number }
  /** No answer from the store before the deadline; nothing was changed. */
  | { readonly kind: 'unavailable'; readonly retryAfterMs: number };

/** Reply to calls that arrive between the end of a planned stop and the exit. */
export const STOPPED_REPLY: BatchReply = {
  kind: 'refused',
  reason: SubmitRefusal.Stopping,
  retryAfterMs: 1000,
};

/** Status that an entry reports to its peers in reply to a probe. */
export interface PeerStatus {
  readonly incarnation: string;
  /** Whether the store has answered the entry recently. */
  readonly storeReachable: boolean;
  /** Number of jobs without a started task, by queue. */
  readonly pending: Readonly<Record<string, number>>;
}

/**
 * Tells other entries that workers may still begin or execute runs of a volatile
 * job that its entry has given up.
 */
export interface LateStartNote {
  /** Id of the job. */
  readonly job: string;
  /** VMs of these workers. */
  readonly workers: readonly string[];
  /** For how long at most, in milliseconds; 0 withdraws an earlier note. */
  readonly forMs: number;
}

/** An event that a batch entry handles. */
export type BatchEvent =
  | {
      readonly kind: 'submit';
      readonly replyId: number;
      readonly id: string;
      readonly content: BatchContent;
      /** Time at which the caller stops waiting. */
      readonly deadlineMs: number;
    }
  | {
      readonly kind: 'status' | 'cancel';
      readonly replyId: number;
      readonly id: string;
      readonly deadlineMs: number;
    }
  /** Asks for the number of pending jobs of a queue, over all entries. */
  | {
      readonly kind: 'count';
      readonly replyId: number;
      readonly queue: string;
    }
  | { readonly kind: 'caller-gone'; readonly replyId: number }
  | {
      readonly kind: 'link-closed';
      readonly linkId: number;
      /** Reason for the log. */
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
      /** Absent when the probe timed out. */
      readonly status: PeerStatus | undefined;
    }
  | {
      readonly kind: 'forward-reply';
      readonly callId: number;
      readonly handled: boolean;
    }
  /** Notes of another entry. */
  | { readonly kind: 'late-starts'; readonly notes: readonly LateStartNote[] }
  /** The process may have been paused, so leases may have expired unnoticed. */
  | { readonly kind: 'paused'; readonly jumpMs: number }
  /** Occurs periodically and drives all intervals and timeouts. */
  | { readonly kind: 'tick' }
  /**
   * A planned stop begins. `sinceMs` is the earliest time at which it may have
   * been requested; by default it is the time of the event.
   */
  | { readonly kind: 'stop'; readonly sinceMs?: number }
  /**
   * Follows each batch of other events: tasks are placed, and the gathered writes
   * and orders are sent. `pollAgeMs` is the time since the host began to poll
   * its sockets; by default it is 0. What came later has not been read.
   */
  | { readonly kind: 'flush'; readonly pollAgeMs?: number };

/** An action that a batch entry asks its host to carry out. */
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
  /** Opens a link: a stream of orders to a worker and of its reports back. */
  | {
      readonly kind: 'open-link';
      readonly linkId: number;
      readonly address: string;
    }
  | {
      readonly kind: 'close-link';
      readonly linkId: number;
      /** Whether to discard what the worker has not received yet. */
      readonly isReset: boolean;
    }
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
  /** Forwards a cancel call to the entry that owns the job. */
  | {
      readonly kind: 'forward-cancel';
      readonly callId: number;
      readonly address: string;
      readonly id: string;
    }
  /** Sends notes to another entry; the outcome does not matter. */
  | {
      readonly kind: 'note-late-starts';
      readonly address: string;
      readonly notes: readonly LateStartNote[];
    }
  | {
      readonly kind: 'log';
      readonly message: string;
      readonly fields: LogFields;
    }
  /** Polls the sockets once more, and flushes again whatever is read. */
  | { readonly kind: 'poll-again' }
  /** This incarnation has been replaced; the host starts a new one. */
  | { readonly kind: 'retire'; readonly reason: string }
  /** The planned stop is complete. */
  | { readonly kind: 'stopped' };
