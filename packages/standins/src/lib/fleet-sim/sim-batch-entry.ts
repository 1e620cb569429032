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
  /**
   * Whether a submission is handled only after the process has polled for events
   * once more, and dropped if its caller has disconnected by then.
   */
  readonly defersSubmissions: boolean;
  readonly isDisconnectedFromStore: () => boolean;
  /** Receives the kind of each action that the process carries out. */
  readonly onAction: (kind: string) => void;
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

/** Receives the reply to a call; `undefined` if the entry has died. */
export type ReplyHandler = (reply: BatchReply | undefined) => void;

/** Table and keys of the operator rows in the simulation. */
export const OPERATOR_TABLE = 'op';
export const CONFIG_KEY = 'op/config';
export const EVACUATION_PREFIX = 'op/out/';
const TICK_MS = 50;

/**
 * A simulated entry process: drives a `BatchEntry` with events in virtual time
 * and executes its actions on the simulated store and network.
 */
export class SimBatchEntry extends SimProcess {
  private readonly _options: SimBatchEntryOptions;
  private readonly _pendingCalls = new Map<number, ReplyHandler>();
  private _core!: BatchEntry;
  private _incarnation = '';
  private _incarnationNumber = 0;
  private _nextReplyId = 1;
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
   * @param onReply - Receives the reply.
   * @returns A function that reports to the entry that the caller has left.
   */
  sendRequest(
    toEvent: (replyId: number) => BatchEvent,
    onReply: ReplyHandler,
  ): () => void {
    const replyId = this._nextReplyId++;
    if (!this.isAlive) {
      onReply(undefined);
      return () => undefined;
    }
    this._pendingCalls.set(replyId, onReply);
    const connection = `call ${String(replyId)}`;
    this.post(
      () => {
        this._receive(toEvent(replyId), replyId);
      },
      { connection, isClose: false },
    );
    return () => {
      this.post(
        () => {
          if (this._pendingCalls.delete(replyId)) {
            this.dispatch({ kind: 'caller-gone', replyId });
          }
        },
        { connection, isClose: true },
      );
    };
  }

  /**
   * Passes an event to the state machine and executes the resulting actions.
   *
   * @param event - The event.
   */
  dispatch(event: BatchEvent): void {
    const incarnationNumber = this._incarnationNumber;
    for (const action of this._core.handle(event, this.nowMs)) {
      if (this._incarnationNumber === incarnationNumber && this.isAlive) {
        this._execute(action);
      }
    }
    if (event.kind !== 'flush') {
      this.requestFlush();
    }
  }

  override kill(): void {
    super.kill();
    this._failPendingCalls();
  }

  override pause(): void {
    super.pause();
    this._pausedAtMs = this.queue.nowMs;
  }

  /**
   * Resumes the process. The state machine is told of the pause before it
   * receives the events that arrived meanwhile.
   */
  override resume(): void {
    const jumpMs = this.queue.nowMs - (this._pausedAtMs ?? this.queue.nowMs);
    if (this.isPaused) {
      this._core
        .handle({ kind: 'paused', jumpMs }, this.nowMs)
        .forEach((action) => {
          this._execute(action);
        });
    }
    super.resume();
  }

  protected boot(): void {
    this._beginIncarnation();
    this._tick();
  }

  protected override flush(): void {
    this.dispatch({ kind: 'flush' });
  }

  private _receive(event: BatchEvent, replyId: number): void {
    if (event.kind !== 'submit' || !this._options.defersSubmissions) {
      this.dispatch(event);
      return;
    }
    this.runAfterNextPoll(() => {
      if (this._pendingCalls.has(replyId)) {
        this.dispatch(event);
      }
    });
  }

  private _beginIncarnation(): void {
    const { name, dataCentre, random } = this._options;
    this._incarnationNumber += 1;
    this._incarnation = `${name}.${String(this._incarnationNumber)}`;
    this._core = new BatchEntry(
      {
        name,
        incarnation: this._incarnation,
        address: name,
        dataCentre,
        random,
        operatorTable: OPERATOR_TABLE,
        decodeOperatorRow: ({ key, value }) => decodeOperatorRow(key, value),
      },
      this.nowMs,
    );
  }

  private _tick(): void {
    this.dispatch({ kind: 'tick' });
    this.schedule(TICK_MS, () => {
      this._tick();
    });
  }

  private _failPendingCalls(): void {
    const replyHandlers = [...this._pendingCalls.values()];
    this._pendingCalls.clear();
    for (const onReply of replyHandlers) {
      onReply(undefined);
    }
  }

  /** Dispatches an event unless another incarnation has begun since. */
  private _dispatchIfCurrent(
    incarnationNumber: number,
    event: BatchEvent,
  ): void {
    this.post(() => {
      if (this._incarnationNumber === incarnationNumber) {
        this.dispatch(event);
      }
    });
  }

  private _execute(action: BatchAction): void {
    const { store, isDisconnectedFromStore } = this._options;
    const incarnationNumber = this._incarnationNumber;
    const dispatchResult = (event: BatchEvent): void => {
      this._dispatchIfCurrent(incarnationNumber, event);
    };
    this._options.onAction(
      action.kind === 'store' ? `store ${action.req.kind}` : action.kind,
    );
    switch (action.kind) {
      case 'reply': {
        const onReply = this._pendingCalls.get(action.replyId);
        this._pendingCalls.delete(action.replyId);
        onReply?.(action.reply);
        return;
      }
      case 'store': {
        const { opId, part, req } = action;
        store.call(part, req, isDisconnectedFromStore(), (reply) => {
          dispatchResult({ kind: 'store-reply', opId, reply });
        });
        return;
      }
      case 'follow': {
        const { req } = action;
        const { table } = req;
        store.follow(req, isDisconnectedFromStore(), (reply) => {
          dispatchResult({ kind: 'follow-reply', table, reply });
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
          dispatchResult({ kind: 'probe-reply', incarnation, status });
        });
        return;
      }
      case 'forward-cancel': {
        const { address, id, callId } = action;
        this._options.onForwardCancel(address, id, (handled) => {
          dispatchResult({ kind: 'forward-reply', callId, handled });
        });
        return;
      }
      case 'log':
        this._options.onLog(action.message, action.fields);
        return;
      case 'retire':
        this._beginIncarnation();
        return;
      case 'stopped':
        this.kill();
    }
  }
}

const decodeOperatorRow = (
  key: string,
  value: string | null,
): OperatorChange => {
  if (key === 'config' && value !== null) {
    return { kind: 'config', config: JSON.parse(value) as RouteConfig };
  }
  // The keys of the rows are relative to their table.
  const prefix = EVACUATION_PREFIX.slice(OPERATOR_TABLE.length + 1);
  return key.startsWith(prefix)
    ? {
        kind: 'data-centre',
        dataCentre: key.slice(prefix.length),
        isOutOfService: value !== null,
      }
    : { kind: 'other', key, detail: '' };
};
