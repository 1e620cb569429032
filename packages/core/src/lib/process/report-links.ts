import type {
  ActiveRun,
  Room,
  RunEnd,
  RunRef,
  StartRefusal,
  WorkerCrash,
  WorkerHello,
  WorkerOrder,
  WorkerReport,
} from '../messages.js';
import { isSameRoom } from '../request/room.js';

type MutableReport = {
  -readonly [K in keyof WorkerReport]: WorkerReport[K];
};

/** A link from an entry, with the next report to send on it. */
export interface ReportLink {
  readonly id: number;
  /** Incarnation of the entry; empty before its first order. */
  readonly incarnation: string;
  report: MutableReport;
  /** Whether the worker has been introduced on this link. */
  isHelloSent: boolean;
  /** Whether the recent crashes of the worker have been reported on this link. */
  areCrashesSent: boolean;
  /** Adopted entry incarnations to confirm with the next snapshot. */
  adopted: string[];
  /** Whether a snapshot is due; it is sent once the worker has been polled. */
  needsSnapshot: boolean;
  sentAtMs: number;
}

type MutableLink = { -readonly [K in keyof ReportLink]: ReportLink[K] };

/** State of the worker that the reports of one turn share. */
export interface WorkerState {
  /** Lower bound of the worker's clock. */
  readonly clockMs: number;
  readonly accepting: boolean;
  readonly free: Room;
  readonly capacity: Room;
  readonly hello: WorkerHello | undefined;
  /** Returns the recent crashes of the worker. */
  readonly crashes: () => WorkerCrash[];
  /** Returns the runs of an entry that the worker has not confirmed to begin. */
  readonly unconfirmed: (owner: string) => RunRef[];
  /** Whether the worker may still carry out calls that it left unanswered. */
  readonly mayActLate: boolean;
  /** Returns the snapshot; absent before the first reply to a poll. */
  readonly snapshot: (() => Snapshot) | undefined;
}

/** Active runs and unrecorded ends at a worker. */
export interface Snapshot {
  readonly active: ActiveRun[];
  readonly ends: RunEnd[];
  /** Whether a run that is neither active nor ended here never began. */
  readonly isComplete: boolean;
}

/** Minimum interval between reports that only update the free capacity. */
const CAPACITY_REPORT_INTERVAL_MS = 250;
/**
 * The same interval while little capacity is free, so that entries can place
 * waiting tasks sooner. An entry learns from the ends of its own runs at once
 * that capacity is free, and an end carries the free capacity as well.
 */
const LOW_CAPACITY_REPORT_INTERVAL_MS = 100;
/**
 * Free capacity counts as low if less than this share of the CPU capacity is
 * free now or was free in the last report.
 */
const LOW_CAPACITY_SHARE = 0.25;

/** Minimum interval between two checks of all links for such reports. */
const CAPACITY_CHECK_INTERVAL_MS = 25;

/**
 * Keeps the links that entries have opened to a worker driver process, and
 * collects a report for each. A report is sent at the end of a turn of the event
 * loop if its link is marked as dirty. A change of the free capacity alone is
 * reported with a delay that limits the rate of such reports.
 */
export class ReportLinks {
  private readonly _links = new Map<number, MutableLink>();
  /** Link of each entry that is served, by its incarnation. */
  private readonly _byOwner = new Map<string, MutableLink>();
  /** Highest link number of each entry, by its incarnation. */
  private readonly _highestNumbers = new Map<string, number>();
  /** Links with a report that is sent at the end of this turn. */
  private readonly _dirty = new Set<ReportLink>();
  /** Time of the next check whether the free capacity is to be reported. */
  private _capacityCheckAtMs = 0;

  /** @param linkId - Id of a link that an entry has opened. */
  open(linkId: number): void {
    this._links.set(linkId, {
      id: linkId,
      incarnation: '',
      report: emptyReport(),
      isHelloSent: false,
      areCrashesSent: false,
      adopted: [],
      needsSnapshot: false,
      sentAtMs: 0,
    });
  }

