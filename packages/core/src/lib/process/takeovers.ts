import type { RunnerRef } from '../connection/runner-peer.js';
import type { FenceReply } from '../messages.js';
import type { EntryContext } from './entry-context.js';
import type { JobRows } from './job-rows.js';
import type { JobTable } from './job-table.js';
import type { MemberView, Membership } from './membership.js';
import { Takeover } from './takeover.js';

/** Dependencies of {@link Takeovers}. */
export interface TakeoversOptions {
  readonly ctx: EntryContext;
  readonly membership: Membership;
  readonly rows: JobRows;
  readonly jobs: JobTable;
  /** Called when a runner's reply to a fence call confirms its incarnation. */
  readonly onRunnerConfirmed: (ref: RunnerRef, now: number) => void;
}

/** Spreads the attempts of several entries at the same takeover. */
const MAX_START_DELAY_MS = 1000;

/**
 * Decides which entries this entry takes over, and runs the takeovers.
 *
 * An entry that is leaving, or whose lease has expired, is taken over by the
 * first entry that changes its member row. That successor also continues the
 * takeovers that the entry had not completed, before it deletes the entry's
 * member row, so that it finds the task records that runners have moved to the
 * entry.
 */
export class Takeovers {
  private readonly _options: TakeoversOptions;
  private readonly _active = new Map<string, Takeover>();
  private readonly _startAtMs = new Map<string, number>();
  private _nextCallId = 1;

  /** @param options - Components of the entry that a takeover uses. */
  constructor(options: TakeoversOptions) {
    this._options = options;
  }

  /** Number of takeovers in progress. */
  get activeCount(): number {
    return this._active.size;
  }

  /**
   * Starts takeovers that are due and advances those in progress.
   *
   * @param now - Current time in milliseconds.
   */
  tick(now: number): void {
    for (const view of this._options.membership.others) {
      if (!this._active.has(view.row.incarnation)) {
        this._startIfDue(view, now);
      }
    }
    for (const [incarnation, takeover] of this._active) {
      takeover.tick(now, () => this._nextCallId++);
      if (takeover.isDone) {
        this._active.delete(incarnation);
      }
    }
  }

  /**
   * Passes the result of a fence call to its takeover.
   *
   * @param callId - Id of the call.
   * @param reply - The runner's answer; absent when the call failed.
   * @param now - Current time in milliseconds.
   */
  onFenceReply(
    callId: number,
    reply: FenceReply | undefined,
    now: number,
  ): void {
    for (const takeover of this._active.values()) {
      if (takeover.onFenceReply(callId, reply, now)) {
        return;
      }
    }
  }

  private _startIfDue(view: MemberView, now: number): void {
    const { incarnation } = view.row;
    if (!this._isDue(view)) {
      this._startAtMs.delete(incarnation);
      return;
    }
    const delayMs = MAX_START_DELAY_MS * this._options.ctx.options.random();
    const startAtMs = this._startAtMs.get(incarnation) ?? now + delayMs;
    this._startAtMs.set(incarnation, startAtMs);
    if (now >= startAtMs) {
      this._startAtMs.delete(incarnation);
      this._active.set(incarnation, this._create(view));
    }
  }

  /**
   * An entry that has been fenced is due if its successor has no member row any
   * more or is itself being taken over by this entry.
   */
  private _isDue(view: MemberView): boolean {
    const { membership, ctx } = this._options;
    const successor = view.row.fencedBy;
    if (successor === undefined) {
      return membership.isReplaceable(view);
    }
    if (successor === ctx.options.incarnation) {
      return false;
    }
    const isKnown = membership.others.some(
      (v) => v.row.incarnation === successor,
    );
    return this._active.has(successor) || !isKnown;
  }

  private _create(predecessor: MemberView): Takeover {
    const { ctx, membership, rows, jobs, onRunnerConfirmed } = this._options;
    const { incarnation } = predecessor.row;
    return new Takeover({
      ctx,
      predecessor,
      ownerCondition: () => membership.ownerCondition,
      registerRunner: (ref) => membership.registerRunner(ref),
      onRunnerConfirmed,
      rows,
      onAdopted: (row, spec, rowVersion, collected) => {
        jobs.adopt(row, spec, rowVersion, collected);
      },
      hasPendingTakeovers: (sinceMs) =>
        !membership.hasScannedSince(sinceMs) ||
        membership.others.some((v) => v.row.fencedBy === incarnation),
    });
  }
}
