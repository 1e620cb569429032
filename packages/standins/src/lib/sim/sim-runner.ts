import { RunnerCore } from '@sapphiremux/core';
import type {
  CallOutcome,
  RunnerAction,
  RunnerEvent,
  RunnerMessage,
  FenceReply,
  FenceRequest,
  StartMessage,
} from '@sapphiremux/core';
import type { EventQueue } from './event-queue.js';
import type { Oracle } from './oracle.js';
import { SimProcess } from './sim-process.js';

/** Behaviour of a runner's endpoint: normal operation or a fault. */
export enum EndpointMode {
  Up = 'up',
  /** Refuses connections. */
  Unreachable = 'unreachable',
  /** Starts each task, then breaks the connection. */
  Resetting = 'breaking',
  /** Responds to each task with HTTP status 500. */
  Failing = 'failing',
  /** No longer announces itself. */
  Unannounced = 'gone',
}

/** Options of {@link SimRunner}. */
export interface SimRunnerOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly queue: EventQueue;
  readonly oracle: Oracle;
  readonly skewMs: number;
  /** Uniform random numbers from 0 to 1. */
  readonly random: () => number;
  /** Receives each action and decides when and how often it is performed. */
  readonly intercept: (
    runner: SimRunner,
    action: RunnerAction,
    run: () => void,
  ) => void;
  readonly onSend: (linkId: string, msg: RunnerMessage) => void;
  readonly onCloseLink: (linkId: string) => void;
  readonly onAnnounce: (incarnation: string) => void;
}

const TICK_PERIOD_MS = 100;
const ANNOUNCE_PERIOD_MS = 1000;
const SLOTS = 2;
const CONNECTIONS = 6;
const MIN_TASK_MS = 5;
const MAX_TASK_MS = 400;
const LONG_TASK_MS = 3000;
const LONG_TASK_PROBABILITY = 0.05;
const HTTP_OK = 200;
const HTTP_ERROR = 500;

/**
 * Simulated runner process with its endpoint. Runs a {@link RunnerCore} in
 * virtual time; the endpoint echoes the payload of each task after a random
 * delay.
 */
export class SimRunner extends SimProcess {
  readonly dataCentre: string;
  mode = EndpointMode.Up;
  isLeaving = false;
  private readonly _options: SimRunnerOptions;
  private readonly _pendingFences = new Map<
    number,
    (reply: FenceReply) => void
  >();
  private readonly _abortCallbacks = new Map<number, () => void>();
  private _core!: RunnerCore;
  private _incarnation = '';
  private _isFlushScheduled = false;
  private _nextReplyId = 1;

  /** @param options - Identity, environment and callbacks. */
  constructor(options: SimRunnerOptions) {
    super(options.name, options.queue, options.skewMs);
    this._options = options;
    this.dataCentre = options.dataCentre;
    this.boot();
    this._runPeriodically(TICK_PERIOD_MS, () => {
      this.dispatch({ kind: 'tick' });
    });
    this._runPeriodically(ANNOUNCE_PERIOD_MS, () => {
      this._announce();
    });
  }

  /** Version of the configuration in force. */
  get configVersion(): number {
    return this._core.configVersion;
  }

  /**
   * Passes an event to the core and performs the resulting actions.
   *
   * @param event - The event.
   */
  dispatch(event: RunnerEvent): void {
    for (const action of this._core.handle(event, this.nowMs)) {
      this._options.intercept(this, action, () => {
        this._perform(action);
      });
    }
    this._options.oracle.onConfigVersion(
      this._incarnation,
      this._core.configVersion,
      this.queue.nowMs,
    );
    this._scheduleFlush();
  }

  /**
   * Handles a fence request from an entry.
   *
   * @param req - The request.
   * @param onReply - Receives the reply.
   */
  fence(req: FenceRequest, onReply: (reply: FenceReply) => void): void {
    const replyId = this._nextReplyId++;
    this._pendingFences.set(replyId, onReply);
    this.dispatch({ kind: 'fence', replyId, req });
  }

  protected boot(): void {
    this._incarnation = `${this.name}.${String(this.generation)}`;
    this._isFlushScheduled = false;
    this._abortCallbacks.clear();
    this._core = new RunnerCore({
      id: this.name,
      incarnation: this._incarnation,
      dataCentre: this.dataCentre,
    });
    this._announce();
  }

  private _runPeriodically(periodMs: number, run: () => void): void {
    this.queue.after(periodMs, () => {
      this.post(run);
      this._runPeriodically(periodMs, run);
    });
  }

  private _announce(): void {
    if (this.mode === EndpointMode.Unannounced) {
      return;
    }
    const endpoint = {
      name: 'levy',
      url: this.name,
      slots: SLOTS,
      connections: CONNECTIONS,
      leaving: this.isLeaving,
    };
    this.dispatch({ kind: 'endpoint-announced', endpoint });
    this._options.onAnnounce(this._incarnation);
  }

  private _scheduleFlush(): void {
    if (this._isFlushScheduled) {
      return;
    }
    this._isFlushScheduled = true;
    this.schedule(0, () => {
      this._isFlushScheduled = false;
      for (const action of this._core.handle({ kind: 'flush' }, this.nowMs)) {
        this._options.intercept(this, action, () => {
          this._perform(action);
        });
      }
    });
  }

  private _perform(action: RunnerAction): void {
    switch (action.kind) {
      case 'send':
        this._options.onSend(action.linkId, action.msg);
        return;
      case 'close-link':
        this._options.onCloseLink(action.linkId);
        return;
      case 'call':
        this._callEndpoint(action.callId, action.start);
        return;
      case 'abort-call':
        this._abortCallbacks.get(action.callId)?.();
        return;
      case 'fence-reply':
        this._pendingFences.get(action.replyId)?.(action.reply);
        this._pendingFences.delete(action.replyId);
        return;
      case 'stopped':
        this.kill();
    }
  }

  private _callEndpoint(callId: number, start: StartMessage): void {
    // Callers in the simulation send the key of a task as its payload.
    const payload = Buffer.from(start.payload).toString();
    if (this.mode === EndpointMode.Unreachable) {
      this._scheduleOutcome(callId, 1, { kind: 'not-sent' });
      return;
    }
    this._options.oracle.onStart(
      payload,
      [this.dataCentre, this.name],
      payload.startsWith('idempotent'),
      this.queue.nowMs,
    );
    this._abortCallbacks.set(callId, () => {
      this._scheduleOutcome(callId, 1, { kind: 'broken', detail: 'aborted' });
    });
    const isResetting = this.mode === EndpointMode.Resetting;
    this._scheduleOutcome(
      callId,
      this._randomTaskMs(),
      isResetting
        ? { kind: 'broken', detail: 'connection reset' }
        : {
            kind: 'answered',
            status: this.mode === EndpointMode.Failing ? HTTP_ERROR : HTTP_OK,
            contentType: 'text/plain',
            body: start.payload,
          },
    );
  }

  private _randomTaskMs(): number {
    const { random } = this._options;
    const maxMs = random() < LONG_TASK_PROBABILITY ? LONG_TASK_MS : MAX_TASK_MS;
    return MIN_TASK_MS + random() * (maxMs - MIN_TASK_MS);
  }

  private _scheduleOutcome(
    callId: number,
    delayMs: number,
    outcome: CallOutcome,
  ): void {
    this.schedule(delayMs, () => {
      this._abortCallbacks.delete(callId);
      this.dispatch({ kind: 'call-done', callId, outcome });
    });
  }
}
