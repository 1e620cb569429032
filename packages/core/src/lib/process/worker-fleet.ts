import type { BatchTask } from '../request/batch-job.js';
import type { BatchAction, LogFields } from './batch-events.js';
import { decodeWorkerRow } from './fleet-rows.js';
import type { UnacknowledgedEnd } from './owned-job.js';
import type { RunLimits } from './run-limits.js';
import { WorkerSubset } from './worker-subset.js';
import type { FleetEntry, Shortage } from './worker-subset.js';
import { WorkerView } from './worker-view.js';

/** Options of {@link WorkerFleet}. */
export interface WorkerFleetOptions {
  /** Name and incarnation of the entry. */
  readonly name: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  /** Time limits of runs. */
  readonly limits?: RunLimits | undefined;
  readonly emit: (action: BatchAction) => void;
}

/** Values that all orders of a flush carry. */
export interface CommonOrder {
  /**
   * Time from which the orders extend the time until which runs may continue;
   * absent if they don't.
   */
  readonly grantsFromMs: number | undefined;
  /** Version of the operators' table. */
  readonly operatorVersion: number;
  /** Age of that version in milliseconds; absent before the first read. */
  readonly operatorAgeMs: number | undefined;
  /** Whether that table has a data centre out of service. */
  readonly isOutOfService: (dataCentre: string) => boolean;
}

/** Interval between orders to a worker that has runs of this entry. */
const ORDER_INTERVAL_MS = 250;
/**
 * Interval between orders to a worker that has none. A worker is usable while its
 * last report is at most 700 ms old. The order is sent at the next tick, up to
 * 100 ms later when idle, which leaves 100 ms for the order and its report.
 */
const IDLE_ORDER_INTERVAL_MS = 500;
/** Initial backoff before a link to a worker is opened again. */
const REOPEN_BACKOFF_MS = 100;
/** Maximum backoff; the backoff doubles with each link that fails. */
const MAX_REOPEN_BACKOFF_MS = 1000;
/**
 * How long acknowledgements are remembered: a worker lists an end again for
 * some polls, and so does the next worker driver process on its VM.
 */
const ACKNOWLEDGEMENT_RETENTION_MS = 10_000;
/** Longest time for which the choice of links is kept. */
const CHOICE_INTERVAL_MS = 200;
/**
 * How long a link that is no longer needed stays open after its last run, or
 * after the row of its worker has disappeared, which is restored within 2 s if the
 * worker is still there.
 */
const IDLE_LINK_TIMEOUT_MS = 2000;

/**
 * The workers as one entry sees them, and its links to them: opens, replaces
 * and closes links, gathers orders and acknowledgements per worker, and sends
 * them at regular intervals.
 */
export class WorkerFleet {
  private readonly _options: WorkerFleetOptions;
  private readonly _views = new Map<string, WorkerView>();
  private readonly _links = new Map<number, WorkerView>();
  /**
   * Worker of each address that is linked. A VM that is lost leaves its row, and
   * another VM may get its address; a worker driver serves one link of an entry.
   */
  private readonly _byAddress = new Map<string, WorkerView>();
  /** Values of the two maps; unset when they have to be listed again. */
  private _viewList: readonly WorkerView[] | undefined;
  private _linkedList: readonly WorkerView[] | undefined;
  /** Workers whose order is to be sent at the next flush. */
  private readonly _dirty = new Set<WorkerView>();
  /** Time at which the next periodic order is due, at the earliest. */
  private _nextOrderAtMs = 0;
  /** Time at which links may have to be opened or closed, at the earliest. */
  private _nextLinkUpdateAtMs = 0;
  private _areAllNeeded = false;
  private readonly _subset: WorkerSubset;
  /** Recent acknowledgements, which may not have reached their workers. */
  private readonly _acknowledged = new Map<
    string,
    { readonly superseded: boolean; readonly atMs: number }
  >();
  /** All workers, preferred ones first; unset when it has to be recomputed. */
  private _preferenceOrder: readonly WorkerView[] | undefined;
  /** The other entries at the last update of the preferences, and their names. */
  private _others: readonly FleetEntry[] = [];
  private _entryNames = '';
  /** Names of the workers to keep links to, and what they were chosen from. */
  private _choice: {
    readonly ordered: readonly WorkerView[];
    readonly growth: number;
    readonly atMs: number;
    readonly chosen: ReadonlySet<string>;
  } = { ordered: [], growth: 1, atMs: -Infinity, chosen: new Set() };
  private _nextLinkId = 1;
  private _linkLostAtMs = Number.NEGATIVE_INFINITY;

