import type { FollowReply } from '../store.js';

/** State of a data centre in one version of the operators' table. */
export interface DataCentreRead {
  /** Version of the table; increases with each change. */
  readonly version: number;
  readonly isOutOfService: boolean;
}

/**
 * @param reply - Reply to a read of the operators' table.
 * @param key - Key of the row that exists while the data centre is out of service.
 * @returns The state; `undefined` if the read has failed.
 */
export const toDataCentreRead = (
  reply: FollowReply,
  key: string,
): DataCentreRead | undefined =>
  reply.kind === 'table'
    ? {
        version: reply.version,
        isOutOfService: reply.rows.some((row) => row.key === key),
      }
    : undefined;

/** What an order of an entry says about the data centre. */
export interface DataCentreNews extends DataCentreRead {
  /**
   * Time since the entry has read this version, in milliseconds; absent if it has
   * not read the table.
   */
  readonly ageMs: number | undefined;
}

/**
 * Age of the newest version from which the driver reads the table itself. Entries
 * in touch with the store confirm theirs each second.
 */
const STALE_AFTER_MS = 2500;
/**
 * Interval between two reads. With the timeout of a read it is below the time in
 * which an evacuation has to be in force, 5 s; it also bounds the share of all
 * drivers in the store's rate while no entry reaches the store.
 */
const READ_INTERVAL_MS = 3200;
/** Delay after the first failed read; it doubles with each further one. */
const FIRST_RETRY_MS = 500;
const MAX_RETRY_MS = 8000;

/**
 * Keeps whether the data centre of a worker is out of service. A driver learns it
 * from the orders of entries, which say how old their knowledge is. If no entry
 * that is linked with it has reached the store for some time, it reads the table
 * itself, because such an entry goes on placing runs.
 */
export class DataCentreState {
  private _version = 0;
  private _isOutOfService = false;
  /** Time at which an entry or this process has read the table last. */
  private _readAtMs: number | undefined;
  private _isSettled = false;
  /** Time at which the pending read was begun. */
  private _readBeganAtMs: number | undefined;
  private _nextReadAtMs = Number.NEGATIVE_INFINITY;
  private _failures = 0;

  get isOutOfService(): boolean {
    return this._isOutOfService;
  }

  /** Version of the operators' table from which the state is known. */
  get version(): number {
    return this._version;
  }

  /**
   * Whether the state has been known recently, or can't be read: runs go on while
   * the store is unavailable.
   */
  get isSettled(): boolean {
    return this._isSettled;
  }

  /**
   * @param now - Current time in milliseconds.
   * @returns Age of the newest version in milliseconds; absent before the first.
   */
  ageMs(now: number): number | undefined {
    return this._readAtMs === undefined ? undefined : now - this._readAtMs;
  }

  /**
   * @param news - What an order says.
   * @param now - Current time in milliseconds.
   * @returns Whether the data centre was put out of service or back.
   */
  onOrder({ ageMs, ...read }: DataCentreNews, now: number): boolean {
    if (ageMs === undefined) {
      return false;
    }
    this._noteRead(now - ageMs);
    this._isSettled ||= ageMs <= STALE_AFTER_MS;
    return this._apply(read);
  }

  /**
   * @param now - Current time in milliseconds.
   * @returns Whether the table is to be read now; it is then being read.
   */
  beginRead(now: number): boolean {
    const ageMs = this.ageMs(now);
    const isStale = ageMs === undefined || ageMs > STALE_AFTER_MS;
    const isPending = this._readBeganAtMs !== undefined;
    if (!isStale || isPending || now < this._nextReadAtMs) {
      return false;
    }
    this._readBeganAtMs = now;
    return true;
  }

  /**
   * @param read - The state that was read; absent if the read has failed.
   * @param now - Current time in milliseconds.
   * @returns Whether the data centre was put out of service or back.
   */
  onRead(read: DataCentreRead | undefined, now: number): boolean {
    const beganAtMs = this._readBeganAtMs ?? now;
    this._readBeganAtMs = undefined;
    this._isSettled = true;
    if (!read) {
      const retryMs = FIRST_RETRY_MS * 2 ** this._failures;
      this._failures += 1;
      this._nextReadAtMs = now + Math.min(MAX_RETRY_MS, retryMs);
      return false;
    }
    this._failures = 0;
    this._nextReadAtMs = now + READ_INTERVAL_MS;
    this._noteRead(beganAtMs);
    return this._apply(read);
  }

  private _noteRead(atMs: number): void {
    this._readAtMs = Math.max(this._readAtMs ?? atMs, atMs);
  }

  private _apply({ version, isOutOfService }: DataCentreRead): boolean {
    if (version <= this._version) {
      return false;
    }
    this._version = version;
    const isChanged = isOutOfService !== this._isOutOfService;
    this._isOutOfService = isOutOfService;
    return isChanged;
  }
}
