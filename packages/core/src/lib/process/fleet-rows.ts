import type { BatchContent, BatchProgress } from '../request/batch-job.js';
import { BatchState } from '../request/batch-job.js';
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

/** @returns The row of a job, or `undefined` when it is malformed. */
export const decodeJobRow = (
  value: string,
): OpenJobRow | EndedJobRow | undefined => {
  const data = parseObject(value);
  return data?.kind === 'open' || data?.kind === 'ended'
    ? (data as unknown as OpenJobRow | EndedJobRow)
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

/** @returns Serialized value of a progress row. */
export const encodeProgress = (progress: BatchProgress): string =>
  JSON.stringify(progress);
