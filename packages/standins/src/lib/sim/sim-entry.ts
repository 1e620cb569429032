import { EntryCore } from '@sapphiremux/core';
import type {
  EntryAction,
  EntryEvent,
  EntryMessage,
  FenceReply,
  FenceRequest,
  PollReply,
  PollRequest,
  Reply,
} from '@sapphiremux/core';
import type { EventQueue } from './event-queue.js';
import type { Network } from './network.js';
import type { Oracle } from './oracle.js';
import { SimProcess } from './sim-process.js';
import type { SimStore } from './sim-store.js';

/** Options of {@link SimEntry}. */
export interface SimEntryOptions {
  readonly name: string;
  readonly queue: EventQueue;
  readonly network: Network;
  readonly store: SimStore;
  readonly oracle: Oracle;
  readonly skewMs: number;
  /** Uniform random numbers from 0 to 1. */
  readonly random: () => number;
  /** Receives each action and decides when and how often it is performed. */
  readonly intercept: (
    entry: SimEntry,
    action: EntryAction,
    run: () => void,
  ) => void;
  readonly onOpenLink: (linkId: string, address: string) => void;
  readonly onSend: (linkId: string, msg: EntryMessage) => void;
  readonly onCloseLink: (linkId: string) => void;
  readonly onFence: (
    address: string,
    req: FenceRequest,
    onReply: (reply: FenceReply | undefined) => void,
  ) => void;
  readonly onPollPeer: (
    address: string,
    req: PollRequest,
    onReply: (reply: PollReply | undefined) => void,
  ) => void;
}

/** Receives the reply to a call. */
export type ReplyHandler = (reply: Reply) => void;

const TICK_PERIOD_MS = 100;
/** Small, so that the larger jobs are written to the object store. */
const ROW_LIMIT_BYTES = 600;

/**
 * Simulated entry process. Runs an {@link EntryCore} in virtual time and
 * performs its actions on the simulated store and network.
 */
export class SimEntry extends SimProcess {
  private readonly _options: SimEntryOptions;
  private readonly _pendingReplies = new Map<number, ReplyHandler>();
  private readonly _pendingPolls = new Map<
    number,
    (reply: PollReply) => void
  >();
  private _core!: EntryCore;
  private _incarnation = '';
  private _incarnationNumber = 0;
  private _isFlushScheduled = false;
  private _nextReplyId = 1;

  /** @param options - Identity, environment and callbacks. */
  constructor(options: SimEntryOptions) {
    super(options.name, options.queue, options.skewMs);
    this._options = options;
    this.boot();
    this._scheduleTick();
  }

  /** Core of the current incarnation. */
  get core(): EntryCore {
    return this._core;
  }

  /** Number of unanswered calls. */
  get openCalls(): number {
    return this._pendingReplies.size;
  }

  /**
   * Dispatches an event that expects a reply.
   *
   * @param toEvent - Creates the event for a reply id.
   * @param onReply - Receives the reply.
   */
  dispatchWithReply(
    toEvent: (replyId: number) => EntryEvent,
    onReply: ReplyHandler,
  ): void {
    this.post(() => {
      const replyId = this._nextReplyId++;
      this._pendingReplies.set(replyId, onReply);
      this.dispatch(toEvent(replyId));
    });
  }

  /**
   * Handles a poll from another entry.
   *
   * @param req - The poll.
   * @param onReply - Receives the reply.
   */
  poll(req: PollRequest, onReply: (reply: PollReply) => void): void {
    const replyId = this._nextReplyId++;
    this._pendingPolls.set(replyId, onReply);
    this.dispatch({ kind: 'poll', replyId, req });
  }

  /**
   * Passes an event to the core and performs the resulting actions.
   *
   * @param event - The event.
   */
  dispatch(event: EntryEvent): void {
    const incarnation = this._incarnation;
    for (const action of this._core.handle(event, this.nowMs)) {
      this._options.intercept(this, action, () => {
        this._perform(action);
      });
    }
    if (incarnation === this._incarnation) {
      this._options.oracle.onConfigVersion(
        incarnation,
        this._core.config.version,
        this.queue.nowMs,
      );
    }
    this._scheduleFlush();
  }

