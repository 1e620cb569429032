import { BatchEntry, STOPPED_REPLY } from '@sapphiremux/core';
import type {
  BatchAction,
  BatchEvent,
  BatchReply,
  LateStartNote,
  OperatorChange,
  PeerStatus,
  RouteConfig,
  RunLimits,
  WorkerOrder,
} from '@sapphiremux/core';
import type { EventQueue } from '../sim/event-queue.js';
import { SimProcess } from '../sim/sim-process.js';
import type { SimTable } from './sim-table.js';

/** A fault of the entry's host, planted to show that the simulation finds it. */
export enum HostFault {
  /**
   * Submissions are handled in the turn that reads them, before it is known
   * whether their callers have disconnected.
   */
  ImmediateSubmissions = 'immediate-submissions',
  /** Disconnections are handled after the flush of the turn that reads them. */
  LateCloses = 'late-closes',
  /** The entry is not told how long ago the sockets were polled. */
  UnknownPollAge = 'unknown-poll-age',
}

/** Options of {@link SimBatchEntry}. */
export interface SimBatchEntryOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly queue: EventQueue;
  readonly store: SimTable;
  /** Offset of the entry's clock against virtual time. */
  readonly skewMs: number;
  /** Time limits of runs. */
  readonly limits: RunLimits;
  /** Uniform random numbers from 0 to 1. */
  readonly random: () => number;
  readonly hostFault?: HostFault | undefined;
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
  readonly onLateStarts: (
    address: string,
    notes: readonly LateStartNote[],
  ) => void;
  readonly onLog: (message: string, fields: object) => void;
}

/** How a planned stop has ended. */
export interface StopEnd {
  /** Whether the process was killed because its grace was over. */
  readonly isKilled: boolean;
  /**
   * Whether a process that was killed had been paused or busy at the signal or
   * near the end of its grace, so that it could not act in time.
   */
  readonly wasDelayed: boolean;
  /** Whether the process has been ready after it had received the signal. */
  readonly wasReady: boolean;
  /** Kinds of the calls that the process has received and not answered. */
  readonly unanswered: readonly string[];
}

/** A planned stop in progress. */
interface PlannedStop {
  readonly signalledAtMs: number;
  readonly onEnd: (end: StopEnd) => void;
  receivedAtMs: number | undefined;
  /** {@link receivedAtMs} by the clock of the process. */
  sinceMs: number | undefined;
  wasReady: boolean;
}

/** A call without a reply. */
interface PendingCall {
  readonly onReply: ReplyHandler;
  /** The call, once the process has received it. */
  event: BatchEvent | undefined;
  hasCallerLeft: boolean;
}

/** Receives the reply to a call; `undefined` if the entry has died. */
export type ReplyHandler = (reply: BatchReply | undefined) => void;

/** Table and keys of the operator rows in the simulation. */
export const OPERATOR_TABLE = 'op';
export const CONFIG_KEY = 'op/config';
export const EVACUATION_PREFIX = 'op/out/';
const TICK_MS = 50;
/** Time that the platform gives a process to end after a signal to stop. */
export const GRACE_MS = 6000;
/** Interval between two ticks above which the process was paused or busy. */
const DELAYED_TICK_MS = 2 * TICK_MS;
/** A process that acts without delay for this long can end in time. */
const UNDELAYED_MS = 1000;
// Close of the servers after a planned stop, as in the real entry process.
const CLOSE_TIMEOUT_MS = 300;
const CLOSE_CHECK_MS = 10;

/**
 * A simulated entry process: drives a `BatchEntry` with events in virtual time
 * and executes its actions on the simulated store and network.
 */
