import type { BatchContent, BatchProgress } from '../request/batch-job.js';
import { BatchState } from '../request/batch-job.js';
import {
  ProgressDetail,
  packContent,
  packProgress,
  unpackContent,
  unpackProgress,
} from './packed-rows.js';
import type { PackedContent, PackedProgress } from './packed-rows.js';
import { valueBytes } from './store-limits.js';
import type { WorkerHeartbeat } from './worker-events.js';

/**
 * Number of parts (partitions) of the store to which jobs are assigned by a hash
 * of their ids. It must be the same in all processes.
 */
export const JOB_PARTS = 4;

/** Number of characters at the end of a job id that determine its part. */
const HASH_LENGTH = 4;
const HEX_RADIX = 16;

/**
 * @param id - Id of a job: hexadecimal digits.
 * @returns Number of the part that holds its rows.
 */
export const partOf = (id: string): number => {
  const hash = Number.parseInt(id.slice(-HASH_LENGTH), HEX_RADIX);
  return Number.isNaN(hash) ? 0 : hash % JOB_PARTS;
};

/** @returns Name of a part of the store. */
export const partName = (part: number): string => `p${String(part)}`;

/** Keys of the store's rows. The first segment of a key is the table. */
export const fleetKeys = {
  /** Row of an open or ended job. */
  job: (id: string): string => `job/${id}`,
  /** Progress of an open job. */
  progress: (id: string): string => `progress/${id}`,
  /** Index entry of an open job by its owner; the row has an empty value. */
  open: (owner: string, id: string): string => `open/${owner}/${id}`,
  openPrefix: (owner: string): string => `open/${owner}/`,
  /**
   * Exists in each part while the incarnation may write there: its writes are
   * conditional on this row.
   */
  owner: (incarnation: string): string => `owner/${incarnation}`,
  entry: (incarnation: string): string => `member/entry/${incarnation}`,
  worker: (name: string): string => `member/worker/${name}`,
} as const;

/** Table of the entries and workers of the system. */
export const MEMBER_TABLE = 'member';
/** Prefixes of keys in {@link MEMBER_TABLE}, after the name of the table. */
export const ENTRY_PREFIX = 'entry/';
export const WORKER_PREFIX = 'worker/';

/** Row of an open job. */
export interface OpenJobRow {
  readonly kind: 'open';
  /** Incarnation of the entry that runs the job. */
  readonly owner: string;
  readonly epoch: number;
  readonly content: BatchContent;
}

/** Row of a job that has ended. */
export interface EndedJobRow {
  readonly kind: 'ended';
  readonly state: BatchState;
}

/**
 * Row of a job that was cancelled before it was recorded. It makes an insert fail
 * that the store has yet to perform, or that an entry still repeats.
 */
export interface WithdrawnJobRow {
  readonly kind: 'withdrawn';
  /** Incarnation of the entry that has written the row. */
  readonly by: string;
}

/** Row of a job. */
export type JobRow = OpenJobRow | EndedJobRow | WithdrawnJobRow;

/** Member row of an entry. */
export interface EntryRow {
  readonly name: string;
  readonly address: string;
  readonly dataCentre: string;
  /** Incarnation that has fenced this one to take over its jobs. */
  readonly fencedBy?: string;
  /** Whether the entry has stopped as planned and left its open jobs. */
  readonly hasLeft?: boolean;
}

/** Member row of a worker driver process. */
export interface WorkerRow {
  readonly address: string;
  /**
   * Incarnation of the process. When it changes, entries reconnect without a
   * backoff.
   */
  readonly incarnation?: string;
  readonly dataCentre: string;
  /** Heartbeat of the worker when its state last changed. */
  readonly worker?: WorkerHeartbeat;
}

/** Stored form of an {@link OpenJobRow} that would exceed the limit as it is. */
interface PackedJobRow extends Omit<OpenJobRow, 'kind' | 'content'> {
  readonly kind: 'open-packed';
  readonly content: PackedContent;
}

/**
 * Serializes the row of an open job. A row over the limit is packed, which makes
 * it several times smaller; other rows keep the form that earlier versions read.
 *
 * @param row - The row.
 * @param limitBytes - Limit on the value of a row, in bytes.
 * @returns The value; it may exceed the limit.
 */
export const encodeJobRow = (row: OpenJobRow, limitBytes: number): string => {
  const value = JSON.stringify(row);
  if (valueBytes(value) <= limitBytes) {
    return value;
  }
  const packed: PackedJobRow = {
    ...row,
    kind: 'open-packed',
    content: packContent(row.content),
  };
  return JSON.stringify(packed);
};

/** @returns The row of a job, or `undefined` when it is malformed. */
export const decodeJobRow = (value: string): JobRow | undefined => {
  const data = parseObject(value);
  if (data?.kind === 'open-packed') {
    const row = data as unknown as PackedJobRow;
    return { ...row, kind: 'open', content: unpackContent(row.content) };
  }
  return data?.kind === 'open' ||
    data?.kind === 'ended' ||
    data?.kind === 'withdrawn'
    ? (data as unknown as JobRow)
    : undefined;
};

/** @returns The row of an entry, or `undefined` when it is malformed. */
export const decodeEntryRow = (value: string): EntryRow | undefined => {
  const data = parseObject(value);
  return typeof data?.address === 'string' && typeof data.name === 'string'
    ? (data as unknown as EntryRow)
    : undefined;
};

/** @returns The row of a worker, or `undefined` when it is malformed. */
export const decodeWorkerRow = (value: string): WorkerRow | undefined => {
  const data = parseObject(value);
  return typeof data?.address === 'string'
    ? (data as unknown as WorkerRow)
    : undefined;
};

/** @returns A progress row, or `undefined` when it is malformed. */
export const decodeProgress = (value: string): BatchProgress | undefined => {
  const data = parseObject(value);
  if (typeof data?.done === 'string') {
    return unpackProgress(data as unknown as PackedProgress);
  }
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

/**
 * Serializes the progress of a job. A value over the limit is packed, and then
 * loses details of the tasks that are not done: first their crashes, then the
 * numbers of their failed runs.
 *
 * @param progress - The progress.
 * @param limitBytes - Limit on the value of a row, in bytes.
 * @returns The value; it may exceed the limit for a job of more tasks than are
 *   accepted.
 */
export const encodeProgress = (
  progress: BatchProgress,
  limitBytes: number,
): string => {
  let value = JSON.stringify(progress);
  for (const detail of PROGRESS_DETAILS) {
    if (valueBytes(value) <= limitBytes) {
      return value;
    }
    value = JSON.stringify(packProgress(progress, detail));
  }
  return value;
};

/** Details of a packed progress, in the order in which they are tried. */
const PROGRESS_DETAILS = [
  ProgressDetail.Full,
  ProgressDetail.Runs,
  ProgressDetail.Counts,
];
