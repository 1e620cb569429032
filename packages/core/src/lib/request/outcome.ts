import type { RunState } from '../messages.js';

/** Why work ended without its whole answer. */
export enum FailureReason {
  /** The endpoint answered a task with an error status. */
  EndpointError = 'endpoint-error',
  /** A task may have run and its result is lost. */
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
  /** Encoded as base64, so that any answer survives storage. */
  readonly body: string;
}

/** The one final state of a job. */
export type Outcome =
  | { readonly kind: 'complete'; readonly answers: readonly TaskAnswer[] }
  | {
      readonly kind: 'failed';
      readonly reason: FailureReason;
      readonly detail: string;
      /** What is known of each task, in the order of submission. */
      readonly runStates: readonly RunState[];
    };
