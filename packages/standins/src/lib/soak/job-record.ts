/** An attempt of a caller to submit a job. */
export interface Attempt {
  readonly entry: number;
  readonly startedAtMs: number;
  /** Infinite until the attempt has ended. */
  endedAtMs: number;
  /** Status of the response; 0 without one. */
  status: number;
  /** Whether a planned stop of the entry closed the connection before. */
  isCutByStop: boolean;
}

/** What callers know about a job. */
export interface JobRecord {
  readonly id: string;
  /** Whether it is answered at its end and not recorded. */
  readonly isVolatile: boolean;
  /** Number of tasks of each step; a step runs after the one before it. */
  readonly taskCounts: readonly number[];
  readonly runMs: number;
  readonly attempts: Attempt[];
  /** Infinite until it was accepted. */
  acceptedAtMs: number;
  /** Final state that was shown: `completed` or `failed`. */
  finalState: string;
  /** Time at which the final state was shown. */
  endedAtMs: number;
}

/** A broken promise. */
export interface Violation {
  readonly promise: string;
  readonly job: string;
  readonly detail: string;
}

/** Creates the record of a job that has not been submitted. */
export const newJobRecord = (
  job: Pick<JobRecord, 'id' | 'isVolatile' | 'taskCounts' | 'runMs'>,
): JobRecord => ({
  ...job,
  attempts: [],
  acceptedAtMs: Number.POSITIVE_INFINITY,
  finalState: '',
  endedAtMs: Number.POSITIVE_INFINITY,
});