  /** @param options - Names of the entry and receiver of actions. */
  constructor(options: WorkerFleetOptions) {
    this._options = options;
    const { name, dataCentre } = options;
    this._subset = new WorkerSubset({ entry: name, dataCentre });
  }

  /** Every worker that has a row. */
  get views(): readonly WorkerView[] {
    this._viewList ??= [...this._views.values()];
    return this._viewList;
  }

  /** The workers that have an open link. */
  get linked(): readonly WorkerView[] {
    this._linkedList ??= [...this._links.values()];
    return this._linkedList;
  }

  /** Time at which the last established link to a worker was lost. */
  get linkLostAtMs(): number {
    return this._linkLostAtMs;
  }

  /** @returns The worker on a VM. */
  get(name: string): WorkerView | undefined {
    return this._views.get(name);
  }

  /** @returns The worker at the end of an open link. */
  byLinkId(linkId: number): WorkerView | undefined {
    return this._links.get(linkId);
  }

  /**
   * @param name - Name of a VM.
   * @param value - Its row; `null` when it has been deleted.
   * @param version - Version of the store that wrote the row.
   * @param now - Current time in milliseconds.
   */
  onRow(
    name: string,
    value: string | null,
    version: number,
    now: number,
  ): void {
    const row = value === null ? undefined : decodeWorkerRow(value);
    const view = this._views.get(name);
    this._preferenceOrder = undefined;
    this._nextLinkUpdateAtMs = 0;
    if (!row) {
      if (view) {
        this._onRowRemoved(view, now);
      }
      return;
    }
    if (!view) {
      const onOrderDue = (due: WorkerView): void => {
        this._dirty.add(due);
      };
      const added = new WorkerView(name, row, this._options.limits, onOrderDue);
      this._views.set(name, added);
      this._viewList = undefined;
      this._takeAddress(added, version);
      return;
    }
    if (view.row.incarnation !== row.incarnation) {
      view.reopenAtMs = 0;
    }
    const { address } = view.row;
    view.row = row;
    view.removedAtMs = undefined;
    if (address !== row.address) {
      this._leaveAddress(view, address);
    }
    this._takeAddress(view, version);
  }

  private _onRowRemoved(view: WorkerView, now: number): void {
    if (!view.isRemoved) {
      this._log('row of worker removed', {
        worker: view.name,
        isLinked: view.linkId !== undefined,
        runs: view.placed.size,
      });
    }
    view.removedAtMs ??= now;
    view.rowVersion = 0;
    // A process that still serves the worker writes its row again when it learns
    // that the row is absent.
    view.isDirty = true;
    this._leaveAddress(view, view.row.address);
    this._deleteIfUnused(view);
  }

  /**
   * Opens missing links, replaces links to unresponsive workers and closes
   * links that are not needed. All workers are examined only when a link may
   * have to be opened or closed, at other times only the linked ones.
   *
   * @param linkNeeds - State that decides which links are needed.
   * @param linkNeeds.fenced - Fenced incarnations that the first order on a new
   *   link lists.
   * @param linkNeeds.all - Whether links to all workers are needed.
   * @param linkNeeds.shortage - Why jobs are waiting.
   * @param linkNeeds.others - The other entries that share the fleet.
   * @param now - Current time in milliseconds.
   */
  updateLinks(
    linkNeeds: {
      readonly fenced: readonly string[];
      readonly all: boolean;
      readonly shortage: Shortage;
      readonly others: readonly FleetEntry[];
    },
    now: number,
  ): void {
    this._subset.adjustTo(linkNeeds.shortage, now);
    for (const [key, { atMs }] of this._acknowledged) {
      if (now - atMs < ACKNOWLEDGEMENT_RETENTION_MS) {
        break;
      }
      this._acknowledged.delete(key);
    }
    for (const view of this.linked) {
      this._replaceUnresponsiveLink(view, now);
      this._closeSupersededLink(view, now);
    }
    const { others, all } = linkNeeds;
    const ordered = this._orderByPreference(others, now);
    const { chosen, isNew } = this._chooseLinks(
      ordered,
      others.length + 1,
      now,
    );
    const isUnchanged = !isNew && all === this._areAllNeeded;
    if (isUnchanged && now < this._nextLinkUpdateAtMs) {
      return;
    }
    this._areAllNeeded = all;
    this._nextLinkUpdateAtMs = Number.POSITIVE_INFINITY;
    for (const view of ordered) {
      const isChosen = view.isPreferred || chosen.has(view.name);
      const isNeeded = !view.isRemoved && (all || isChosen);
      if (view.placed.size > 0) {
        view.lastBusyAtMs = now;
      }
      if (view.linkId !== undefined) {
        if (!isNeeded) {
          this._closeIfIdle(view, view.linkId, now);
        }
      } else if (isNeeded && now >= view.reopenAtMs) {
        this._open(view, linkNeeds.fenced, now);
      } else if (isNeeded) {
        this._nextLinkUpdateAtMs = Math.min(
          this._nextLinkUpdateAtMs,
          view.reopenAtMs,
        );
      }
    }
  }

