import type { RunState } from '../messages.js';

/** Why a job or request has failed. */
export enum FailureReason {
  /** The endpoint answered a task with an error status. */
  EndpointError = 'endpoint-error',
  /** A task may have run, and its result is lost. */
  TaskLost = 'task-lost',
  /** The deadline passed. */
  Deadline = 'deadline',
  /** The desk cancelled the job. */
  Cancelled = 'cancelled',
}

/** The endpoint's answer to one task. */
export interface TaskAnswer {
  readonly status: number;
  readonly contentType: string;
  /** Encoded as base64, so that binary content can be stored as text. */
  readonly body: string;
}

/** The final state of a job; it never changes. */
export type Outcome =
  | { readonly kind: 'complete'; readonly answers: readonly TaskAnswer[] }
  | {
      readonly kind: 'failed';
      readonly reason: FailureReason;
      readonly detail: string;
      /** Whether each task has run, in the order of submission. */
      readonly runStates: readonly RunState[];
    };
