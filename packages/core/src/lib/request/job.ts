import { RunState, TaskKind } from '../messages.js';
import type { ResultMessage } from '../messages.js';
import type { JobSpec } from './job-spec.js';
import { FailureReason } from './outcome.js';
import type { Outcome, TaskAnswer } from './outcome.js';

const FIRST_ERROR_STATUS = 300;

/** What an owner knows of one task. */
export type TaskState =
  | { readonly kind: 'waiting' }
  /** Handed to a runner; it may run there at any moment. */
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
  /** States found by a takeover, one a task. */
  readonly states?: readonly TaskState[];
  /** Media type of the payloads. */
  readonly contentType?: string;
}

/**
 * A job, or a single request as a job of one task, in the hands of its owner.
 *
 * The outcome is decided exactly once: the first failure or the last answer
 * decides it, and everything that arrives later is ignored.
 */
export class Job {
  readonly spec: JobSpec;
  readonly kind: TaskKind;
  readonly idempotent: boolean;
  readonly epoch: number;
  readonly contentType: string;
  /** Keys of all runner incarnations that were sent a task. */
  readonly runners = new Set<string>();
  private readonly _states: TaskState[];
  private _done = 0;
  private _outcome: Outcome | undefined;

  /** @param options - The submission and what is known of its tasks. */
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
   * @returns What is known of the task.
   */
  state(index: number): TaskState {
    return this._states[index] ?? WAITING;
  }

  /** @returns The positions of the tasks that wait to be placed. */
  waitingTasks(): number[] {
    return this._indexesOf('waiting');
  }

  /** @returns The positions of the tasks that a runner holds. */
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
   * Records a proof that the task did not run, so that it may be placed again.
   *
   * @param index - Position of the task.
   */
  markNotRun(index: number): void {
    if (this.state(index).kind === 'sent') {
      this._states[index] = WAITING;
    }
  }

  /**
   * Records the endpoint's answer or the loss of it.
   *
   * @param result - What the runner reported.
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
   * Records that a sent task may have run and can't be asked about any more.
   *
   * @param index - Position of the task.
   * @param detail - What happened, for the caller.
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
   * Decides that the job has failed, unless its outcome is decided already.
   *
   * @param reason - Why the job is given up.
   * @param detail - A sentence for the caller.
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
 * @param state - What the owner knows of a task.
 * @returns What a caller may conclude from it.
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
 * @param result - An endpoint's whole answer.
 * @returns The answer in the form in which it is stored.
 */
export const toAnswer = (result: ResultMessage): TaskAnswer => ({
  status: result.status,
  contentType: result.contentType,
  body: Buffer.from(result.body).toString('base64'),
});