  /**
   * @param linkId - Id of a link that has closed.
   * @returns Incarnation of its entry, unless that has a newer link or is
   *   unknown.
   */
  close(linkId: number): string | undefined {
    const link = this._links.get(linkId);
    if (!link) {
      return undefined;
    }
    this._links.delete(linkId);
    this._dirty.delete(link);
    return this._removeFromOwner(link) ? link.incarnation : undefined;
  }

  /**
   * Assigns a link to the entry that uses it. Only the newest link of an entry
   * is served: an entry opens a link once it has closed the one before, whose
   * orders may still arrive. A link may also be accepted after a newer one, so the
   * entry numbers its links; without numbers, the order of acceptance counts.
   *
   * @param link - A link on which an order has arrived.
   * @param order - The order.
   * @param order.incarnation - Incarnation of the entry that sent it.
   * @param order.linkNumber - Number of the link at the entry; 0 without one.
   * @returns The earlier link of the entry, whose unsent ends the newer one takes
   *   over; the link itself if a newer one is known.
   */
  identify(
    link: ReportLink,
    {
      incarnation,
      linkNumber,
    }: Pick<WorkerOrder, 'incarnation' | 'linkNumber'>,
  ): ReportLink | undefined {
    const known = this._links.get(link.id);
    if (!known || known.incarnation === incarnation) {
      return undefined;
    }
    const other = this._byOwner.get(incarnation);
    const highestNumber = this._highestNumbers.get(incarnation) ?? 0;
    const isNewest =
      linkNumber > 0
        ? linkNumber > highestNumber
        : other === undefined || known.id > other.id;
    if (!isNewest) {
      return known;
    }
    if (linkNumber > 0) {
      this._highestNumbers.set(incarnation, linkNumber);
    }
    this._removeFromOwner(known);
    known.incarnation = incarnation;
    this._byOwner.set(incarnation, known);
    known.report.ends.push(...(other?.report.ends ?? []));
    return other;
  }

  /** Whether any entry has identified itself on an open link. */
  get hasOwners(): boolean {
    return this._byOwner.size > 0;
  }

  /** @returns Whether the entry of this incarnation has an open link. */
  has(owner: string): boolean {
    return this._byOwner.has(owner);
  }

  /** @returns Whether a link is the newest one of an entry, and open. */
  isNewest(linkId: number, owner: string): boolean {
    return this._byOwner.get(owner)?.id === linkId;
  }

  /** @returns The open link with this id, if there is one. */
  get(linkId: number): ReportLink | undefined {
    return this._links.get(linkId);
  }

  /**
   * @param owner - Incarnation of an entry; empty stands for all.
   * @param end - End of a run to report.
   */
  addEnd(owner: string, end: RunEnd): void {
    for (const link of this._linksOf(owner)) {
      link.report.ends.push(end);
      this._dirty.add(link);
    }
  }

  /**
   * @param owner - Incarnation of an entry; empty stands for all.
   * @param task - Name of the task.
   * @param run - Number of the run that did not begin.
   * @param reason - Why the start was refused.
   */
  addRefusal(
    owner: string,
    task: string,
    run: number,
    reason: StartRefusal,
  ): void {
    for (const link of this._linksOf(owner)) {
      link.report.refused.push({ task, run, reason });
      this._dirty.add(link);
    }
  }

  /** @param crash - Crash of the worker to report to all entries. */
  addCrash(crash: WorkerCrash): void {
    for (const link of this._links.values()) {
      link.report.crashes.push(crash);
      this._dirty.add(link);
    }
  }

  /** @param link - Link on which a report is sent this turn. */
  markDirty(link: ReportLink): void {
    this._dirty.add(link);
  }

  /** Marks all links, so that every entry gets a report this turn. */
  markAllDirty(): void {
    for (const link of this._links.values()) {
      this._dirty.add(link);
    }
  }

  /** Introduces the worker on all links again, with a new hello. */
  resendHello(): void {
    for (const link of this._links.values()) {
      link.isHelloSent = false;
    }
    this.markAllDirty();
  }

