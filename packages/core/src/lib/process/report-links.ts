import type {
  ActiveRun,
  Room,
  RunEnd,
  StartRefusal,
  WorkerCrash,
  WorkerHello,
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
  incarnation: string;
  report: MutableReport;
  /** Whether the report is sent at the end of this turn of the event loop. */
  isDirty: boolean;
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
  /** Returns the snapshot; absent before the first reply to a poll. */
  readonly snapshot: (() => Snapshot) | undefined;
}

/** Active runs and unrecorded ends at a worker. */
export interface Snapshot {
  readonly active: ActiveRun[];
  readonly ends: RunEnd[];
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

/**
 * Keeps the links that entries have opened to a worker driver process, and
 * collects a report for each. A report is sent at the end of a turn of the event
 * loop if its link is marked as dirty. A change of the free capacity alone is
 * reported with a delay that limits the rate of such reports.
 */
export class ReportLinks {
  private readonly _links = new Map<number, ReportLink>();

  /** @param linkId - Id of a link that an entry has opened. */
  open(linkId: number): void {
    this._links.set(linkId, {
      id: linkId,
      incarnation: '',
      report: emptyReport(),
      isDirty: false,
      isHelloSent: false,
      areCrashesSent: false,
      adopted: [],
      needsSnapshot: false,
      sentAtMs: 0,
    });
  }

  /**
   * @param linkId - Id of a link that has closed.
   * @returns Incarnation of its entry if that has no other link.
   */
  close(linkId: number): string | undefined {
    const owner = this._links.get(linkId)?.incarnation;
    this._links.delete(linkId);
    return owner === undefined || this.has(owner) ? undefined : owner;
  }

  /** @returns Whether the entry of this incarnation has an open link. */
  has(owner: string): boolean {
    return [...this._links.values()].some((l) => l.incarnation === owner);
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
      link.report.ends = [...link.report.ends, end];
      link.isDirty = true;
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
      link.report.refused = [...link.report.refused, { task, run, reason }];
      link.isDirty = true;
    }
  }

  /** @param crash - Crash of the worker to report to all entries. */
  addCrash(crash: WorkerCrash): void {
    for (const link of this._links.values()) {
      link.report.crashes = [...link.report.crashes, crash];
      link.isDirty = true;
    }
  }

  /** Marks all links, so that every entry gets a report this turn. */
  markAllDirty(): void {
    for (const link of this._links.values()) {
      link.isDirty = true;
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
   * @param workerState - State of the worker at the end of this turn.
   * @param now - Current time in milliseconds.
   * @returns The reports that are due, with their links.
   */
  flush(
    workerState: WorkerState,
    now: number,
  ): { readonly linkId: number; readonly report: WorkerReport }[] {
    return [...this._links.values()]
      .filter((link) => link.incarnation !== '')
      .filter(
        (link) => link.isDirty || isCapacityReportDue(link, workerState, now),
      )
      .map((link) => ({
        linkId: link.id,
        report: completeReport(link, workerState, now),
      }));
  }

  private _linksOf(owner: string): ReportLink[] {
    return [...this._links.values()].filter(
      (link) => owner === '' || link.incarnation === owner,
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
    link.needsSnapshot = false;
    const { active, ends } = workerState.snapshot();
    report.active = active;
    report.ends = [...report.ends, ...ends.filter(isMissingFrom(report.ends))];
    report.snapshot = true;
    report.adopted = link.adopted;
    link.adopted = [];
  }
  if (!link.areCrashesSent) {
    link.areCrashesSent = true;
    report.crashes = workerState.crashes();
  }
  report.clockMs = workerState.clockMs;
  report.accepting = workerState.accepting;
  report.free = workerState.free;
  if (!link.isHelloSent && workerState.hello) {
    link.isHelloSent = true;
    report.hello = workerState.hello;
  }
  link.report = emptyReport();
  // Kept to detect a change of the free capacity.
  link.report.free = workerState.free;
  link.report.sequence = report.sequence;
  link.isDirty = false;
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
});
