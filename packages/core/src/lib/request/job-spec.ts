import type { Resources } from '../messages.js';

/** Order in which waiting work is placed. */
export enum PriorityClass {
  Urgent = 'urgent',
  Routine = 'routine',
}

/** One task of a job. */
export interface TaskSpec {
  /** Name of the endpoint that executes the task. */
  readonly endpoint: string;
  /** Sent to the endpoint as it is. */
  readonly payload: string;
  /** Resources of the worker held while the task runs. */
  readonly needs?: Resources;
}

/** A job as its desk submitted it. */
export interface JobSpec {
  /** Idempotency key chosen by the desk. */
  readonly id: string;
  readonly desk: string;
  readonly priority: PriorityClass;
  /** Milliseconds since the Unix epoch after which the job is given up. */
  readonly deadlineMs: number;
  /** Data centres that may serve the job; empty means any. */
  readonly dataCentres: readonly string[];
  readonly tasks: readonly TaskSpec[];
  /** Digest of the submitted content. */
  readonly digest: string;
  /**
   * The desk states that the id was never submitted before, and will not be
   * again until this attempt is answered or given up. Only then can a refusal
   * prove that nothing of the job has run.
   */
  readonly firstAttempt?: boolean;
}