  /** Sends a snapshot to all entries. */
  requestSnapshots(): void {
    for (const link of this._links.values()) {
      link.needsSnapshot = true;
    }
    this.markAllDirty();
  }

  /**
   * @param now - Current time in milliseconds.
   * @returns Whether {@link ReportLinks.flush} may return reports.
   */
  isFlushDue(now: number): boolean {
    return this._dirty.size > 0 || now >= this._capacityCheckAtMs;
  }

  /**
   * @param workerState - State of the worker at the end of this turn.
   * @param now - Current time in milliseconds.
   * @returns The reports that are due, with their links.
   */
  flush(
    workerState: WorkerState,
    now: number,
  ): { readonly linkId: number; readonly report: WorkerReport }[] {
    if (now >= this._capacityCheckAtMs) {
      this._capacityCheckAtMs = now + CAPACITY_CHECK_INTERVAL_MS;
      for (const link of this._links.values()) {
        if (isCapacityReportDue(link, workerState, now)) {
          this._dirty.add(link);
        }
      }
    }
    const due = [...this._dirty].filter((link) => link.incarnation !== '');
    for (const link of due) {
      this._dirty.delete(link);
    }
    return due.map((link) => ({
      linkId: link.id,
      report: completeReport(link, workerState, now),
    }));
  }

  private _linksOf(owner: string): Iterable<ReportLink> {
    if (owner === '') {
      return this._links.values();
    }
    const link = this._byOwner.get(owner);
    return link ? [link] : [];
  }

  /** @returns Whether the link was the one of its entry. */
  private _removeFromOwner(link: ReportLink): boolean {
    return (
      this._byOwner.get(link.incarnation) === link &&
      this._byOwner.delete(link.incarnation)
    );
  }
}

const completeReport = (
  link: ReportLink,
  workerState: WorkerState,
  now: number,
): WorkerReport => {
  const { report } = link;
  if (link.needsSnapshot && workerState.snapshot) {
    const { active, ends, isComplete } = workerState.snapshot();
    report.active = active;
    report.ends = [...report.ends, ...ends.filter(isMissingFrom(report.ends))];
    if (isComplete) {
      link.needsSnapshot = false;
      report.snapshot = true;
      report.adopted = link.adopted;
      link.adopted = [];
    }
  }
  if (!link.areCrashesSent) {
    link.areCrashesSent = true;
    report.crashes = workerState.crashes();
  }
  report.clockMs = workerState.clockMs;
  report.accepting = workerState.accepting;
  report.free = workerState.free;
  report.unconfirmed = workerState.unconfirmed(link.incarnation);
  report.mayActLate = workerState.mayActLate;
  if (!link.isHelloSent && workerState.hello) {
    link.isHelloSent = true;
    report.hello = workerState.hello;
  }
  link.report = emptyReport();
  // Kept to detect a change of the free capacity.
  link.report.free = workerState.free;
  link.report.sequence = report.sequence;
  link.sentAtMs = now;
  return report;
};

const isMissingFrom =
  (known: readonly RunEnd[]) =>
  (end: RunEnd): boolean =>
    !known.some(({ task, run }) => task === end.task && run === end.run);

const isCapacityReportDue = (
  link: ReportLink,
  { free, capacity }: WorkerState,
  now: number,
): boolean => {
  const sent = link.report.free;
  if (sent && isSameRoom(sent, free)) {
    return false;
  }
  const lowestCpuMilli = Math.min(free.cpuMilli, sent?.cpuMilli ?? 0);
  const isLow = lowestCpuMilli < LOW_CAPACITY_SHARE * capacity.cpuMilli;
  const periodMs = isLow
    ? LOW_CAPACITY_REPORT_INTERVAL_MS
    : CAPACITY_REPORT_INTERVAL_MS;
  return now - link.sentAtMs >= periodMs;
};

const emptyReport = (): MutableReport => ({
  clockMs: 0,
  accepting: false,
  free: undefined,
  ends: [],
  refused: [],
  sequence: 0,
  active: [],
  snapshot: false,
  adopted: [],
  fenced: false,
  crashes: [],
  unconfirmed: [],
  mayActLate: false,
});