  override kill(): void {
    super.kill();
    this._pendingReplies.clear();
    this._pendingPolls.clear();
  }

  protected boot(): void {
    this._incarnationNumber += 1;
    this._isFlushScheduled = false;
    this._incarnation = `${this.name}.${String(this._incarnationNumber)}`;
    this._core = new EntryCore(
      {
        id: this.name,
        incarnation: this._incarnation,
        address: this.name,
        dataCentre: 'north',
        random: this._options.random,
        rowLimitBytes: ROW_LIMIT_BYTES,
      },
      this.nowMs,
    );
  }

  private _scheduleTick(): void {
    this.queue.after(TICK_PERIOD_MS, () => {
      this.post(() => {
        this.dispatch({ kind: 'tick' });
      });
      this._scheduleTick();
    });
  }

  private _scheduleFlush(): void {
    if (this._isFlushScheduled) {
      return;
    }
    this._isFlushScheduled = true;
    this._runLater(0, () => {
      this._isFlushScheduled = false;
      for (const action of this._core.handle({ kind: 'flush' }, this.nowMs)) {
        this._options.intercept(this, action, () => {
          this._perform(action);
        });
      }
    });
  }

  /** Schedules a callback that is dropped if the incarnation ends earlier. */
  private _runLater(delayMs: number, run: () => void): void {
    this.queue.after(delayMs, this._bindToIncarnation(run));
  }

  private _bindToIncarnation<T extends unknown[]>(
    run: (...args: T) => void,
  ): (...args: T) => void {
    const current = this._incarnationNumber;
    return (...args) => {
      this.post(() => {
        if (current === this._incarnationNumber) {
          run(...args);
        }
      });
    };
  }

  private _perform(action: EntryAction): void {
    const { _options: options } = this;
    switch (action.kind) {
      case 'reply':
        this._reply(action.replyId, action.reply);
        return;
      case 'poll-answer':
        this._pendingPolls.get(action.replyId)?.(action.reply);
        this._pendingPolls.delete(action.replyId);
        return;
      case 'store': {
        const { opId, req } = action;
        const isDisconnected = options.network.isCut(this.name, 'store');
        const onReply = this._bindToIncarnation(
          (reply: Parameters<Parameters<SimStore['call']>[2]>[0]) => {
            this.dispatch({ kind: 'store-reply', opId, reply });
          },
        );
        options.store.call(req, isDisconnected, onReply);
        return;
      }
      case 'open-link':
        options.onOpenLink(action.linkId, action.address);
        return;
      case 'send':
        options.onSend(action.linkId, action.msg);
        return;
      case 'close-link':
        options.onCloseLink(action.linkId);
        return;
      case 'fence': {
        const { callId } = action;
        const onReply = this._bindToIncarnation(
          (reply: FenceReply | undefined) => {
            this.dispatch({ kind: 'fence-reply', callId, reply });
          },
        );
        options.onFence(action.address, action.req, onReply);
        return;
      }
      case 'poll-peer': {
        const { callId } = action;
        const onReply = this._bindToIncarnation(
          (reply: PollReply | undefined) => {
            this.dispatch({ kind: 'poll-reply', callId, reply });
          },
        );
        options.onPollPeer(action.address, action.req, onReply);
        return;
      }
      case 'job-step':
      case 'ticket-adopted':
        return;
      case 'retire':
        this.boot();
        return;
      case 'stopped':
        this._onStopped();
    }
  }

  private _reply(replyId: number, reply: Reply): void {
    const onReply = this._pendingReplies.get(replyId);
    this._pendingReplies.delete(replyId);
    onReply?.(reply);
  }

  private _onStopped(): void {
    if (this._pendingReplies.size > 0) {
      this._options.oracle.report(
        'a planned stop cuts no request',
        this.queue.nowMs,
        `${this.name} stopped with ${String(this._pendingReplies.size)} unanswered calls`,
      );
    }
    this.kill();
  }
}