export class SimBatchEntry extends SimProcess {
  private readonly _options: SimBatchEntryOptions;
  private readonly _pendingCalls = new Map<number, PendingCall>();
  private _core!: BatchEntry;
  private _incarnation = '';
  private _incarnationNumber = 0;
  private _nextReplyId = 1;
  private _pausedAtMs: number | undefined;
  private _stop: PlannedStop | undefined;
  /** Whether the entry has left; it then handles no more events. */
  private _hasStopped = false;
  private _lastTickAtMs = 0;
  /** End of the last time without ticks, during which it was paused or busy. */
  private _delayedUntilMs = Number.NEGATIVE_INFINITY;

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
    const call: PendingCall = {
      onReply,
      event: undefined,
      hasCallerLeft: false,
    };
    this._pendingCalls.set(replyId, call);
    const connection = `call ${String(replyId)}`;
    this.post(
      () => {
        call.event = toEvent(replyId);
        this._receive(call.event, replyId);
      },
      { connection, isClose: false },
    );
    return () => {
      call.hasCallerLeft = true;
      this.post(
        () => {
          if (this._options.hostFault === HostFault.LateCloses) {
            this.runAfterNextPoll(() => {
              this._onDisconnected(replyId);
            });
          } else {
            this._onDisconnected(replyId);
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

  /**
   * Signals the process to stop, and kills it if it has not ended by itself when
   * its grace is over.
   *
   * @param onEnd - Called when the stop has ended the process.
   * @returns Whether a planned stop has begun now.
   */
  stop(onEnd: (end: StopEnd) => void): boolean {
    if (!this.isAlive || this._stop) {
      return false;
    }
    const stop: PlannedStop = {
      signalledAtMs: this.queue.nowMs,
      onEnd,
      receivedAtMs: undefined,
      sinceMs: undefined,
      wasReady: false,
    };
    this._stop = stop;
    this.post(() => {
      stop.receivedAtMs = this.queue.nowMs;
      stop.sinceMs = this.nowMs;
      this.dispatch({ kind: 'stop' });
    });
    this.queue.after(GRACE_MS, () => {
      if (this._stop === stop) {
        this._endStop(stop, true);
      }
    });
    return true;
  }

  override kill(): void {
    super.kill();
    this._stop = undefined;
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
    this._hasStopped = false;
    this._lastTickAtMs = this.queue.nowMs;
    this._beginIncarnation();
    this._tick();
  }

  protected override flush(): void {
    const isAgeKnown = this._options.hostFault !== HostFault.UnknownPollAge;
    const pollAgeMs = isAgeKnown ? this.pollAgeMs : 0;
    this.dispatch({ kind: 'flush', pollAgeMs });
  }

  private _onDisconnected(replyId: number): void {
    if (this._pendingCalls.delete(replyId)) {
      this.dispatch({ kind: 'caller-gone', replyId });
    }
  }

  private _receive(event: BatchEvent, replyId: number): void {
    const isImmediate =
      this._options.hostFault === HostFault.ImmediateSubmissions;
    if (event.kind !== 'submit' || isImmediate) {
      this._dispatchCall(event, replyId);
      return;
    }
    this.runAfterNextPoll(() => {
      if (this._pendingCalls.has(replyId)) {
        this._dispatchCall(event, replyId);
      }
    });
  }

  private _dispatchCall(event: BatchEvent, replyId: number): void {
    if (this._hasStopped) {
      this._reply(replyId, STOPPED_REPLY);
    } else {
      this.dispatch(event);
    }
  }

  private _reply(replyId: number, reply: BatchReply): void {
    const call = this._pendingCalls.get(replyId);
    this._pendingCalls.delete(replyId);
    call?.onReply(reply);
  }

  private _beginIncarnation(): void {
    const { name, dataCentre, limits, random } = this._options;
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
        stoppingSinceMs: this._stop?.sinceMs,
        runLimits: limits,
      },
      this.nowMs,
    );
  }

  private _tick(): void {
    this._observeTick();
    this.dispatch({ kind: 'tick' });
    this.schedule(TICK_MS, () => {
      this._tick();
    });
  }

  private _observeTick(): void {
    const { nowMs } = this.queue;
    if (nowMs - this._lastTickAtMs > DELAYED_TICK_MS) {
      this._delayedUntilMs = nowMs;
    }
    this._lastTickAtMs = nowMs;
    if (this._stop?.receivedAtMs !== undefined && this._core.isReady) {
      this._stop.wasReady = true;
    }
  }

  /** Ends the process when its calls are answered, or after a time limit. */
  private _close(remainingMs: number): void {
    if (this._unanswered.length > 0 && remainingMs > 0) {
      this.schedule(CLOSE_CHECK_MS, () => {
        this._close(remainingMs - CLOSE_CHECK_MS);
      });
    } else if (this._stop) {
      this._endStop(this._stop, false);
    }
  }

  private _endStop(stop: PlannedStop, isKilled: boolean): void {
    const end: StopEnd = {
      isKilled,
      wasDelayed: isKilled && this._wasDelayed(stop),
      wasReady: stop.wasReady,
      unanswered: this._unanswered,
    };
    this.kill();
    stop.onEnd(end);
  }

  private _wasDelayed({ signalledAtMs, receivedAtMs }: PlannedStop): boolean {
    const { nowMs } = this.queue;
    return (
      (receivedAtMs ?? nowMs) - signalledAtMs > DELAYED_TICK_MS ||
      nowMs - this._delayedUntilMs < UNDELAYED_MS ||
      nowMs - this._lastTickAtMs > DELAYED_TICK_MS
    );
  }

  /** Kinds of the calls whose callers wait for a reply. */
  private get _unanswered(): readonly string[] {
    return [...this._pendingCalls.values()].flatMap(
      ({ event, hasCallerLeft }) =>
        event === undefined || hasCallerLeft ? [] : [event.kind],
    );
  }

  private _failPendingCalls(): void {
    const calls = [...this._pendingCalls.values()];
    this._pendingCalls.clear();
    for (const { onReply } of calls) {
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
      case 'reply':
        this._reply(action.replyId, action.reply);
        return;
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
      case 'poll-again':
        this.runAfterNextPoll(() => {
          this.requestFlush();
        });
        return;
      case 'forward-cancel': {
        const { address, id, callId } = action;
        this._options.onForwardCancel(address, id, (handled) => {
          dispatchResult({ kind: 'forward-reply', callId, handled });
        });
        return;
      }
      case 'note-late-starts':
        this._options.onLateStarts(action.address, action.notes);
        return;
      case 'log':
        this._options.onLog(action.message, action.fields);
        return;
      case 'retire':
        this._beginIncarnation();
        return;
      case 'stopped':
        this._hasStopped = true;
        this.runAfterNextPoll(() => {
          this._close(CLOSE_TIMEOUT_MS);
        });
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
