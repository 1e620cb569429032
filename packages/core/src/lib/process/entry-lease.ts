import type { ChangedRow, FollowReply, FollowRequest } from '../store.js';
import type { OperatorChange, RouteTable } from '../version/route-table.js';
import type { LogFields } from './batch-events.js';
import {
  ENTRY_PREFIX,
  MEMBER_TABLE,
  WORKER_PREFIX,
  decodeEntryRow,
  fleetKeys,
} from './fleet-rows.js';
import type { EntryRow } from './fleet-rows.js';
import { MEMBER_PART } from './part-stores.js';
import type { PartStores } from './part-stores.js';
import { ENTRY_LEASE_MS } from './peer-monitor.js';
import type { PeerMonitor } from './peer-monitor.js';
import type { WriteOutcome } from './store-writer.js';
import { TableFollower } from './table-follower.js';
import type { WorkerFleet } from './worker-fleet.js';

/** Options of {@link EntryLease}. */
export interface EntryLeaseOptions {
  readonly incarnation: string;
  /** Member row of this entry. */
  readonly row: EntryRow;
  readonly stores: PartStores;
  readonly peers: PeerMonitor;
  readonly fleet: WorkerFleet;
  readonly routes: RouteTable;
  /** Table to which operators write. */
  readonly operatorTable: string;
  readonly decodeOperatorRow: (row: ChangedRow) => OperatorChange;
  /** Called when another entry has replaced this incarnation. */
  readonly onFenced: (reason: string) => void;
  /** Called when the process before this one has ended without a planned stop. */
  readonly onPredecessorLost: () => void;
  readonly log: (message: string, fields: LogFields) => void;
}

/**
 * Long-poll timeout of a call for changes of the member table. Each answered
 * call renews the lease, so this is well below {@link ENTRY_LEASE_MS}.
 */
const MEMBER_POLL_TIMEOUT_MS = 400;
/** Long-poll timeout of a call for changes of the operators' table. */
const OPERATOR_POLL_TIMEOUT_MS = 1000;
/**
 * Time that a long poll may take beyond its timeout before the store is in doubt.
 * The lease counts from the sending of the poll before, so at least half a second
 * is left to hear from all peers.
 */
const STORE_REPLY_SLACK_MS = 200;
/** Consecutive failed calls after which the store counts as unavailable. */
const STORE_UNAVAILABLE_FAILURES = 3;
/** Upper bound of a logged age, which is infinite before the first contact. */
const MAX_LOGGED_AGE_MS = 1_000_000_000;

/**
 * Holds the entry lease of an incarnation, which allows it to act on the jobs
 * that it has recorded. The lease is held while the store answers, or while the
 * peers confirm that the store is unavailable. The class also writes the member
 * row of the entry and follows the member table and the operators' table.
 *
 * The lease has no row of its own. A call for changes of the member table that
 * is answered shows that no other entry had fenced this incarnation when the
 * call was sent, and renews the lease for {@link ENTRY_LEASE_MS} from then.
 */
export class EntryLease {
  private readonly _options: EntryLeaseOptions;
  private readonly _members: TableFollower;
  private readonly _operators: TableFollower;
  private _hasLease = false;
  private _isStoreUnavailable = false;
  private _isRegistered = false;
  private _rowVersion = 0;

  /** @param options - Member row, tables, store and callbacks. */
  constructor(options: EntryLeaseOptions) {
    this._options = options;
    this._members = new TableFollower({
      table: MEMBER_TABLE,
      waitMs: MEMBER_POLL_TIMEOUT_MS,
      onChange: (row, now) => {
        this._onMember(row, now);
      },
    });
    this._operators = new TableFollower({
      table: options.operatorTable,
      waitMs: OPERATOR_POLL_TIMEOUT_MS,
      onChange: (row) => {
        this._applyChange(options.decodeOperatorRow(row));
      },
    });
  }

  /** Whether this entry holds its lease, so that it may act on recorded jobs. */
  get isHeld(): boolean {
    return this._hasLease;
  }

  /**
   * Time at which the last answered call for the member table was sent. At this
   * time no other entry had fenced this incarnation.
   */
  get confirmedAtMs(): number {
    return this._members.confirmedAtMs;
  }

  /** Version up to which the operators' table has been read. */
  get operatorVersion(): number {
    return this._operators.version;
  }

  /**
   * @param now - Current time in milliseconds.
   * @returns Time since the operators' table was read, in milliseconds; absent
   *   before the first read.
   */
  operatorAgeMs(now: number): number | undefined {
    return this._operators.isLoaded
      ? now - this._operators.confirmedAtMs
      : undefined;
  }

  /** Whether several calls to the store in a row have failed. */
  get isStoreUnavailable(): boolean {
    return this._isStoreUnavailable;
  }

  /**
   * @returns Whether the store has answered a call that was sent within the last
   *   {@link ENTRY_LEASE_MS}.
   */
  hasStoreContact(now: number): boolean {
    return now - this._members.confirmedAtMs <= ENTRY_LEASE_MS;
  }

  /**
   * @returns Whether the store has failed to answer the last call or takes longer
   *   than usual, so that the peers may soon have to confirm an outage.
   */
  isStoreInDoubt(now: number): boolean {
    return this._members.isOverdue(STORE_REPLY_SLACK_MS, now);
  }

