import type { StoreReply, StoreRequest } from '@sapphiremux/core';
import type { EventQueue } from './event-queue.js';

/** Behaviour of the store: normal operation or a fault. */
export enum StoreMode {
  Up = 'up',
  /** Refuses every call. */
  Refusing = 'refusing',
  /** Does not respond to any call and applies none. */
  Unresponsive = 'silent',
  /** Responds late, sometimes after the caller's timeout. */
  Slow = 'slow',
  /**
   * Applies all calls but loses the reply to half of the writes; see also
   * {@link FaultyStoreOptions.appliesLate}.
   */
  LosingReplies = 'losing-answers',
}

/** Options of {@link FaultyStore}. */
export interface FaultyStoreOptions {
  readonly queue: EventQueue;
  /** Uniform random numbers from 0 to 1. */
  readonly random: () => number;
  /**
   * Whether every second write without a reply is applied only
   * {@link MIN_LATE_MS} to {@link MAX_LATE_MS} later.
   */
  readonly appliesLate?: boolean;
}

/** A store call and the callbacks that carry it out. */
export interface FaultyCall {
  readonly req: StoreRequest;
  /** Whether the caller is partitioned from the store. */
  readonly isDisconnected: boolean;
  /** Applies the call to the stored data. */
  readonly apply: () => StoreReply;
  /** Receives the reply; `unknown` after a timeout. */
  readonly onReply: (reply: StoreReply) => void;
}

const CALL_TIMEOUT_MS = 1000;
/** Latency of reads in normal operation, without jitter. */
export const READ_LATENCY_MS = 1;
const WRITE_LATENCY_MS = 4;
/** Exceeds the timeout, so that some calls are applied after it. */
const MAX_SLOW_LATENCY_MS = 1600;
/** Fraction of the writes whose reply is lost. */
const REPLY_LOSS_RATE = 0.5;
/** Fraction of the writes without a reply that are applied late. */
const LATE_RATE = 0.5;
const MIN_LATE_MS = 1000;
/** Maximum delay of a write that is applied late. */
export const MAX_LATE_MS = 6000;

/**
 * Base class of simulated stores. Applies latency and the current fault to
 * each call; subclasses keep the data.
 */
export abstract class FaultyStore {
  mode = StoreMode.Up;
  protected readonly queue: EventQueue;
  private readonly _random: () => number;
  private readonly _appliesLate: boolean;

  /** @param options - Event queue, random source and late writes. */
  constructor({ queue, random, appliesLate = false }: FaultyStoreOptions) {
    this.queue = queue;
    this._random = random;
    this._appliesLate = appliesLate;
  }

  /** @returns The mode that a caller observes, which a partition overrides. */
  protected effectiveMode(isDisconnected: boolean): StoreMode {
    return isDisconnected ? StoreMode.Unresponsive : this.mode;
  }

  /**
   * Handles a call as the current mode requires.
   *
   * @param call - The call; may be applied after its reply, or never.
   */
  protected serve(call: FaultyCall): void {
    const latencyMs =
      (isWrite(call.req) ? WRITE_LATENCY_MS : READ_LATENCY_MS) + this._random();
    switch (this.effectiveMode(call.isDisconnected)) {
      case StoreMode.Up:
        this._applyAfter(call, latencyMs);
        return;
      case StoreMode.Refusing:
        this.queue.after(1, () => {
          call.onReply({ kind: 'refused' });
        });
        return;
      case StoreMode.Unresponsive:
        this._replyAfterTimeout(call);
        return;
      case StoreMode.Slow:
        this._applyAfter(call, this._random() * MAX_SLOW_LATENCY_MS);
        return;
      case StoreMode.LosingReplies:
        if (isWrite(call.req) && this._random() < REPLY_LOSS_RATE) {
          this.queue.after(this._lostWriteLatencyMs(latencyMs), () =>
            call.apply(),
          );
          this._replyAfterTimeout(call);
        } else {
          this._applyAfter(call, latencyMs);
        }
    }
  }

  private _lostWriteLatencyMs(latencyMs: number): number {
    return this._appliesLate && this._random() < LATE_RATE
      ? MIN_LATE_MS + this._random() * (MAX_LATE_MS - MIN_LATE_MS)
      : latencyMs;
  }

  private _replyAfterTimeout({ onReply }: FaultyCall): void {
    this.queue.after(CALL_TIMEOUT_MS, () => {
      onReply({ kind: 'unknown' });
    });
  }

  /** Applies a call after its latency, even if it times out before. */
  private _applyAfter(call: FaultyCall, latencyMs: number): void {
    const isLate = latencyMs > CALL_TIMEOUT_MS;
    this.queue.after(latencyMs, () => {
      const reply = call.apply();
      if (!isLate) {
        call.onReply(reply);
      }
    });
    if (isLate) {
      this._replyAfterTimeout(call);
    }
  }
}

const isWrite = (req: StoreRequest): boolean =>
  req.kind === 'transact' || req.kind === 'put-object';
