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

/** A single call through to an endpoint. */
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

/** Why something that a caller asked for is refused. */
export enum ErrorCode {
  /** The request can never succeed as it is. */
  Invalid = 'invalid',
  /** The id is in use for other content. */
  Conflict = 'conflict',
  /** No job has this id. */
  NotFound = 'not-found',
  /** The desk is over its quota. */
  OverQuota = 'over-quota',
  /** This process can't take the request now. */
  Unavailable = 'unavailable',
  /** The platform's store gave no clear answer in time. */
  Pending = 'pending',
  /** The deadline passed. */
  Deadline = 'deadline',
  /** The work may have run and its result is lost. */
  Lost = 'lost',
}

/** A refusal, with what the caller may conclude from it. */
export interface CallerError {
  readonly code: ErrorCode;
  readonly detail: string;
  readonly runState: RunState;
  /** When to come back, where that can help. */
  readonly retryAfterMs?: number;
}

/** State of a job as its desk sees it. */
export interface JobStatus {
  readonly id: string;
  readonly desk: string;
  readonly taskCount: number;
  readonly doneCount: number;
  /** The final state; absent while the job is open. */
  readonly outcome?: Outcome;
}

/** How far a ticket has spread when its operator is answered. */
export interface TicketReceipt {
  readonly number: number;
  /** Entry incarnations that have the ticket. */
  readonly inForce: readonly string[];
  /** Entry incarnations that have not confirmed it yet. */
  readonly notYet: readonly string[];
}

/** The answer to a caller. */
export type Reply =
  | { readonly kind: 'job'; readonly status: JobStatus }
  /** Another entry owns the job; it is asked for the status. */
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
  /** The number that it must take; absent means the next one. */
  readonly number?: number;
  readonly author: string;
  readonly reason: string;
  readonly changes: readonly Change[];
}

/** Something that happened to an entry. */
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
  | {
      readonly kind: 'ask';
      readonly replyId: number;
      readonly job: string;
      /** How long to wait for the outcome. */
      readonly waitMs: number;
      readonly cancel: boolean;
      /** Whether another entry may be asked. */
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
  /** The caller of a reply is gone. */
  | { readonly kind: 'caller-gone'; readonly replyId: number }
  /** The current turn of the loop ends: tasks are placed, batches are sent. */
  | { readonly kind: 'flush' }
  /** Time has passed. */
  | { readonly kind: 'tick' }
  /** A planned stop was asked for. */
  | { readonly kind: 'stop' };

/** Steps in the life of a job, for the log. */
export enum JobStep {
  Claimed = 'claimed',
  Attached = 'attached',
  Refused = 'refused',
  Decided = 'decided',
  Recorded = 'recorded',
  Adopted = 'adopted',
}

/** Something that an entry wants done. */
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
      readonly step: JobStep;
      readonly job: string;
      readonly detail: string;
    }
  /** A ticket is in force here. */
  | { readonly kind: 'ticket-adopted'; readonly ticket: Ticket }
  /** The incarnation has been replaced; a new one must be started. */
  | { readonly kind: 'stand-down'; readonly reason: string }
  /** All work has ended after a planned stop. */
  | { readonly kind: 'stopped' };
