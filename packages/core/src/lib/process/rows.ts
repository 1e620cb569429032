import type { RunnerRef } from '../connection/runner-peer.js';
import type { JobSpec } from '../request/job-spec.js';
import type { Outcome } from '../request/outcome.js';

/** The row of a job: its claim, and later its one outcome. */
export interface JobRow {
  /** Unique to the write, so that a lost answer can be resolved. */
  readonly nonce: string;
  /** Entry incarnation that answers for the job. */
  readonly owner: string;
  /** Address of the owner. */
  readonly address: string;
  /** Rises with each change of the owner. */
  readonly epoch: number;
  readonly digest: string;
  readonly desk: string;
  readonly taskCount: number;
  /** The submission, while the job is open and it fits into the row. */
  readonly spec?: JobSpec;
  /** Object with the submission, where it is too large for the row. */
  readonly specKey?: string;
  /** The outcome, once the job is final, where it fits into the row. */
  readonly outcome?: Outcome;
  /** Object with the outcome, where it is too large for the row. */
  readonly outcomeKey?: string;
}

/** The row by which an entry is known and keeps its lease. */
export interface MemberRow {
  readonly nonce: string;
  readonly id: string;
  readonly incarnation: string;
  readonly address: string;
  readonly dataCentre: string;
  /** Rises with each renewal. */
  readonly beat: number;
  /** Every runner that may hold tasks of jobs that this entry owns. */
  readonly runners: readonly RunnerRef[];
  /** The entry stops and hands its jobs over. */
  readonly leaving?: boolean;
  /** The entry incarnation that replaced this one. */
  readonly fencedBy?: string;
}

/** The row that names the last accepted ticket. */
export interface HeadRow {
  readonly number: number;
}

/** The row whose presence allows an incarnation to own jobs. */
export interface OwnerRow {
  readonly nonce: string;
}

/**
 * @param row - The row of a job.
 * @returns Whether the job has its outcome.
 */
export const isFinal = (row: JobRow): boolean =>
  row.outcome !== undefined || row.outcomeKey !== undefined;