  /**
   * @param linkId - A link that has been closed.
   * @param detail - Reason.
   * @param now - Current time in milliseconds.
   */
  onLinkClosed(linkId: number, detail: string, now: number): void {
    const view = this._links.get(linkId);
    if (view?.hasSnapshot === true) {
      this._linkLostAtMs = now;
    } else if (view) {
      view.failedLinks += 1;
    }
    if (view && view.failedLinks <= 1) {
      this._log('link to worker lost', { worker: view.name, detail });
    }
    this._close(linkId, now);
  }

  /**
   * Closes a link at whose end another worker has answered. It is opened again
   * only while no other row has its address.
   *
   * @param linkId - An open link.
   * @param name - Name of the VM that has answered.
   * @param now - Current time in milliseconds.
   */
  onOtherWorker(linkId: number, name: string, now: number): void {
    const view = this._links.get(linkId);
    if (!view) {
      return;
    }
    view.failedLinks += 1;
    if (view.failedLinks <= 1) {
      this._log('another worker at the address', {
        worker: view.name,
        address: view.linkAddress,
        other: name,
      });
    }
    const other = this._views.get(name);
    if (other && !other.isRemoved && other.row.address === view.linkAddress) {
      this._byAddress.set(other.row.address, other);
      this._preferenceOrder = undefined;
    }
    this._options.emit({ kind: 'close-link', linkId, isReset: true });
    this._close(linkId, now);
  }

  /**
   * @param view - A worker whose link has delivered a snapshot.
   * @param now - Current time in milliseconds.
   */
  onSnapshot(view: WorkerView, now: number): void {
    view.hasSnapshot = true;
    // Only orders after the snapshot extend the time of runs.
    view.isDirty ||= view.placed.size > 0;
    if (view.failedLinks > 0) {
      this._log('link to worker regained', {
        worker: view.name,
        failedLinks: view.failedLinks,
        afterMs: Math.round(now - view.lastReportAtMs),
      });
      view.failedLinks = 0;
    }
  }

  /**
   * Requests the stop of a run with the next order.
   *
   * @param view - The worker.
   * @param task - Name of the task.
   * @param run - Number of the run.
   * @param owner - Incarnation of the entry whose run is meant, if another one.
   */
  stop(view: WorkerView, task: string, run: number, owner?: string): void {
    view.order.stops.push({ task, run, owner });
    view.isDirty = true;
  }

  /**
   * Requests the stop of the current run of a task, if its worker is known.
   *
   * @param task - A placed task.
   */
  stopRunOf({ name, run, worker }: BatchTask): void {
    const view = this._views.get(worker);
    if (view) {
      this.stop(view, name, run);
    }
  }

  /**
   * Queues acknowledgements for the next orders to the workers.
   *
   * @param ends - Ends to acknowledge.
   * @param now - Current time in milliseconds.
   */
  acknowledge(ends: readonly UnacknowledgedEnd[], now: number): void {
    for (const end of ends) {
      const { worker, life, number, superseded } = end;
      if (number > 0) {
        // Sent with the next order; not urgent enough to trigger one.
        this._views
          .get(worker)
          ?.order.recorded.push({ life, number, superseded });
        this._acknowledged.set(endKey(end), { superseded, atMs: now });
      }
    }
  }

  /**
   * @param end - An end that a worker lists, possibly again.
   * @returns Whether it was acknowledged as superseded, or `undefined` if it
   *   has not been acknowledged recently.
   */
  wasAcknowledgedAsSuperseded(
    end: Pick<UnacknowledgedEnd, 'worker' | 'life' | 'number'>,
  ): boolean | undefined {
    return this._acknowledged.get(endKey(end))?.superseded;
  }

