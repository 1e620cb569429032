import type {
  AnnounceRequest,
  EntryMessage,
  FenceReply,
  FenceRequest,
  PollReply,
  PollRequest,
  RunnerMessage,
  RunState,
} from '../messages.js';
import type { JobSpec, PriorityClass } from '../request/job-spec.js';
import type { Outcome } from '../request/outcome.js';
import type { StoreReply, StoreRequest } from '../store.js';
import type { Change, Ticket } from '../version/ticket.js';

/** A single request that the entry passes on to an endpoint. */
export interface EndpointRequest {
  readonly desk: string;
  readonly endpoint: string;
  readonly priority: PriorityClass;
  /** Allows the request to run more than once. */
  readonly idempotent: boolean;
  readonly payload: string;
  readonly contentType: string;
  readonly deadlineMs: number;
  readonly dataCentres: readonly string[];
}

/** Error codes of refusals and failures that a caller receives. */
export enum ErrorCode {
  /** The request is invalid; a retry without changes fails again. */
  Invalid = 'invalid',
  /** The id or ticket number is already in use for different content. */
  Conflict = 'conflict',
  /** No job has this id. */
  NotFound = 'not-found',
  /** The desk is over its quota. */
  OverQuota = 'over-quota',
  /** This process can't serve the request now. */
  Unavailable = 'unavailable',
  /** The platform's store did not confirm the write in time. */
  Pending = 'pending',
  /** The deadline passed. */
  Deadline = 'deadline',
  /** The work may have run, and its result is lost. */
  Lost = 'lost',
}

/** An error reply; `runState` says whether the work may have run. */
export interface CallerError {
  readonly code: ErrorCode;
  readonly detail: string;
  readonly runState: RunState;
  /** Delay before a retry; absent where a retry does not help. */
  readonly retryAfterMs?: number;
}

/** Status of a job as reported to its desk. */
export interface JobStatus {
  readonly id: string;
  readonly desk: string;
  readonly taskCount: number;
  readonly doneCount: number;
  /** The final state; absent while the job is open. */
  readonly outcome?: Outcome;
}

/** How far a ticket has propagated when its operator receives the reply. */
export interface TicketReceipt {
  readonly number: number;
  /** Entry incarnations at which the ticket is in force. */
  readonly inForce: readonly string[];
  /** Entry incarnations that have not confirmed it yet. */
  readonly notYet: readonly string[];
}

/** The reply to a caller. */
export type Reply =
  | { readonly kind: 'job'; readonly status: JobStatus }
  /** Another entry owns the job; the host requests the status from it. */
  | {
      readonly kind: 'forward';
      readonly address: string;
      readonly job: string;
      readonly waitMs: number;
      readonly cancel: boolean;
    }
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly contentType: string;
      readonly body: Buffer;
    }
  | { readonly kind: 'ticket'; readonly receipt: TicketReceipt }
  | { readonly kind: 'error'; readonly error: CallerError };

/** A proposed ticket. */
export interface TicketProposal {
  /** The number that the ticket must get; absent for the next free number. */
  readonly number?: number;
  readonly author: string;
  readonly reason: string;
  readonly changes: readonly Change[];
}

/** An input event of the entry state machine. */
export type EntryEvent =
  | {
      readonly kind: 'submit';
      readonly replyId: number;
      readonly spec: JobSpec;
    }
  | {
      readonly kind: 'request';
      readonly replyId: number;
      readonly request: EndpointRequest;
    }
  /** A request for the status of a job, or for its cancellation. */
  | {
      readonly kind: 'ask';
      readonly replyId: number;
      readonly job: string;
      /** How long to wait for the outcome. */
      readonly waitMs: number;
      readonly cancel: boolean;
      /** Whether the reply may refer to the entry that owns the job. */
      readonly forward: boolean;
    }
  | {
      readonly kind: 'apply-ticket';
      readonly replyId: number;
      readonly proposal: TicketProposal;
    }
  | {
      readonly kind: 'store-reply';
      readonly opId: number;
      readonly reply: StoreReply;
    }
  | { readonly kind: 'announce'; readonly req: AnnounceRequest }
  | {
      readonly kind: 'link-message';
      readonly linkId: string;
      readonly msg: RunnerMessage;
    }
  | { readonly kind: 'link-closed'; readonly linkId: string }
  | {
      readonly kind: 'fence-reply';
      readonly callId: number;
      /** Absent when the call failed. */
      readonly reply?: FenceReply;
    }
  /** Another entry exchanges configuration versions with this one. */
  | {
      readonly kind: 'poll';
      readonly replyId: number;
      readonly req: PollRequest;
    }
  | {
      readonly kind: 'poll-reply';
      readonly callId: number;
      /** Absent when the call failed. */
      readonly reply?: PollReply;
    }
  /** The caller that waits for this reply has disconnected. */
  | { readonly kind: 'caller-gone'; readonly replyId: number }
  /** The event loop turn ends: the entry places tasks and sends its batches. */
  | { readonly kind: 'flush' }
  /** Time has passed. */
  | { readonly kind: 'tick' }
  /** A planned stop was requested. */
  | { readonly kind: 'stop' };

/** Steps in the processing of a job, for the log. */
export enum JobLogStep {
  Claimed = 'claimed',
  Attached = 'attached',
  Refused = 'refused',
  Decided = 'decided',
  Recorded = 'recorded',
  Adopted = 'adopted',
}

/** An action of the entry state machine that the host process carries out. */
export type EntryAction =
  | { readonly kind: 'reply'; readonly replyId: number; readonly reply: Reply }
  | {
      readonly kind: 'poll-answer';
      readonly replyId: number;
      readonly reply: PollReply;
    }
  | {
      readonly kind: 'store';
      readonly opId: number;
      readonly req: StoreRequest;
    }
  | {
      readonly kind: 'open-link';
      readonly linkId: string;
      readonly address: string;
    }
  | {
      readonly kind: 'send';
      readonly linkId: string;
      readonly msg: EntryMessage;
    }
  | { readonly kind: 'close-link'; readonly linkId: string }
  | {
      readonly kind: 'fence';
      readonly callId: number;
      readonly address: string;
      readonly req: FenceRequest;
    }
  | {
      readonly kind: 'poll-peer';
      readonly callId: number;
      readonly address: string;
      readonly req: PollRequest;
    }
  | {
      readonly kind: 'job-step';
      readonly step: JobLogStep;
      readonly job: string;
      readonly detail: string;
    }
  /** A ticket has come into force at this entry. */
  | { readonly kind: 'ticket-adopted'; readonly ticket: Ticket }
  /** This incarnation has been replaced; the host starts a new one. */
  | { readonly kind: 'retire'; readonly reason: string }
  /** All work has ended after a planned stop. */
  | { readonly kind: 'stopped' };
