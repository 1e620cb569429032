import { BatchEntry } from '@sapphiremux/core';
import type {
  BatchAction,
  BatchEvent,
  BatchReply,
  OperatorChange,
  PeerStatus,
  RouteConfig,
  WorkerOrder,
} from '@sapphiremux/core';
import type { EventQueue } from '../sim/event-queue.js';
import { SimProcess } from '../sim/sim-process.js';
import type { SimTable } from './sim-table.js';

/** Options of {@link SimBatchEntry}. */
export interface SimBatchEntryOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly queue: EventQueue;
  readonly store: SimTable;
  /** Offset of the entry's clock against virtual time. */
  readonly skewMs: number;
  /** Uniform random numbers from 0 to 1. */
  readonly random: () => number;
  readonly isCutFromStore: () => boolean;
  readonly onOpenLink: (linkId: number, address: string) => void;
  readonly onCloseLink: (linkId: number) => void;
  readonly onOrder: (linkId: number, order: WorkerOrder) => void;
  readonly onProbe: (
    address: string,
    onReply: (status: PeerStatus | undefined) => void,
  ) => void;
  readonly onForwardCancel: (
    address: string,
    id: string,
    onReply: (isHandled: boolean) => void,
  ) => void;
  readonly onLog: (message: string, fields: object) => void;
}

/** Receives the answer to a call; `undefined` if the entry has died. */
export type CallerReply = (reply: BatchReply | undefined) => void;

/** Table and keys of the operator rows in the simulation. */
export const OPERATORS = 'op';
export const CONFIG_KEY = 'op/config';
export const OUT_PREFIX = 'op/out/';
const TICK_MS = 50;

/**
 * A simulated entry process: drives a `BatchEntry` with events in virtual time
 * and executes its actions on the simulated store and network.
 */
export class SimBatchEntry extends SimProcess {
  private readonly _options: SimBatchEntryOptions;
  private readonly _callers = new Map<number, CallerReply>();
  private _core!: BatchEntry;
  private _incarnation = '';
  private _cores = 0;
  private _nextReplyId = 1;
  private _flushPlanned = false;
  private _pausedAtMs: number | undefined;

  /** @param options - Names, store and receivers of actions. */
  constructor(options: SimBatchEntryOptions) {
    super(options.name, options.queue, options.skewMs);
    this._options = options;
    this.boot();
  }

  /** State machine of the current incarnation. */
  get core(): BatchEntry {
    return this._core;
  }

  /** Name of the current incarnation, unique among all entries. */
  get incarnation(): string {
    return this._incarnation;
  }

  /**
   * Sends a call to the entry.
   *
   * @param toEvent - Creates the event of the call, given the id of the reply.
   * @param onReply - Receives the answer.
   * @returns A function that reports to the entry that the caller has left.
   */
  ask(
    toEvent: (replyId: number) => BatchEvent,
    onReply: CallerReply,
  ): () => void {
    const replyId = this._nextReplyId++;
    if (!this.isAlive) {
      onReply(undefined);
      return () => undefined;
    }
    this._callers.set(replyId, onReply);
    this.post(() => {
      this.dispatch(toEvent(replyId));
    });
    return () => {
      this.post(() => {
        if (this._callers.delete(replyId)) {
          this.dispatch({ kind: 'caller-gone', replyId });
        }
      });
    };
  }

  /**
   * Passes an event to the state machine and executes the resulting actions.
   *
   * @param event - The event.
   */
  dispatch(event: BatchEvent): void {
    const cores = this._cores;
    for (const action of this._core.handle(event, this.now)) {
      if (this._cores === cores && this.isAlive) {
        this._perform(action);
      }
    }
    if (!this._flushPlanned && event.kind !== 'flush' && this.isAlive) {
      this._flushPlanned = true;
      this.later(0, () => {
        this._flushPlanned = false;
        this.dispatch({ kind: 'flush' });
      });
    }
  }

  override kill(): void {
    super.kill();
    this._loseCallers();
  }

  override pause(): void {
    super.pause();
    this._pausedAtMs = this.queue.nowMs;
  }

  override resume(): void {
    const jumpMs = this.queue.nowMs - (this._pausedAtMs ?? this.queue.nowMs);
    if (this.isPaused) {
      this._core.handle({ kind: 'paused', jumpMs }, this.now).forEach((a) => {
        this._perform(a);
      });
    }
    super.resume();
  }

  protected boot(): void {
    this._flushPlanned = false;
    this._begin();
    this._tick();
  }

  private _begin(): void {
    const { name, dataCentre, random } = this._options;
    this._cores += 1;
    this._incarnation = `${name}.${String(this._cores)}`;
    this._core = new BatchEntry(
      {
        name,
        incarnation: this._incarnation,
        address: name,
        dataCentre,
        random,
        operatorTable: OPERATORS,
        decodeOperatorRow: ({ key, value }) => decodeRow(key, value),
      },
      this.now,
    );
  }

  private _tick(): void {
    this.dispatch({ kind: 'tick' });
    this.later(TICK_MS, () => {
      this._tick();
    });
  }

  private _loseCallers(): void {
    const callers = [...this._callers.values()];
    this._callers.clear();
    for (const onReply of callers) {
      onReply(undefined);
    }
  }

  /** Dispatches an event unless another incarnation has begun since. */
  private _answer(cores: number, event: BatchEvent): void {
    this.post(() => {
      if (this._cores === cores) {
        this.dispatch(event);
      }
    });
  }

  private _perform(action: BatchAction): void {
    const { store, isCutFromStore } = this._options;
    const cores = this._cores;
    const back = (event: BatchEvent): void => {
      this._answer(cores, event);
    };
    switch (action.kind) {
      case 'reply': {
        const onReply = this._callers.get(action.replyId);
        this._callers.delete(action.replyId);
        onReply?.(action.reply);
        return;
      }
      case 'store': {
        const { opId, part, req } = action;
        store.call(part, req, isCutFromStore(), (reply) => {
          back({ kind: 'store-reply', opId, reply });
        });
        return;
      }
      case 'follow': {
        const { req } = action;
        const { table } = req;
        store.follow(req, isCutFromStore(), (reply) => {
          back({ kind: 'follow-reply', table, reply });
        });
        return;
      }
      case 'open-link':
        this._options.onOpenLink(action.linkId, action.address);
        return;
      case 'close-link':
        this._options.onCloseLink(action.linkId);
        return;
      case 'order':
        this._options.onOrder(action.linkId, action.order);
        return;
      case 'probe': {
        const { address, incarnation } = action;
        this._options.onProbe(address, (status) => {
          back({ kind: 'probe-reply', incarnation, status });
        });
        return;
      }
      case 'forward-cancel': {
        const { address, id, callId } = action;
        this._options.onForwardCancel(address, id, (handled) => {
          back({ kind: 'forward-reply', callId, handled });
        });
        return;
      }
      case 'log':
        this._options.onLog(action.message, action.fields);
        return;
      case 'stand-down':
        this._begin();
        return;
      case 'stopped':
        this.kill();
    }
  }
}

const decodeRow = (key: string, value: string | null): OperatorChange => {
  if (key === 'config' && value !== null) {
    return { kind: 'config', config: JSON.parse(value) as RouteConfig };
  }
  const out = OUT_PREFIX.slice(OPERATORS.length + 1);
  return key.startsWith(out)
    ? {
        kind: 'data-centre',
        dataCentre: key.slice(out.length),
        isOut: value !== null,
      }
    : { kind: 'other', key, detail: '' };
};
