import type { Resources } from '../messages.js';

/** Priority of waiting work in placement. */
export enum PriorityClass {
  Urgent = 'urgent',
  Routine = 'routine',
}

/** One task of a job. */
export interface TaskSpec {
  /** Name of the endpoint that executes the task. */
  readonly endpoint: string;
  /** Sent to the endpoint unchanged. */
  readonly payload: string;
  /** Resources of the worker that the task holds while it runs. */
  readonly needs?: Resources;
}

/** A job as submitted by its desk. */
export interface JobSpec {
  /** Idempotency key chosen by the desk. */
  readonly id: string;
  /** Name of the desk, the client to whose quota the tasks are charged. */
  readonly desk: string;
  readonly priority: PriorityClass;
  /** Time after which the job fails, in milliseconds since the Unix epoch. */
  readonly deadlineMs: number;
  /** Data centres that may serve the job; empty means any. */
  readonly dataCentres: readonly string[];
  readonly tasks: readonly TaskSpec[];
  /** Digest of the submitted content. */
  readonly digest: string;
  /**
   * The desk guarantees that it has not submitted the id before and will not
   * submit it again until this attempt is answered or abandoned. Only with this
   * guarantee can a refusal prove that no task has run.
   */
  readonly firstAttempt?: boolean;
}
