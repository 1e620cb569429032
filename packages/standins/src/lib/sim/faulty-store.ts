import type { StoreReply, StoreRequest } from '@sapphiremux/core';
import type { EventQueue } from './event-queue.js';

/** How the store behaves now. */
export enum StoreMode {
  Up = 'up',
  /** Refuses every call. */
  Refusing = 'refusing',
  /** Swallows every call. */
  Silent = 'silent',
  /** Answers late, sometimes after the caller has given up. */
  Slow = 'slow',
  /** Takes effect, then loses the answer of every second write. */
  LosingAnswers = 'losing-answers',
}

/** Options of {@link FaultyStore}. */
export interface FaultyStoreOptions {
  readonly queue: EventQueue;
  /** Uniform random numbers from 0 to 1. */
  readonly random: () => number;
}

/** A call on its way through the faults. */
export interface FaultyCall {
  readonly req: StoreRequest;
  /** Whether the caller can't reach the store. */
  readonly isCut: boolean;
  /** Lets the call take effect. */
  readonly apply: () => StoreReply;
  /** Receives what became of it. */
  readonly onReply: (reply: StoreReply) => void;
}

const CALL_TIMEOUT_MS = 1000;
/** Time of a call that reads. */
export const READ_MS = 1;
const WRITE_MS = 4;
const SLOW_MS = 1600;
const LOST_SHARE = 0.5;

/** A store in virtual time with its faults; what it holds is up to others. */
export abstract class FaultyStore {
  mode = StoreMode.Up;
  protected readonly queue: EventQueue;
  private readonly _random: () => number;

  /** @param options - Virtual time and randomness. */
  constructor({ queue, random }: FaultyStoreOptions) {
    this.queue = queue;
    this._random = random;
  }

  /** @returns How the store behaves towards a caller. */
  protected modeFor(isCut: boolean): StoreMode {
    return isCut ? StoreMode.Silent : this.mode;
  }

  /** @param call - A call; it is applied now, later or never. */
  protected serve(call: FaultyCall): void {
    const workMs = (isWrite(call.req) ? WRITE_MS : READ_MS) + this._random();
    switch (this.modeFor(call.isCut)) {
      case StoreMode.Up:
        this._answer(call, workMs);
        return;
      case StoreMode.Refusing:
        this.queue.after(1, () => {
          call.onReply({ kind: 'refused' });
        });
        return;
      case StoreMode.Silent:
        this._timeOut(call);
        return;
      case StoreMode.Slow:
        this._answer(call, this._random() * SLOW_MS);
        return;
      case StoreMode.LosingAnswers:
        if (isWrite(call.req) && this._random() < LOST_SHARE) {
          this.queue.after(workMs, () => call.apply());
          this._timeOut(call);
        } else {
          this._answer(call, workMs);
        }
    }
  }

  private _timeOut({ onReply }: FaultyCall): void {
    this.queue.after(CALL_TIMEOUT_MS, () => {
      onReply({ kind: 'unknown' });
    });
  }

  /** A call that takes longer than its limit still takes effect. */
  private _answer(call: FaultyCall, workMs: number): void {
    const isLate = workMs > CALL_TIMEOUT_MS;
    this.queue.after(workMs, () => {
      const reply = call.apply();
      if (!isLate) {
        call.onReply(reply);
      }
    });
    if (isLate) {
      this._timeOut(call);
    }
  }
}

const isWrite = (req: StoreRequest): boolean =>
  req.kind === 'transact' || req.kind === 'put-object';
