import type {
  ActiveRun,
  Room,
  RunEnd,
  StartRefusal,
  WorkerHello,
  WorkerReport,
} from '../messages.js';

type MutableReport = {
  -readonly [K in keyof WorkerReport]: WorkerReport[K];
};

/** A link from an entry, with the report that gathers for it. */
export interface ReportLink {
  readonly id: number;
  /** Incarnation of the entry; empty before its first order. */
  incarnation: string;
  report: MutableReport;
  isDirty: boolean;
  isGreeted: boolean;
  /** Adopted incarnations to confirm with the next snapshot. */
  adopted: string[];
  /** A snapshot is owed once the worker has been looked at. */
  wantsSnapshot: boolean;
  sentAtMs: number;
}

/** The worker as the reports of one turn show it. */
export interface WorkerPicture {
  readonly clockMs: number;
  readonly accepting: boolean;
  readonly free: Room;
  readonly capacity: Room;
  readonly hello: WorkerHello | undefined;
  /** Runs and unrecorded ends; absent before the first look. */
  readonly snapshot: (() => Snapshot) | undefined;
}

/** Everything that an entry has to know of the runs at a worker. */
export interface Snapshot {
  readonly active: ActiveRun[];
  readonly ends: RunEnd[];
}

/** Pause between reports that say nothing but how much room is free. */
const ROOM_REPORT_MS = 250;
/** The same pause while room is scarce, so that waiting work learns of it. */
const SCARCE_REPORT_MS = 25;
/** Share of the worker's processor time below which room is scarce. */
const SCARCE_SHARE = 0.25;

/** The links of the process beside a worker, and what each is told. */
export class ReportLinks {
  private readonly _links = new Map<number, ReportLink>();

  /** @param linkId - A link that an entry has opened. */
  open(linkId: number): void {
    this._links.set(linkId, {
      id: linkId,
      incarnation: '',
      report: emptyReport(),
      isDirty: false,
      isGreeted: false,
      adopted: [],
      wantsSnapshot: false,
      sentAtMs: 0,
    });
  }

  /**
   * @param linkId - A link that has ended.
   * @returns Its entry, when that has no other link.
   */
  close(linkId: number): string | undefined {
    const owner = this._links.get(linkId)?.incarnation;
    this._links.delete(linkId);
    return owner === undefined || this.has(owner) ? undefined : owner;
  }

  /** @returns Whether an entry has an open link. */
  has(owner: string): boolean {
    return [...this._links.values()].some((l) => l.incarnation === owner);
  }

  /** @returns An open link. */
  get(linkId: number): ReportLink | undefined {
    return this._links.get(linkId);
  }

  /**
   * @param owner - Incarnation of an entry; empty stands for all.
   * @param end - An end to report to it.
   */
  addEnd(owner: string, end: RunEnd): void {
    for (const link of this._of(owner)) {
      link.report.ends = [...link.report.ends, end];
      link.isDirty = true;
    }
  }

  /**
   * @param owner - Incarnation of an entry; empty stands for all.
   * @param task - Name of the task.
   * @param run - Number of a run that did not begin.
   * @param reason - Why.
   */
  addRefusal(
    owner: string,
    task: string,
    run: number,
    reason: StartRefusal,
  ): void {
    for (const link of this._of(owner)) {
      link.report.refused = [...link.report.refused, { task, run, reason }];
      link.isDirty = true;
    }
  }

  /** Reports to all entries at the end of this turn. */
  touchAll(): void {
    for (const link of this._links.values()) {
      link.isDirty = true;
    }
  }

  /** Introduces the worker again, as after a new incarnation of it. */
  greetAgain(): void {
    for (const link of this._links.values()) {
      link.isGreeted = false;
    }
    this.touchAll();
  }

  /** Sends the whole picture to all entries. */
  wantSnapshots(): void {
    for (const link of this._links.values()) {
      link.wantsSnapshot = true;
    }
    this.touchAll();
  }

  /**
   * @param picture - The worker at the end of this turn.
   * @param now - Current time in milliseconds.
   * @returns The reports that are due, by link.
   */
  flush(
    picture: WorkerPicture,
    now: number,
  ): { readonly linkId: number; readonly report: WorkerReport }[] {
    return [...this._links.values()]
      .filter((link) => link.incarnation !== '')
      .filter((link) => link.isDirty || isRoomDue(link, picture, now))
      .map((link) => ({ linkId: link.id, report: finish(link, picture, now) }));
  }

  private _of(owner: string): ReportLink[] {
    return [...this._links.values()].filter(
      (link) => owner === '' || link.incarnation === owner,
    );
  }
}

const finish = (
  link: ReportLink,
  picture: WorkerPicture,
  now: number,
): WorkerReport => {
  const { report } = link;
  if (link.wantsSnapshot && picture.snapshot) {
    link.wantsSnapshot = false;
    const { active, ends } = picture.snapshot();
    report.active = active;
    report.ends = [...report.ends, ...ends.filter(isNewIn(report.ends))];
    report.snapshot = true;
    report.adopted = link.adopted;
    link.adopted = [];
  }
  report.clockMs = picture.clockMs;
  report.accepting = picture.accepting;
  report.free = picture.free;
  if (!link.isGreeted && picture.hello) {
    link.isGreeted = true;
    report.hello = picture.hello;
  }
  link.report = emptyReport();
  link.report.free = picture.free;
  link.report.sequence = report.sequence;
  link.isDirty = false;
  link.sentAtMs = now;
  return report;
};

const isNewIn =
  (known: readonly RunEnd[]) =>
  (end: RunEnd): boolean =>
    !known.some(({ task, run }) => task === end.task && run === end.run);

const isRoomDue = (
  link: ReportLink,
  { free, capacity }: WorkerPicture,
  now: number,
): boolean => {
  const sent = link.report.free;
  const isSame =
    sent?.cpuMilli === free.cpuMilli &&
    sent.memoryMb === free.memoryMb &&
    sent.accelerators === free.accelerators;
  if (isSame) {
    return false;
  }
  const least = Math.min(free.cpuMilli, sent?.cpuMilli ?? 0);
  const isScarce = least < SCARCE_SHARE * capacity.cpuMilli;
  const periodMs = isScarce ? SCARCE_REPORT_MS : ROOM_REPORT_MS;
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
});