  /** Writes the member row of this entry. */
  register(): void {
    const { incarnation, row, stores } = this._options;
    const key = fleetKeys.entry(incarnation);
    stores.writer(MEMBER_PART).submit({
      conditions: [{ key, version: 0 }],
      writes: [{ key, value: JSON.stringify(row) }],
      readBackKey: key,
      onDone: (outcome) => {
        if (outcome.kind === 'committed') {
          this._isRegistered = true;
          this._rowVersion = outcome.version;
        }
      },
    });
  }

  /**
   * Marks the member row as left, so that other entries take over at once.
   *
   * @param onDone - Called with the outcome of the write. A write without an
   *   answer may have none for as long as the store is silent.
   * @param now - Current time in milliseconds.
   * @returns Whether the write was begun: not if the row is not known to exist.
   */
  leave(
    onDone: (outcome: WriteOutcome, now: number) => void,
    now: number,
  ): boolean {
    if (!this._isRegistered) {
      return false;
    }
    const { incarnation, stores } = this._options;
    const key = fleetKeys.entry(incarnation);
    const row: EntryRow = { ...this._options.row, hasLeft: true };
    stores.writer(MEMBER_PART).submit({
      conditions: [{ key, version: this._rowVersion }],
      writes: [{ key, value: JSON.stringify(row) }],
      readBackKey: key,
      abandonAtMs: now + ENTRY_LEASE_MS,
      onDone,
    });
    return true;
  }

  /** Invalidates all confirmations after a pause of unknown length. */
  invalidate(): void {
    this._members.invalidate();
  }

  /**
   * Returns the calls to send to the store, at most one per table at a time.
   *
   * @param now - Current time in milliseconds.
   * @returns Calls that are due.
   */
  next(now: number): FollowRequest[] {
    return [this._members, this._operators].flatMap(
      (follower) => follower.next(now) ?? [],
    );
  }

  /**
   * Processes the reply to a call from {@link next}.
   *
   * @param table - Table that the call follows.
   * @param reply - Reply or failure of the call.
   * @param now - Current time in milliseconds.
   */
  onReply(table: string, reply: FollowReply, now: number): void {
    const isMembers = table === MEMBER_TABLE;
    (isMembers ? this._members : this._operators).onReply(reply, now);
  }

  private _applyChange(change: OperatorChange): void {
    const { routes, log } = this._options;
    if (change.kind === 'other') {
      const { key, detail } = change;
      log('operator row ignored', { key, detail });
      return;
    }
    if (routes.apply(change)) {
      log('configuration in force', {
        version: routes.version ?? 0,
        dataCentresOut: routes.dataCentresOutOfService.join(','),
      });
    }
  }

  /**
   * Updates and logs the states of the entry lease and of the store.
   *
   * @param now - Current time in milliseconds.
   */
  update(now: number): void {
    const { peers, log } = this._options;
    const hasLease =
      this._isRegistered &&
      (this.hasStoreContact(now) ||
        (this._members.isLoaded && peers.confirmsStoreOutage(now)));
    if (hasLease !== this._hasLease) {
      this._hasLease = hasLease;
      const ageMs = Math.round(now - this._members.confirmedAtMs);
      log(hasLease ? 'tenure gained' : 'tenure lost', {
        storeAgeMs: Math.min(MAX_LOGGED_AGE_MS, ageMs),
      });
    }
    const { failures } = this._members;
    const isUnavailable = failures >= STORE_UNAVAILABLE_FAILURES;
    if (isUnavailable !== this._isStoreUnavailable) {
      this._isStoreUnavailable = isUnavailable;
      log(isUnavailable ? 'store lost' : 'store regained', { failures });
    }
  }

  private _onMember(row: ChangedRow, now: number): void {
    if (row.key.startsWith(ENTRY_PREFIX)) {
      this._onEntry(row.key.slice(ENTRY_PREFIX.length), row, now);
    } else if (row.key.startsWith(WORKER_PREFIX)) {
      const name = row.key.slice(WORKER_PREFIX.length);
      this._options.fleet.onRow(name, row.value, row.version, now);
    }
  }

  private _onEntry(incarnation: string, row: ChangedRow, now: number): void {
    const { peers, onFenced, onPredecessorLost } = this._options;
    const data = row.value === null ? undefined : decodeEntryRow(row.value);
    if (incarnation === this._options.incarnation) {
      // A later row without a mark was created by an earlier attempt, after a
      // successor had deleted the row.
      const isCreatedAgain =
        row.version > this._rowVersion && data?.hasLeft !== true;
      const isReplaced =
        row.value === null || data?.fencedBy !== undefined || isCreatedAgain;
      if (isReplaced && this._isRegistered) {
        onFenced(`fenced by ${data?.fencedBy ?? 'a successor'}`);
      }
      return;
    }
    if (!data) {
      peers.delete(incarnation);
      return;
    }
    const peer = peers.set(incarnation, data, row.version, now);
    // A VM runs one process per role, so a peer with the name of this entry is
    // an earlier incarnation whose process has ended.
    if (data.name === this._options.row.name) {
      peer.goneSinceMs ??= now;
      if (data.hasLeft !== true) {
        onPredecessorLost();
      }
    }
  }
}
