import type { BatchContent, BatchProgress } from '../request/batch-job.js';
import { BatchState } from '../request/batch-job.js';
import type { WorkerHeartbeat } from './worker-events.js';

/** Parts that jobs are spread over; the same in all processes. */
export const JOB_PARTS = 4;

/** Characters at the end of a job id that choose its part. */
const HASH_DIGITS = 4;
const HEX = 16;

/**
 * @param id - Id of a job: hexadecimal digits.
 * @returns Number of the part that holds its rows.
 */
export const partOf = (id: string): number => {
  const hash = Number.parseInt(id.slice(-HASH_DIGITS), HEX);
  return Number.isNaN(hash) ? 0 : hash % JOB_PARTS;
};

/** @returns Name of a part in the store. */
export const partName = (part: number): string => `p${String(part)}`;

/** Keys of the rows; the first segment is the table. */
export const fleetKeys = {
  job: (id: string): string => `job/${id}`,
  progress: (id: string): string => `progress/${id}`,
  open: (owner: string, id: string): string => `open/${owner}/${id}`,
  openPrefix: (owner: string): string => `open/${owner}/`,
  owner: (incarnation: string): string => `owner/${incarnation}`,
  entry: (incarnation: string): string => `member/entry/${incarnation}`,
  worker: (name: string): string => `member/worker/${name}`,
} as const;

/** Table of the processes of the system. */
export const MEMBER_TABLE = 'member';
/** Prefixes of keys in {@link MEMBER_TABLE}. */
export const ENTRY_PREFIX = 'entry/';
export const WORKER_PREFIX = 'worker/';

/** Row of an open job. */
export interface OpenJobRow {
  readonly kind: 'open';
  /** Incarnation of the entry that runs it. */
  readonly owner: string;
  readonly epoch: number;
  readonly content: BatchContent;
}

/** Row of a job that has ended. */
export interface EndedJobRow {
  readonly kind: 'ended';
  readonly state: BatchState;
}

/** Row of an entry. */
export interface EntryRow {
  readonly name: string;
  readonly address: string;
  readonly dataCentre: string;
  /** Incarnation that has fenced it off. */
  readonly fencedBy?: string;
  /** It has stopped as planned and left its jobs to the others. */
  readonly hasLeft?: boolean;
}

/** Row of a process beside a worker. */
export interface WorkerRow {
  readonly address: string;
  /** Changes with each process, so that entries connect to it at once. */
  readonly incarnation?: string;
  readonly dataCentre: string;
  /** What the worker said of itself when its state last changed. */
  readonly worker?: WorkerHeartbeat;
}

/** @returns The row of a job, or `undefined` when it isn't readable. */
export const decodeJobRow = (
  value: string,
): OpenJobRow | EndedJobRow | undefined => {
  const data = parseObject(value);
  return data?.kind === 'open' || data?.kind === 'ended'
    ? (data as unknown as OpenJobRow | EndedJobRow)
    : undefined;
};

/** @returns The row of an entry, or `undefined` when it isn't readable. */
export const decodeEntryRow = (value: string): EntryRow | undefined => {
  const data = parseObject(value);
  return typeof data?.address === 'string' && typeof data.name === 'string'
    ? (data as unknown as EntryRow)
    : undefined;
};

/** @returns The row of a worker, or `undefined` when it isn't readable. */
export const decodeWorkerRow = (value: string): WorkerRow | undefined => {
  const data = parseObject(value);
  return typeof data?.address === 'string'
    ? (data as unknown as WorkerRow)
    : undefined;
};

/** @returns A progress row, or `undefined` when it isn't readable. */
export const decodeProgress = (value: string): BatchProgress | undefined => {
  const data = parseObject(value);
  return Array.isArray(data?.done) && typeof data.failures === 'object'
    ? (data as unknown as BatchProgress)
    : undefined;
};

const parseObject = (value: string): Record<string, unknown> | undefined => {
  try {
    const data: unknown = JSON.parse(value);
    return typeof data === 'object' && data !== null
      ? (data as Record<string, unknown>)
      : undefined;
  } catch {
    return undefined;
  }
};

/** @returns Text of a progress row. */
export const encodeProgress = (progress: BatchProgress): string =>
  JSON.stringify(progress);
