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
  /** Sees each action; runs it now, later, twice or not at all. */
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

/** Receives the answer to a call. */
export type ReplyHandler = (reply: Reply) => void;

const TICK_MS = 100;
/** Small, so that the larger jobs of a run go to the object store. */
const ROW_LIMIT_BYTES = 600;

/** An entry in virtual time. */
export class SimEntry extends SimProcess {
  private readonly _options: SimEntryOptions;
  private readonly _callers = new Map<number, ReplyHandler>();
  private readonly _polls = new Map<number, (reply: PollReply) => void>();
  private _core!: EntryCore;
  private _incarnation = '';
  private _run = 0;
  private _flushPlanned = false;
  private _nextReplyId = 1;

  /** @param options - Identity and receivers. */
  constructor(options: SimEntryOptions) {
    super(options.name, options.queue, options.skewMs);
    this._options = options;
    this.boot();
    this._repeatTick();
  }

  /** The decisions of the current run. */
  get core(): EntryCore {
    return this._core;
  }

  /** Number of calls without an answer. */
  get openCalls(): number {
    return this._callers.size;
  }

  /**
   * @param toEvent - Makes the event from the id of the answer.
   * @param onReply - Receives the answer.
   */
  ask(toEvent: (replyId: number) => EntryEvent, onReply: ReplyHandler): void {
    this.post(() => {
      const replyId = this._nextReplyId++;
      this._callers.set(replyId, onReply);
      this.dispatch(toEvent(replyId));
    });
  }

  /**
   * @param req - Another entry's poll.
   * @param onReply - Receives the answer.
   */
  poll(req: PollRequest, onReply: (reply: PollReply) => void): void {
    const replyId = this._nextReplyId++;
    this._polls.set(replyId, onReply);
    this.dispatch({ kind: 'poll', replyId, req });
  }

  /** @param event - Something that happened to the entry. */
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

  /** Runs something later, unless the incarnation has ended by then. */
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
        `${this.name} stopped with ${String(this._callers.size)} open calls`,
      );
    }
    this.kill();
  }
}
