import { RunState, TaskKind } from '../messages.js';
import type { ResultMessage } from '../messages.js';
import type { JobSpec } from './job-spec.js';
import { FailureReason } from './outcome.js';
import type { Outcome, TaskAnswer } from './outcome.js';

/**
 * An answer with this HTTP status or a higher one fails a job. The caller of a
 * request receives an answer with any status.
 */
const FIRST_ERROR_STATUS = 300;

/** State of one task, as known to the owner of its job. */
export type TaskState =
  | { readonly kind: 'waiting' }
  /** Sent to a runner, which may run it at any time. */
  | { readonly kind: 'sent'; readonly runner: string }
  | { readonly kind: 'done'; readonly answer: TaskAnswer }
  | { readonly kind: 'failed'; readonly state: RunState };

const WAITING: TaskState = { kind: 'waiting' };

/** Options of {@link Job}. */
export interface JobOptions {
  readonly spec: JobSpec;
  readonly kind?: TaskKind;
  /** Allows a task that may have run to be started again. */
  readonly idempotent?: boolean;
  readonly epoch?: number;
  /** Task states collected by a takeover, one per task. */
  readonly states?: readonly TaskState[];
  /** Media type of the payloads. */
  readonly contentType?: string;
}

/**
 * Tracks the tasks of a job, or of a request as a job with one task, at the
 * entry that owns it, and decides the outcome.
 *
 * The outcome is decided exactly once, by the first failure or the last answer;
 * results that arrive later are ignored.
 */
export class Job {
  readonly spec: JobSpec;
  readonly kind: TaskKind;
  readonly idempotent: boolean;
  readonly epoch: number;
  readonly contentType: string;
  /** Keys of all runner incarnations to which a task was sent. */
  readonly runners = new Set<string>();
  private readonly _states: TaskState[];
  private _done = 0;
  private _outcome: Outcome | undefined;

  /** @param options - The submission and the known states of its tasks. */
  constructor(options: JobOptions) {
    this.spec = options.spec;
    this.kind = options.kind ?? TaskKind.JOB;
    this.idempotent = options.idempotent ?? false;
    this.epoch = options.epoch ?? 1;
    this.contentType = options.contentType ?? 'application/json';
    for (const state of options.states ?? []) {
      if (state.kind === 'sent') {
        this.runners.add(state.runner);
      }
    }
    this._states = options.states
      ? [...options.states]
      : options.spec.tasks.map(() => WAITING);
    this._done = this._states.filter((s) => s.kind === 'done').length;
    this._completeIfAllDone();
  }

  /** The final state, once it is decided. */
  get outcome(): Outcome | undefined {
    return this._outcome;
  }

  /** Number of tasks whose answer has arrived. */
  get doneCount(): number {
    return this._done;
  }

  /**
   * @param index - Position of the task.
   * @returns State of the task.
   */
  state(index: number): TaskState {
    return this._states[index] ?? WAITING;
  }

  /** @returns Positions of the tasks that wait for placement. */
  waitingTasks(): number[] {
    return this._indexesOf('waiting');
  }

  /** @returns Positions of the tasks that a runner holds. */
  sentTasks(): number[] {
    return this._indexesOf('sent');
  }

  /**
   * Records that a start is about to be sent.
   *
   * @param index - Position of the task.
   * @param runner - Key of the runner incarnation that receives it.
   */
  markSent(index: number, runner: string): void {
    this._states[index] = { kind: 'sent', runner };
    this.runners.add(runner);
  }

  /**
   * Records proof that a sent task did not run, so that it is placed again.
   *
   * @param index - Position of the task.
   */
  markNotRun(index: number): void {
    if (this.state(index).kind === 'sent') {
      this._states[index] = WAITING;
    }
  }

  /**
   * Records the endpoint's answer, or that the answer was lost.
   *
   * @param result - The result as reported by the runner.
   */
  markResult(result: ResultMessage): void {
    if (this._outcome || this.state(result.index).kind !== 'sent') {
      return;
    }
    if (result.state !== RunState.RAN) {
      this.markLost(result.index, result.detail);
      return;
    }
    if (result.status >= FIRST_ERROR_STATUS && this.kind === TaskKind.JOB) {
      this._states[result.index] = { kind: 'failed', state: RunState.RAN };
      this.fail(
        FailureReason.EndpointError,
        `Task ${String(result.index)}: the endpoint answered with status ${String(result.status)}.`,
      );
      return;
    }
    this._states[result.index] = { kind: 'done', answer: toAnswer(result) };
    this._done += 1;
    this._completeIfAllDone();
  }

  /**
   * Records that a sent task may have run and that its result is lost. The job
   * fails, unless the task may be started again.
   *
   * @param index - Position of the task.
   * @param detail - Explanation for the caller.
   */
  markLost(index: number, detail: string): void {
    if (this._outcome) {
      return;
    }
    if (this.idempotent) {
      this._states[index] = WAITING;
      return;
    }
    this._states[index] = { kind: 'failed', state: RunState.MAY_HAVE_RUN };
    this.fail(
      FailureReason.TaskLost,
      `Task ${String(index)} may have run: ${detail}`,
    );
  }

  /**
   * Decides that the job has failed, unless its outcome is already decided.
   *
   * @param reason - Why the job has failed.
   * @param detail - Explanation for the caller, as a sentence.
   */
  fail(reason: FailureReason, detail: string): void {
    this._outcome ??= {
      kind: 'failed',
      reason,
      detail,
      runStates: this._states.map(runStateOf),
    };
  }

  private _completeIfAllDone(): void {
    if (this._outcome || this._done < this._states.length) {
      return;
    }
    const answers: TaskAnswer[] = [];
    for (const state of this._states) {
      if (state.kind === 'done') {
        answers.push(state.answer);
      }
    }
    this._outcome = { kind: 'complete', answers };
  }

  private _indexesOf(kind: TaskState['kind']): number[] {
    const found: number[] = [];
    for (let i = 0; i < this._states.length; i++) {
      if (this._states[i]?.kind === kind) {
        found.push(i);
      }
    }
    return found;
  }
}

/**
 * @param state - State of a task at the owner of its job.
 * @returns The run state to report to the caller.
 */
export const runStateOf = (state: TaskState): RunState => {
  switch (state.kind) {
    case 'waiting':
      return RunState.NOT_RUN;
    case 'sent':
      return RunState.MAY_HAVE_RUN;
    case 'done':
      return RunState.RAN;
    case 'failed':
      return state.state;
  }
};

/**
 * @param result - An endpoint's complete answer.
 * @returns The answer in its stored form.
 */
export const toAnswer = (result: ResultMessage): TaskAnswer => ({
  status: result.status,
  contentType: result.contentType,
  body: Buffer.from(result.body).toString('base64'),
});
