import type { BatchJob, BatchState } from '../request/batch-job.js';
import type { RecordedJob } from './job-recorder.js';

/**
 * A run end that a worker has reported. It is acknowledged to the worker once
 * the rows of its job include it.
 */
export interface UnacknowledgedEnd {
  readonly worker: string;
  /** Incarnation of the worker that numbered the end. */
  readonly life: string;
  /** Number of the end in that incarnation; 0 if the worker does not list it. */
  readonly number: number;
  readonly task: string;
  readonly run: number;
  /** Whether another run of the task has begun after this one. */
  superseded: boolean;
  /** Whether this entry started the run. */
  readonly isLocalRun: boolean;
}

/** A job that this entry owns, i.e. whose tasks it places on workers. */
export interface OwnedJob extends RecordedJob {
  readonly job: BatchJob;
  /** Run ends that are not yet included in the job's rows. */
  unacknowledged: UnacknowledgedEnd[];
  /** Time at which the oldest of these ends arrived. */
  unacknowledgedSinceMs: number;
  /** Whether a worker crash under a task is to be recorded. */
  hasUnsavedCrash: boolean;
  /** Whether a write of the job's progress is pending. */
  isSaving: boolean;
  /**
   * Whether the store has rejected the job's progress for good, so that its ends
   * wait for the final state.
   */
  isProgressRejected: boolean;
  /** Whether the final state is set and is being recorded. */
  isFinishing: boolean;
  /** Reply ids of cancel calls that wait until the final state is recorded. */
  cancelReplies: number[];
  /** Reply ids of submissions that wait for the end of a volatile job. */
  endReplies: number[];
  /** Time at which a volatile job is abandoned; infinite for a recorded job. */
  readonly deadlineMs: number;
  /** Previous owner, until all its runs of this job are known. */
  unsettledPredecessor: string | undefined;
}

/** The row of a job that does not go on; deleted after the retention period. */
export interface RetainedRow {
  readonly version: number;
  readonly endedAtMs: number;
}

/** A job that has ended and whose final state is retained. */
export interface EndedJob extends RetainedRow {
  readonly state: BatchState;
}
