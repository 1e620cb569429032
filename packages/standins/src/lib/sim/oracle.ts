import { RunState } from '@sapphiremux/core';
import type { JobStatus, Outcome, Reply } from '@sapphiremux/core';

/** Bound of the brief's "a few seconds". */
export const FEW_SECONDS_MS = 5000;

/** A promise that was not kept. */
export interface Violation {
  readonly promise: string;
  readonly atMs: number;
  readonly detail: string;
}

interface Start {
  readonly atMs: number;
  readonly place: string;
}

/** Something that must not start work while it is out. */
interface Outage {
  readonly place: string;
  readonly fromMs: number;
  untilMs: number;
}

/**
 * Knows only the promises of the product, and compares what endpoints saw
 * with what callers were told.
 */
export class Oracle {
  readonly violations: Violation[] = [];
  private readonly _starts = new Map<string, Start[]>();
  private readonly _outcomes = new Map<string, string>();
  private readonly _notRun = new Map<string, number>();
  private readonly _outages: Outage[] = [];
  private readonly _versions = new Map<string, number>();

  /**
   * @param id - A job.
   * @returns The outcome that its callers were told.
   */
  outcomeOf(id: string): Outcome | undefined {
    const text = this._outcomes.get(id);
    return text === undefined ? undefined : (JSON.parse(text) as Outcome);
  }

  /**
   * An endpoint has received a task.
   *
   * @param key - The task.
   * @param places - Data centre and runner where it starts.
   * @param mayRepeat - Whether the task is allowed to run again.
   * @param atMs - Virtual time.
   */
  onStart(
    key: string,
    places: readonly string[],
    mayRepeat: boolean,
    atMs: number,
  ): void {
    const starts = this._starts.get(key) ?? [];
    starts.push({ atMs, place: places.join(' ') });
    this._starts.set(key, starts);
    if (starts.length > 1 && !mayRepeat) {
      const seen = starts.map((s) => `${String(s.atMs)} at ${s.place}`);
      this.report('starts at most once', atMs, `${key}: ${seen.join(', ')}`);
    }
    if (this._notRun.has(key)) {
      this.report('"not run" is true', atMs, `${key} starts after all`);
    }
    for (const outage of this._outages) {
      if (places.includes(outage.place) && isLate(outage, atMs)) {
        const out = `${outage.place} is out since ${String(outage.fromMs)}`;
        this.report('no start where taken out', atMs, `${key}: ${out}`);
      }
    }
  }

  /**
   * A caller was told that a task did not run.
   *
   * @param key - The task.
   * @param atMs - Virtual time.
   */
  onNotRun(key: string, atMs: number): void {
    this._notRun.set(key, atMs);
    if (this._starts.has(key)) {
      this.report('"not run" is true', atMs, `${key} had started`);
    }
  }

  /**
   * A caller may be served again after a true refusal.
   *
   * @param key - The task that is submitted once more.
   */
  onSubmittedAgain(key: string): void {
    this._notRun.delete(key);
  }

  /**
   * A caller was told the state of a job.
   *
   * @param id - The job that the caller asked for.
   * @param status - What it was told.
   * @param atMs - Virtual time.
   */
  onStatus(id: string, status: JobStatus, atMs: number): void {
    if (status.id !== id) {
      this.report('own answer', atMs, `${id} got the answer of ${status.id}`);
    }
    if (!status.outcome) {
      return;
    }
    const text = JSON.stringify(status.outcome);
    const before = this._outcomes.get(id);
    if (before !== undefined && before !== text) {
      this.report('one outcome', atMs, `${id}: ${before} then ${text}`);
    }
    if (before === undefined) {
      this._outcomes.set(id, text);
      this._checkOutcome(id, status, status.outcome, atMs);
    }
  }

  /**
   * A caller was answered by an endpoint.
   *
   * @param payload - What the caller had sent.
   * @param reply - The answer.
   * @param atMs - Virtual time.
   */
  onAnswer(
    payload: string,
    reply: Extract<Reply, { kind: 'answer' }>,
    atMs: number,
  ): void {
    if (reply.body.toString() !== payload) {
      const got = reply.body.toString();
      this.report('own answer', atMs, `sent ${payload}, received ${got}`);
    }
  }

  /**
   * Operators have been told that something is out of service.
   *
   * @param place - A data centre or a runner with its endpoint.
   * @param atMs - Virtual time.
   */
  onTakenOut(place: string, atMs: number): void {
    this._outages.push({ place, fromMs: atMs, untilMs: Infinity });
  }

  /**
   * Something is about to return to service.
   *
   * @param place - A data centre or a runner with its endpoint.
   * @param atMs - Virtual time.
   */
  onReturning(place: string, atMs: number): void {
    for (const outage of this._outages) {
      if (outage.place === place) {
        outage.untilMs = Math.min(outage.untilMs, atMs);
      }
    }
  }

  /**
   * A process has a version of the configuration in force.
   *
   * @param incarnation - The process.
   * @param version - The version.
   * @param atMs - Virtual time.
   */
  onVersion(incarnation: string, version: number, atMs: number): void {
    const before = this._versions.get(incarnation) ?? 0;
    if (version < before) {
      const detail = `${incarnation}: ${String(before)} to ${String(version)}`;
      this.report('configuration never reverts', atMs, detail);
    }
    this._versions.set(incarnation, version);
  }

  /**
   * @param promise - The promise that is not kept.
   * @param atMs - Virtual time.
   * @param detail - What was seen.
   */
  report(promise: string, atMs: number, detail: string): void {
    this.violations.push({ promise, atMs, detail });
  }

  private _checkOutcome(
    id: string,
    status: JobStatus,
    outcome: Outcome,
    atMs: number,
  ): void {
    if (outcome.kind === 'complete') {
      this._checkComplete(id, status, outcome, atMs);
      return;
    }
    outcome.runStates.forEach((state, index) => {
      const key = `${id}#${String(index)}`;
      if (state === RunState.NOT_RUN) {
        this.onNotRun(key, atMs);
      }
      if (state === RunState.RAN && !this._starts.has(key)) {
        this.report('"ran" is true', atMs, `${key} never started`);
      }
    });
    if (outcome.runStates.length !== status.taskCount) {
      this.report('complete or failed', atMs, `${id}: states are missing`);
    }
  }

  private _checkComplete(
    id: string,
    status: JobStatus,
    outcome: Extract<Outcome, { kind: 'complete' }>,
    atMs: number,
  ): void {
    if (outcome.answers.length !== status.taskCount) {
      this.report('complete or failed', atMs, `${id}: answers are missing`);
    }
    outcome.answers.forEach((answer, index) => {
      const key = `${id}#${String(index)}`;
      const body = Buffer.from(answer.body, 'base64').toString();
      if (body !== key) {
        this.report('own answer', atMs, `${key} received ${body}`);
      }
      if (!this._starts.has(key)) {
        this.report('complete or failed', atMs, `${key} never started`);
      }
    });
  }
}

const isLate = (outage: Outage, atMs: number): boolean =>
  atMs > outage.fromMs + FEW_SECONDS_MS && atMs < outage.untilMs;
