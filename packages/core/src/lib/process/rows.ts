import type { RunnerRef } from '../connection/runner-peer.js';
import type { JobSpec } from '../request/job-spec.js';
import type { Outcome } from '../request/outcome.js';

/** Stored row of a job: its claim and, once it is final, its outcome. */
export interface JobRow {
  /** Unique to the write, so that a read-back shows if it took effect. */
  readonly nonce: string;
  /** Entry incarnation that owns the job. */
  readonly owner: string;
  /** Address of the owner. */
  readonly address: string;
  /** Increases with each change of the owner. */
  readonly epoch: number;
  readonly digest: string;
  readonly desk: string;
  readonly taskCount: number;
  /** The submission, while the job is open, if it fits into the row. */
  readonly spec?: JobSpec;
  /** Key of the object with a submission that is too large for the row. */
  readonly specKey?: string;
  /** The outcome, once the job is final, if it fits into the row. */
  readonly outcome?: Outcome;
  /** Key of the object with an outcome that is too large for the row. */
  readonly outcomeKey?: string;
}

/** Epoch of a job until it is first adopted; each adoption increments it. */
export const FIRST_EPOCH = 1;

/** Stored row that announces an entry and whose updates renew its lease. */
export interface MemberRow {
  readonly nonce: string;
  readonly id: string;
  readonly incarnation: string;
  readonly address: string;
  readonly dataCentre: string;
  /** Increases with each lease renewal. */
  readonly beat: number;
  /** Every runner that may hold tasks of jobs that this entry owns. */
  readonly runners: readonly RunnerRef[];
  /** Whether the entry is stopping and hands over its jobs. */
  readonly leaving?: boolean;
  /** The entry incarnation that replaced this one. */
  readonly fencedBy?: string;
}

/** Stored row that names the last accepted ticket. */
export interface HeadRow {
  readonly number: number;
}

/** Stored row whose existence allows an entry incarnation to own jobs. */
export interface OwnerRow {
  readonly nonce: string;
}

/**
 * @param row - The row of a job.
 * @returns Whether the row records the outcome of the job.
 */
export const isFinalRow = (row: JobRow): boolean =>
  row.outcome !== undefined || row.outcomeKey !== undefined;
