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

const TICK_MS = 100;
/** Small, so that the larger jobs are written to the object store. */
const ROW_LIMIT_BYTES = 600;

/**
 * Simulated entry process. Runs an {@link EntryCore} in virtual time and
 * performs its actions on the simulated store and network.
 */
export class SimEntry extends SimProcess {
  private readonly _options: SimEntryOptions;
  private readonly _callers = new Map<number, ReplyHandler>();
  private readonly _polls = new Map<number, (reply: PollReply) => void>();
  private _core!: EntryCore;
  private _incarnation = '';
  private _run = 0;
  private _flushPlanned = false;
  private _nextReplyId = 1;

  /** @param options - Identity, environment and callbacks. */
  constructor(options: SimEntryOptions) {
    super(options.name, options.queue, options.skewMs);
    this._options = options;
    this.boot();
    this._repeatTick();
  }

  /** Core of the current incarnation. */
  get core(): EntryCore {
    return this._core;
  }

  /** Number of unanswered calls. */
  get openCalls(): number {
    return this._callers.size;
  }

  /**
   * Dispatches an event that expects a reply.
   *
   * @param toEvent - Creates the event for a reply id.
   * @param onReply - Receives the reply.
   */
  ask(toEvent: (replyId: number) => EntryEvent, onReply: ReplyHandler): void {
    this.post(() => {
      const replyId = this._nextReplyId++;
      this._callers.set(replyId, onReply);
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
    this._polls.set(replyId, onReply);
    this.dispatch({ kind: 'poll', replyId, req });
  }

  /**
   * Passes an event to the core and performs the resulting actions.
   *
   * @param event - The event.
   */
  dispatch(event: EntryEvent): void {
    const incarnation = this._incarnation;
    for (const action of this._core.handle(event, this.now)) {
      this._options.intercept(this, action, () => {
        this._perform(action);
      });
    }
    if (incarnation === this._incarnation) {
      this._options.oracle.onVersion(
        incarnation,
        this._core.config.version,
        this.queue.nowMs,
      );
    }
    this._planFlush();
  }

  override kill(): void {
    super.kill();
    this._callers.clear();
    this._polls.clear();
  }

  protected boot(): void {
    this._run += 1;
    this._flushPlanned = false;
    this._incarnation = `${this.name}.${String(this._run)}`;
    this._core = new EntryCore(
      {
        id: this.name,
        incarnation: this._incarnation,
        address: this.name,
        dataCentre: 'north',
        random: this._options.random,
        rowLimitBytes: ROW_LIMIT_BYTES,
      },
      this.now,
    );
  }

  private _repeatTick(): void {
    this.queue.after(TICK_MS, () => {
      this.post(() => {
        this.dispatch({ kind: 'tick' });
      });
      this._repeatTick();
    });
  }

  private _planFlush(): void {
    if (this._flushPlanned) {
      return;
    }
    this._flushPlanned = true;
    this._later(0, () => {
      this._flushPlanned = false;
      for (const action of this._core.handle({ kind: 'flush' }, this.now)) {
        this._options.intercept(this, action, () => {
          this._perform(action);
        });
      }
    });
  }

  /** Schedules a callback that is dropped if the incarnation ends before. */
  private _later(afterMs: number, run: () => void): void {
    this.queue.after(afterMs, this._bind(run));
  }

  private _bind<T extends unknown[]>(
    run: (...args: T) => void,
  ): (...args: T) => void {
    const current = this._run;
    return (...args) => {
      this.post(() => {
        if (current === this._run) {
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
        this._polls.get(action.replyId)?.(action.reply);
        this._polls.delete(action.replyId);
        return;
      case 'store': {
        const { opId, req } = action;
        const isCut = options.network.isCut(this.name, 'store');
        const onReply = this._bind(
          (reply: Parameters<Parameters<SimStore['call']>[2]>[0]) => {
            this.dispatch({ kind: 'store-reply', opId, reply });
          },
        );
        options.store.call(req, isCut, onReply);
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
        const onReply = this._bind((reply: FenceReply | undefined) => {
          this.dispatch({ kind: 'fence-reply', callId, reply });
        });
        options.onFence(action.address, action.req, onReply);
        return;
      }
      case 'poll-peer': {
        const { callId } = action;
        const onReply = this._bind((reply: PollReply | undefined) => {
          this.dispatch({ kind: 'poll-reply', callId, reply });
        });
        options.onPollPeer(action.address, action.req, onReply);
        return;
      }
      case 'job-step':
      case 'ticket-adopted':
        return;
      case 'stand-down':
        this.boot();
        return;
      case 'stopped':
        this._stopped();
    }
  }

  private _reply(replyId: number, reply: Reply): void {
    const onReply = this._callers.get(replyId);
    this._callers.delete(replyId);
    onReply?.(reply);
  }

  private _stopped(): void {
    if (this._callers.size > 0) {
      this._options.oracle.report(
        'a planned stop cuts no request',
        this.queue.nowMs,
        `${this.name} stopped with ${String(this._callers.size)} unanswered calls`,
      );
    }
    this.kill();
  }
}
