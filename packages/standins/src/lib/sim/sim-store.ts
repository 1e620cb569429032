import type { StoreReply, StoreRequest } from '@sapphiremux/core';
import { MemoryStore } from '../memory-store.js';
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

/** Options of {@link SimStore}. */
export interface SimStoreOptions {
  readonly queue: EventQueue;
  /** Uniform random numbers from 0 to 1. */
  readonly random: () => number;
}

const CALL_TIMEOUT_MS = 1000;
const READ_MS = 1;
const WRITE_MS = 4;
const SLOW_MS = 1600;
const LOST_SHARE = 0.5;

/** The platform's table service in virtual time, with its faults. */
export class SimStore {
  mode = StoreMode.Up;
  private readonly _options: SimStoreOptions;
  private readonly _rows = new MemoryStore();

  /** @param options - Virtual time and randomness. */
  constructor(options: SimStoreOptions) {
    this._options = options;
  }

  /**
   * @param req - The call.
   * @param isCut - Whether the caller can't reach the store.
   * @param onReply - Receives what became of it.
   */
  call(
    req: StoreRequest,
    isCut: boolean,
    onReply: (reply: StoreReply) => void,
  ): void {
    const { queue, random } = this._options;
    const mode = isCut ? StoreMode.Silent : this.mode;
    const workMs = (isWrite(req) ? WRITE_MS : READ_MS) + random();
    switch (mode) {
      case StoreMode.Up:
        this._answer(req, workMs, onReply);
        return;
      case StoreMode.Refusing:
        queue.after(1, () => {
          onReply({ kind: 'refused' });
        });
        return;
      case StoreMode.Silent:
        this._timeOut(onReply);
        return;
      case StoreMode.Slow:
        this._answer(req, random() * SLOW_MS, onReply);
        return;
      case StoreMode.LosingAnswers:
        if (isWrite(req) && random() < LOST_SHARE) {
          queue.after(workMs, () => this._rows.apply(req));
          this._timeOut(onReply);
        } else {
          this._answer(req, workMs, onReply);
        }
    }
  }

  private _timeOut(onReply: (reply: StoreReply) => void): void {
    this._options.queue.after(CALL_TIMEOUT_MS, () => {
      onReply({ kind: 'unknown' });
    });
  }

  /** A call that takes longer than its limit still takes effect. */
  private _answer(
    req: StoreRequest,
    workMs: number,
    onReply: (reply: StoreReply) => void,
  ): void {
    const { queue } = this._options;
    const isLate = workMs > CALL_TIMEOUT_MS;
    queue.after(workMs, () => {
      const reply = this._rows.apply(req);
      if (!isLate) {
        onReply(reply);
      }
    });
    if (isLate) {
      this._timeOut(onReply);
    }
  }
}

const isWrite = (req: StoreRequest): boolean =>
  req.kind === 'transact' || req.kind === 'put-object';
