import type { BatchJob, BatchState } from '../request/batch-job.js';
import type { RecordedJob } from './job-recorder.js';

/** An end that is acknowledged once its job's row covers it. */
export interface OwedRecord {
  readonly worker: string;
  readonly life: string;
  readonly number: number;
  readonly task: string;
  readonly run: number;
  /** Another run of the task has begun after this one. */
  superseded: boolean;
  /** Whether this entry has sent the run. */
  readonly isOwnRun: boolean;
}

/** A job that this entry runs. */
export interface OwnJob extends RecordedJob {
  readonly job: BatchJob;
  owed: OwedRecord[];
  owedSinceMs: number;
  isSaving: boolean;
  isFinishing: boolean;
  /** Callers that wait for the final row. */
  cancelReplies: number[];
  /** Callers that wait for the end of a job that is not recorded. */
  endReplies: number[];
  /** When the callers of a volatile job stop waiting. */
  readonly deadlineMs: number;
  /** Incarnation whose runs of this job are not all known yet. */
  heirOf: string | undefined;
}

/** A job that has ended, as long as its state is known. */
export interface EndedJob {
  readonly state: BatchState;
  readonly version: number;
  readonly endedAtMs: number;
}