  /**
   * Requests from every worker to refuse the orders of a fenced incarnation and
   * to report its runs to this entry, their new owner.
   *
   * @param incarnation - The fenced incarnation.
   */
  adopt(incarnation: string): void {
    for (const view of this._views.values()) {
      view.order.adopt.push(incarnation);
      view.isDirty = true;
    }
  }

  /**
   * Sends the gathered orders, and periodic orders to workers that are due one.
   *
   * @param common - Values that all orders carry.
   * @param now - Current time in milliseconds.
   */
  sendOrders(common: CommonOrder, now: number): void {
    const isPeriodic = now >= this._nextOrderAtMs;
    if (isPeriodic) {
      this._nextOrderAtMs = Number.POSITIVE_INFINITY;
    }
    for (const view of isPeriodic ? this.linked : this._dirty) {
      const { linkId } = view;
      if (linkId === undefined) {
        continue;
      }
      if (view.isDirty || now >= dueAtMs(view)) {
        this._sendOrder(view, linkId, common, now);
      }
      this._nextOrderAtMs = Math.min(this._nextOrderAtMs, dueAtMs(view));
    }
    this._dirty.clear();
  }

  private _sendOrder(
    view: WorkerView,
    linkId: number,
    common: CommonOrder,
    now: number,
  ): void {
    const order = view.takeOrder();
    order.entry = this._options.name;
    order.incarnation = this._options.incarnation;
    order.life = view.hello?.life ?? '';
    // Ids of links rise in the order in which this incarnation opens them.
    order.linkNumber = linkId;
    const { grantsFromMs } = common;
    order.holdUntilMs =
      grantsFromMs === undefined ? 0 : view.extendGrant(grantsFromMs, now);
    order.operatorVersion = common.operatorVersion;
    order.operatorAgeMs = common.operatorAgeMs;
    if (view.reportedRowVersion !== view.rowVersion) {
      order.registrationVersion = view.rowVersion;
      view.reportedRowVersion = view.rowVersion;
    }
    order.out = common.isOutOfService(
      view.hello?.dataCentre ?? view.dataCentre,
    );
    view.sentAtMs = now;
    if (view.placed.size > 0) {
      view.lastBusyAtMs = now;
    }
    this._options.emit({ kind: 'order', linkId, order });
  }

  /**
   * Returns all workers, preferred ones first. The order and the preferences are
   * computed again when the workers or the other entries have changed.
   */
  private _orderByPreference(
    others: readonly FleetEntry[],
    now: number,
  ): readonly WorkerView[] {
    if (this._preferenceOrder && others === this._others) {
      return this._preferenceOrder;
    }
    this._others = others;
    const entryNames = others.map(({ name }) => name).join(' ');
    if (this._preferenceOrder && entryNames === this._entryNames) {
      return this._preferenceOrder;
    }
    this._entryNames = entryNames;
    const reachable: WorkerView[] = [];
    for (const view of this.views) {
      if (this._isSuperseded(view, view.row.address)) {
        view.noteTried(now);
      } else {
        reachable.push(view);
      }
    }
    const ordered = this._subset.order(reachable);
    const preferred = this._subset.preferred(ordered, others);
    for (const view of ordered) {
      view.isPreferred = preferred.has(view.name);
    }
    this._preferenceOrder = ordered;
    return ordered;
  }

  /**
   * Returns the workers to keep links to. The choice is kept for some time,
   * because it takes as long as all else that is done at each tick.
   */
  private _chooseLinks(
    ordered: readonly WorkerView[],
    entries: number,
    now: number,
  ): { readonly chosen: ReadonlySet<string>; readonly isNew: boolean } {
    const { growth } = this._subset;
    const isCurrent =
      this._choice.ordered === ordered &&
      this._choice.growth === growth &&
      now - this._choice.atMs < CHOICE_INTERVAL_MS;
    if (!isCurrent) {
      const chosen = this._subset.choose(ordered, entries);
      this._choice = { ordered, growth, atMs: now, chosen };
    }
    return { chosen: this._choice.chosen, isNew: !isCurrent };
  }

  /** Assigns an address to a worker whose row is the newest one with it. */
  private _takeAddress(view: WorkerView, version: number): void {
    const { address } = view.row;
    view.rowVersion = version;
    const current = this._byAddress.get(address);
    if (!current || version > current.rowVersion) {
      this._byAddress.set(address, view);
    }
  }

