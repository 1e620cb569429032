import type { WorkerOrder } from '../lib/messages.js';
import type { RunLimits } from '../lib/process/run-limits.js';
import type { WorkerCall } from '../lib/process/worker-events.js';
import { DriverHarness, ready, starts } from './worker-harness.js';

const CALL_TIMEOUT_MS = 200;
const TICK_MS = 100;
const STEP_MS = 10;
const ORDER_INTERVAL_MS = 250;
/** Time after which a run counts as one that does not end. */
const GIVE_UP_MS = 5000;
const TASK = 'j.0.0.0';
const STOP = { task: TASK, run: 1, owner: 'a1' };
const RUN = { task: TASK, run: 1, checkpoint: '', percent: 100 };

/** How the worker driver process loses the entry of a run. */
export enum Loss {
  /** The entry was killed: its link closes. */
  LinkClosed,
  /** The entry was cut off: no order arrives any more. */
  Silence,
  /**
   * The driver was restarted too, and no entry claims the run. The worker has no
   * lease that ends.
   */
  Unclaimed,
  /** The same, with a lease that the earlier driver has just renewed. */
  UnclaimedWithLease,
  /** The caller of the run has gone; its entry goes on with other runs. */
  CallerGone,
  /** The entry was killed, and another one has adopted its runs. */
  Adopted,
}

/** A run of a volatile job whose caller may send it again. */
export interface Orphaning {
  readonly loss: Loss;
  /** Stop calls that the worker does not carry out. */
  readonly ignoredStops: number;
  /** Time limits of runs. */
  readonly limits: RunLimits;
}

/** A worker that runs one task and leaves some stop calls unanswered. */
class OrphanedRun {
  private readonly _harness: DriverHarness;
  private readonly _limits: RunLimits;
  private readonly _sentAtMs = new Map<number, number>();
  private _ignoredStops: number;
  private _leaseMs = Number.POSITIVE_INFINITY;
  private _isStopped = false;
  private _sendsOrders = false;
  /** Entry that sends the orders, and its link. */
  private _orders: Partial<WorkerOrder> = {};
  private _linkId = 1;

  constructor({ loss, ignoredStops, limits }: Orphaning, phaseMs: number) {
    this._ignoredStops = ignoredStops;
    this._limits = limits;
    if (loss === Loss.Unclaimed || loss === Loss.UnclaimedWithLease) {
      this._harness = new DriverHarness(limits);
      if (loss === Loss.UnclaimedWithLease) {
        const { grantMs, expiryGraceMs } = limits;
        this._leaseMs = this._harness.clock + grantMs + expiryGraceMs;
      }
      this._harness.active = [RUN];
      this._harness.announce();
      return;
    }
    this._harness = ready(limits);
    this._harness.order({
      ...this._orderNow(),
      starts: starts(TASK),
    });
    this._harness.answer('start');
    this._harness.active = [RUN];
    for (let passed = 0; passed < phaseMs; passed += STEP_MS) {
      this._step();
    }
    this._harness.order(this._orderNow());
    if (loss === Loss.CallerGone) {
      this._sendsOrders = true;
      this._harness.order({ ...this._orderNow(), stops: [STOP] });
    }
    if (loss === Loss.Adopted) {
      this._sendsOrders = true;
      this._orders = { entry: 'entry-b', incarnation: 'b1' };
      this._linkId = 2;
      this._harness.handle({ kind: 'link-closed', linkId: 1 });
      this._harness.openLink(2, 'b1');
      this._harness.order({ ...this._orderNow(), adopt: ['a1'] }, 2);
    }
    if (loss === Loss.LinkClosed) {
      this._harness.handle({ kind: 'link-closed', linkId: 1 });
    }
  }

  /** @returns Time from the loss of the entry to the end of the run. */
  timeToEnd(): number {
    const lostAtMs = this._harness.now;
    while (
      !this._isStopped &&
      this._harness.clock < this._leaseMs &&
      this._harness.now - lostAtMs < GIVE_UP_MS
    ) {
      this._step();
    }
    const passedMs = this._harness.now - lostAtMs;
    return this._isStopped ? passedMs + this._limits.stopMs : passedMs;
  }

  private _orderNow(): Partial<WorkerOrder> {
    const holdUntilMs = this._harness.clock + this._limits.grantMs;
    return { ...this._orders, holdUntilMs };
  }

  private _step(): void {
    const harness = this._harness;
    harness.now += STEP_MS;
    harness.clock += STEP_MS;
    if (this._sendsOrders && harness.now % ORDER_INTERVAL_MS === 0) {
      harness.order(this._orderNow(), this._linkId);
    }
    for (const { callId, call } of [...harness.calls]) {
      if (!this._sentAtMs.has(callId)) {
        this._sentAtMs.set(callId, harness.now);
        this._onSent(call);
      }
      const ageMs = harness.now - (this._sentAtMs.get(callId) ?? 0);
      if (call.kind === 'hold' && ageMs >= this._limits.pollWaitMs) {
        harness.answerPoll();
      } else if (call.kind === 'stop' && ageMs >= CALL_TIMEOUT_MS) {
        harness.answer('stop', { kind: 'no-answer', detail: 'timed out' });
      }
    }
    const dueMs = harness.driver.nextDueAtMs ?? Number.POSITIVE_INFINITY;
    if (harness.now % TICK_MS === 0 || dueMs <= harness.now) {
      harness.handle({ kind: 'tick' });
    }
    harness.handle({ kind: 'flush' });
  }

  private _onSent(call: WorkerCall): void {
    if (call.kind !== 'stop') {
      this._leaseMs = call.untilMs ?? this._leaseMs;
    } else if (this._ignoredStops > 0) {
      this._ignoredStops -= 1;
    } else {
      this._isStopped = true;
    }
  }
}

/**
 * @param orphaning - How the driver loses the entry, and the worker.
 * @returns Longest time to the end of a run over all phases of the polls, in
 *   milliseconds.
 */
export const longestMs = (orphaning: Orphaning): number => {
  const phases = Array.from({ length: 30 }, (_, index) => index * STEP_MS);
  return Math.max(
    ...phases.map((phaseMs) => new OrphanedRun(orphaning, phaseMs).timeToEnd()),
  );
};
