import type { BatchAction } from './batch-events.js';
import { decodeWorkerRow } from './fleet-rows.js';
import type { OwedRecord } from './own-job.js';
import { WorkerView } from './worker-view.js';

/** Options of {@link WorkerFleet}. */
export interface WorkerFleetOptions {
  /** Name and incarnation of the entry. */
  readonly name: string;
  readonly incarnation: string;
  readonly emit: (action: BatchAction) => void;
}

/** Pause between two words to a worker that has runs of this entry. */
const GRANT_PERIOD_MS = 200;
/** Pause between two words to a worker that has none. */
const IDLE_GRANT_PERIOD_MS = 500;
/** Pause before a link to a worker is opened again. */
const REOPEN_MS = 100;

/** All workers as an entry sees them, and its links to them. */
export class WorkerFleet {
  private readonly _options: WorkerFleetOptions;
  private readonly _views = new Map<string, WorkerView>();
  private readonly _links = new Map<number, WorkerView>();
  private _nextLinkId = 1;

  /** @param options - Names and receiver of actions. */
  constructor(options: WorkerFleetOptions) {
    this._options = options;
  }

  /** Every worker that has a row. */
  get views(): readonly WorkerView[] {
    return [...this._views.values()];
  }

  /** @returns The worker on a VM. */
  get(name: string): WorkerView | undefined {
    return this._views.get(name);
  }

  /** @returns The worker at the end of an open link. */
  atLink(linkId: number): WorkerView | undefined {
    return this._links.get(linkId);
  }

  /**
   * @param name - Name of a VM.
   * @param value - Its row; `null` when it is gone.
   */
  onRow(name: string, value: string | null): void {
    const row = value === null ? undefined : decodeWorkerRow(value);
    const view = this._views.get(name);
    if (!row) {
      if (view && view.linkId === undefined) {
        this._views.delete(name);
      }
      return;
    }
    if (view) {
      view.address = row.address;
    } else {
      this._views.set(name, new WorkerView(name, row.address));
    }
  }

  /**
   * Opens missing links and replaces silent ones.
   *
   * @param fenced - Incarnations to name on a new link.
   * @param now - Current time in milliseconds.
   */
  openLinks(fenced: readonly string[], now: number): void {
    for (const view of this._views.values()) {
      const { linkId } = view;
      if (linkId !== undefined && view.isSilent(now)) {
        const heardAtMs = Math.max(view.lastReportAtMs, view.linkedAtMs);
        this._options.emit({
          kind: 'log',
          message: 'worker silent, link replaced',
          fields: {
            worker: view.name,
            silentMs: Math.round(now - heardAtMs),
          },
        });
        this._options.emit({ kind: 'close-link', linkId });
        this.onLinkClosed(linkId, now);
      }
      if (view.linkId === undefined && now >= view.reopenAtMs) {
        this._open(view, fenced, now);
      }
    }
  }

  /**
   * @param linkId - A link that has ended.
   * @param now - Current time in milliseconds.
   */
  onLinkClosed(linkId: number, now: number): void {
    const view = this._links.get(linkId);
    this._links.delete(linkId);
    if (view?.linkId === linkId) {
      view.linkId = undefined;
      view.isKnown = false;
      view.reopenAtMs = now + REOPEN_MS;
      view.takeOrder();
    }
  }

  /**
   * Stops a run.
   *
   * @param view - The worker.
   * @param task - Name of the task.
   * @param run - Number of the run.
   */
  stop(view: WorkerView, task: string, run: number): void {
    view.order.stops.push({ task, run });
    view.isDirty = true;
  }

  /** @param owed - Ends that the worker may forget. */
  acknowledge(owed: readonly OwedRecord[]): void {
    for (const { worker, life, number, superseded } of owed) {
      if (number > 0) {
        // Rides with the next order; nobody waits for it.
        this._views
          .get(worker)
          ?.order.recorded.push({ life, number, superseded });
      }
    }
  }

  /** @param incarnation - A fenced entry whose runs this entry takes over. */
  adopt(incarnation: string): void {
    for (const view of this._views.values()) {
      view.order.adopt.push(incarnation);
      view.isDirty = true;
    }
  }

  /**
   * Sends what has gathered, and a word where one is due.
   *
   * @param grants - Whether runs may go on.
   * @param now - Current time in milliseconds.
   */
  sendOrders(grants: boolean, now: number): void {
    for (const view of this._views.values()) {
      const { linkId } = view;
      const periodMs =
        view.placed.size > 0 ? GRANT_PERIOD_MS : IDLE_GRANT_PERIOD_MS;
      const isDue = view.isDirty || now - view.sentAtMs >= periodMs;
      if (linkId === undefined || !isDue) {
        continue;
      }
      const order = view.takeOrder();
      order.entry = this._options.name;
      order.incarnation = this._options.incarnation;
      order.holdUntilMs = grants ? view.grant(now) : 0;
      view.sentAtMs = now;
      this._options.emit({ kind: 'order', linkId, order });
    }
  }

  private _open(
    view: WorkerView,
    fenced: readonly string[],
    now: number,
  ): void {
    const linkId = this._nextLinkId++;
    view.relink(linkId, now);
    view.order.adopt = [...fenced];
    this._links.set(linkId, view);
    const { address } = view;
    this._options.emit({ kind: 'open-link', linkId, address });
  }
}