  /** Assigns an address that a worker no longer has to the newest other row. */
  private _leaveAddress(view: WorkerView, address: string): void {
    if (this._byAddress.get(address) !== view) {
      return;
    }
    this._byAddress.delete(address);
    for (const other of this.views) {
      if (!other.isRemoved && other.row.address === address) {
        this._takeAddress(other, other.rowVersion);
      }
    }
  }

  /** Whether an address is that of another worker. */
  private _isSuperseded(view: WorkerView, address: string): boolean {
    return (this._byAddress.get(address) ?? view) !== view;
  }

  /**
   * Closes the link of a worker whose address another one has taken. Its runs are
   * given up once they have provably ended.
   */
  private _closeSupersededLink(view: WorkerView, now: number): void {
    const { linkId, linkAddress } = view;
    if (linkId === undefined || !this._isSuperseded(view, linkAddress)) {
      return;
    }
    this._log('address taken by another worker', {
      worker: view.name,
      address: linkAddress,
      other: this._byAddress.get(linkAddress)?.name ?? '',
    });
    this._options.emit({ kind: 'close-link', linkId, isReset: true });
    this._close(linkId, now);
  }

  private _replaceUnresponsiveLink(view: WorkerView, now: number): void {
    const { linkId } = view;
    if (linkId === undefined || !view.isUnresponsive(now)) {
      return;
    }
    const lastContactAtMs = Math.max(view.lastReportAtMs, view.linkedAtMs);
    if (view.hasSnapshot) {
      this._linkLostAtMs = now;
    }
    this._log('worker silent, link replaced', {
      worker: view.name,
      silentMs: Math.round(now - lastContactAtMs),
    });
    // A start that arrives late must not begin a run that is given up.
    this._options.emit({ kind: 'close-link', linkId, isReset: true });
    this._close(linkId, now);
  }

  private _closeIfIdle(view: WorkerView, linkId: number, now: number): void {
    const { lastBusyAtMs, removedAtMs = lastBusyAtMs } = view;
    const isIdle =
      view.placed.size === 0 &&
      !view.isDirty &&
      view.order.recorded.length === 0 &&
      now - Math.max(lastBusyAtMs, removedAtMs) > IDLE_LINK_TIMEOUT_MS;
    if (isIdle) {
      this._log('link to worker given back', { worker: view.name });
      this._options.emit({ kind: 'close-link', linkId, isReset: false });
      this._close(linkId, now);
      view.forgetContact();
    }
  }

  private _close(linkId: number, now: number): void {
    const view = this._links.get(linkId);
    this._links.delete(linkId);
    this._linkedList = undefined;
    this._nextLinkUpdateAtMs = 0;
    if (view?.linkId !== linkId) {
      return;
    }
    view.linkId = undefined;
    view.hasSnapshot = false;
    const doublings = Math.max(0, view.failedLinks - 1);
    const backoffMs = Math.min(
      MAX_REOPEN_BACKOFF_MS,
      REOPEN_BACKOFF_MS * 2 ** doublings,
    );
    view.reopenAtMs = now + backoffMs;
    view.takeOrder();
    this._deleteIfUnused(view);
  }

  /** Deletes a worker without a row once it has neither a link nor runs. */
  private _deleteIfUnused(view: WorkerView): void {
    const isUnused = view.linkId === undefined && view.placed.size === 0;
    if (view.isRemoved && isUnused) {
      this._views.delete(view.name);
      this._viewList = undefined;
      this._preferenceOrder = undefined;
    }
  }

  private _log(message: string, fields: LogFields): void {
    this._options.emit({ kind: 'log', message, fields });
  }

  private _open(
    view: WorkerView,
    fenced: readonly string[],
    now: number,
  ): void {
    const linkId = this._nextLinkId++;
    view.resetForLink(linkId, now);
    view.linkAddress = view.row.address;
    view.order.adopt = [...fenced];
    this._links.set(linkId, view);
    this._linkedList = undefined;
    const { linkAddress: address } = view;
    this._options.emit({ kind: 'open-link', linkId, address });
  }
}

/** Time at which the next periodic order to a worker is due. */
const dueAtMs = ({ placed, sentAtMs }: WorkerView): number =>
  sentAtMs + (placed.size > 0 ? ORDER_INTERVAL_MS : IDLE_ORDER_INTERVAL_MS);

const endKey = (
  end: Pick<UnacknowledgedEnd, 'worker' | 'life' | 'number'>,
): string => `${end.worker} ${end.life} ${String(end.number)}`;
