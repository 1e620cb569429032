import { RunState, TaskKind } from '../messages.js';
import { Job } from '../request/job.js';
import { FailureReason } from '../request/outcome.js';
import type { Outcome } from '../request/outcome.js';
import type { EntryContext } from './entry-context.js';
import { ErrorCode } from './entry-events.js';
import type { EndpointRequest, Reply } from './entry-events.js';
import { errorReply } from '../request/replies.js';
import { RetryBudget } from './retry-budget.js';

/** Options of {@link RequestTable}. */
export interface RequestTableOptions {
  readonly ctx: EntryContext;
  /** Called with a new request, which is to be placed. */
  readonly onOpen: (job: Job) => void;
  /** Called with a request that is to be placed again. */
  readonly onRetry: (job: Job) => void;
  /** Called with a request that has been answered. */
  readonly onAnswered: (job: Job) => void;
}

interface OpenRequest {
  readonly job: Job;
  readonly replyId: number;
  attempts: number;
  /** When the next attempt starts, if a retry is scheduled. */
  retryAtMs: number | undefined;
}

/**
 * Attempts of one request. A request that loses its result each time may be what
 * ends the endpoints.
 */
const MAX_ATTEMPTS = 3;
const INITIAL_RETRY_DELAY_MS = 20;
const MAX_RETRY_DELAY_MS = 1000;
const RETRY_AFTER_MS = 1000;

/**
 * Tracks the open requests, each of which is forwarded to an endpoint as a job
 * of one task.
 *
 * A request ends with its caller's connection to this entry, so it needs no
 * claim: its id is unique to this incarnation and is sent to one runner at a
 * time. A request whose result is lost is retried only if it is idempotent, at
 * most twice, within the retry budget and before its deadline.
 */
export class RequestTable {
  private readonly _options: RequestTableOptions;
  private readonly _ctx: EntryContext;
  private readonly _requests = new Map<string, OpenRequest>();
  private readonly _budget = new RetryBudget();
  private _nextId = 1;

  /** @param options - Context and callbacks. */
  constructor(options: RequestTableOptions) {
    this._options = options;
    this._ctx = options.ctx;
  }

  /** Number of unanswered requests. */
  get openCount(): number {
    return this._requests.size;
  }

  /**
   * @param request - An admitted request.
   * @param replyId - Identifies the caller that waits for the reply.
   */
  add(request: EndpointRequest, replyId: number): void {
    const { endpoint, payload, idempotent, contentType, ...rest } = request;
    const id = `${this._ctx.options.incarnation}:r${String(this._nextId++)}`;
    const job = new Job({
      spec: { ...rest, id, digest: '', tasks: [{ endpoint, payload }] },
      kind: TaskKind.REQUEST,
      idempotent,
      contentType,
    });
    this._budget.onAttempt();
    this._requests.set(id, {
      job,
      replyId,
      attempts: 1,
      retryAtMs: undefined,
    });
    this._options.onOpen(job);
  }

  /**
   * Answers a request that has ended, or schedules its next attempt.
   *
   * @param job - A request whose task has changed state.
   * @param now - Current time in milliseconds.
   */
  onChanged(job: Job, now: number): void {
    const open = this._requests.get(job.spec.id);
    if (!open) {
      return;
    }
    if (!job.outcome && !this._scheduleRetry(open, now)) {
      job.fail(
        FailureReason.TaskLost,
        'The request may have run and its result is lost.',
      );
    }
    this._answerIfDecided(open);
  }

  /**
   * Fails requests whose deadline has passed and starts due retries.
   *
   * @param now - Current time in milliseconds.
   */
  tick(now: number): void {
    for (const open of [...this._requests.values()]) {
      if (open.job.spec.deadlineMs <= now) {
        open.job.fail(FailureReason.Deadline, 'The deadline passed.');
        this._answerIfDecided(open);
      } else if (open.retryAtMs !== undefined && open.retryAtMs <= now) {
        open.retryAtMs = undefined;
        this._options.onRetry(open.job);
      }
    }
  }

  /** @param replyId - Identifies a caller that has disconnected. */
  onCallerDisconnected(replyId: number): void {
    for (const open of [...this._requests.values()]) {
      if (open.replyId === replyId) {
        open.job.fail(FailureReason.Cancelled, 'The caller is gone.');
        this._answerIfDecided(open);
      }
    }
  }

  /** Fails all open requests, because this entry incarnation was replaced. */
  failAll(): void {
    for (const open of [...this._requests.values()]) {
      open.job.fail(FailureReason.TaskLost, 'The entry has been replaced.');
      this._answerIfDecided(open);
    }
  }

  private _scheduleRetry(open: OpenRequest, now: number): boolean {
    if (open.retryAtMs !== undefined) {
      return true;
    }
    if (open.attempts >= MAX_ATTEMPTS || !this._budget.takeRetry()) {
      return false;
    }
    const limitMs = Math.min(
      MAX_RETRY_DELAY_MS,
      INITIAL_RETRY_DELAY_MS * 2 ** open.attempts,
    );
    open.attempts += 1;
    open.retryAtMs = now + limitMs * this._ctx.options.random();
    return true;
  }

  private _answerIfDecided(open: OpenRequest): void {
    const { outcome } = open.job;
    if (!outcome) {
      return;
    }
    this._requests.delete(open.job.spec.id);
    this._ctx.emit({
      kind: 'reply',
      replyId: open.replyId,
      reply: toReply(outcome, open.attempts > 1),
    });
    this._options.onAnswered(open.job);
  }
}

const toReply = (outcome: Outcome, wasRetried: boolean): Reply => {
  if (outcome.kind === 'complete') {
    const answer = outcome.answers[0];
    if (!answer) {
      throw new Error('Complete request outcome: expected 1 answer, got 0.');
    }
    const { status, contentType } = answer;
    const body = Buffer.from(answer.body, 'base64');
    return { kind: 'answer', status, contentType, body };
  }
  const lastRunState = outcome.runStates[0] ?? RunState.MAY_HAVE_RUN;
  // An earlier attempt of an idempotent request may have run.
  const runState = wasRetried ? RunState.MAY_HAVE_RUN : lastRunState;
  return errorReply({
    code:
      outcome.reason === FailureReason.Deadline
        ? ErrorCode.Deadline
        : ErrorCode.Lost,
    detail: outcome.detail,
    runState,
    retryAfterMs: RETRY_AFTER_MS,
  });
};
