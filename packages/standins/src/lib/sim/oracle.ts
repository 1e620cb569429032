import { RunState } from '@sapphiremux/core';
import type { JobStatus, Outcome, Reply } from '@sapphiremux/core';

/**
 * Maximum time from the acknowledgement that a data centre or runner is out of
 * service until starts there must have ceased; specified as a few seconds.
 */
export const DRAIN_LIMIT_MS = 5000;

/** A guarantee that was violated. */
export interface Violation {
  readonly guarantee: string;
  readonly atMs: number;
  readonly detail: string;
}

interface Start {
  readonly atMs: number;
  readonly location: string;
}

/** Period in which a data centre or runner must not start tasks. */
interface Outage {
  readonly location: string;
  readonly fromMs: number;
  untilMs: number;
}

/**
 * Checks the guarantees that callers and operators rely on. It compares the
 * task starts that endpoints observed with the replies that callers received,
 * and knows nothing of the implementation.
 */
export class Oracle {
  readonly violations: Violation[] = [];
  private readonly _starts = new Map<string, Start[]>();
  private readonly _outcomes = new Map<string, string>();
  private readonly _reportedNotRun = new Map<string, number>();
  private readonly _outages: Outage[] = [];
  private readonly _configVersions = new Map<string, number>();

  /**
   * @param id - Id of a job.
   * @returns The outcome that was reported to its callers, if any.
   */
  reportedOutcome(id: string): Outcome | undefined {
    const text = this._outcomes.get(id);
    return text === undefined ? undefined : (JSON.parse(text) as Outcome);
  }

  /**
   * Records that an endpoint received a task.
   *
   * @param key - Key of the task, which callers also send as its payload.
   * @param locations - Data centre and runner of the endpoint.
   * @param mayRepeat - Whether the task may run more than once.
   * @param atMs - Virtual time.
   */
  onStart(
    key: string,
    locations: readonly string[],
    mayRepeat: boolean,
    atMs: number,
  ): void {
    const starts = this._starts.get(key) ?? [];
    starts.push({ atMs, location: locations.join(' ') });
    this._starts.set(key, starts);
    if (starts.length > 1 && !mayRepeat) {
      const occurrences = starts.map(
        (s) => `${String(s.atMs)} at ${s.location}`,
      );
      this.report(
        'starts at most once',
        atMs,
        `${key}: ${occurrences.join(', ')}`,
      );
    }
    if (this._reportedNotRun.has(key)) {
      this.report(
        '"not run" is true',
        atMs,
        `${key} started after it was reported as not run`,
      );
    }
    for (const outage of this._outages) {
      if (
        locations.includes(outage.location) &&
        isProhibitedStart(outage, atMs)
      ) {
        const outageText = `${outage.location} is out of service since ${String(outage.fromMs)}`;
        this.report('no start where taken out', atMs, `${key}: ${outageText}`);
      }
    }
  }

  /**
   * Records that a task was reported to its caller as not run.
   *
   * @param key - Key of the task.
   * @param atMs - Virtual time.
   */
  onReportedNotRun(key: string, atMs: number): void {
    this._reportedNotRun.set(key, atMs);
    if (this._starts.has(key)) {
      this.report(
        '"not run" is true',
        atMs,
        `${key} was reported as not run after it had started`,
      );
    }
  }

  /**
   * Records that a caller submits a task again. An earlier report that the task
   * did not run no longer rules out a start.
   *
   * @param key - Key of the task.
   */
  onResubmitted(key: string): void {
    this._reportedNotRun.delete(key);
  }

  /**
   * Records that the state of a job was reported to a caller.
   *
   * @param id - Id of the job in the caller's query.
   * @param status - The reported state.
   * @param atMs - Virtual time.
   */
  onStatus(id: string, status: JobStatus, atMs: number): void {
    if (status.id !== id) {
      this.report(
        'own answer',
        atMs,
        `${id} received the status of ${status.id}`,
      );
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
   * Records the answer of an endpoint to a request.
   *
   * @param payload - Payload of the request.
   * @param reply - The answer, which must echo the payload.
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
   * Records that the removal of a location from service was acknowledged.
   *
   * @param location - A data centre or a runner with its endpoint.
   * @param atMs - Virtual time.
   */
  onOutOfService(location: string, atMs: number): void {
    this._outages.push({ location, fromMs: atMs, untilMs: Infinity });
  }

  /**
   * Records that a location may return to service from now on.
   *
   * @param location - A data centre or a runner with its endpoint.
   * @param atMs - Virtual time.
   */
  onReturnRequested(location: string, atMs: number): void {
    for (const outage of this._outages) {
      if (outage.location === location) {
        outage.untilMs = Math.min(outage.untilMs, atMs);
      }
    }
  }

  /**
   * Records the configuration version that a process has in force.
   *
   * @param incarnation - Incarnation of the process.
   * @param version - The configuration version.
   * @param atMs - Virtual time.
   */
  onConfigVersion(incarnation: string, version: number, atMs: number): void {
    const before = this._configVersions.get(incarnation) ?? 0;
    if (version < before) {
      const detail = `${incarnation}: ${String(before)} to ${String(version)}`;
      this.report('configuration never reverts', atMs, detail);
    }
    this._configVersions.set(incarnation, version);
  }

  /**
   * Records a violation.
   *
   * @param guarantee - The violated guarantee.
   * @param atMs - Virtual time.
   * @param detail - The observation that contradicts the guarantee.
   */
  report(guarantee: string, atMs: number, detail: string): void {
    this.violations.push({ guarantee, atMs, detail });
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
        this.onReportedNotRun(key, atMs);
      }
      if (state === RunState.RAN && !this._starts.has(key)) {
        this.report('"ran" is true', atMs, `${key} never started`);
      }
    });
    if (outcome.runStates.length !== status.taskCount) {
      this.report(
        'complete or failed',
        atMs,
        `${id}: one run state per task expected`,
      );
    }
  }

  private _checkComplete(
    id: string,
    status: JobStatus,
    outcome: Extract<Outcome, { kind: 'complete' }>,
    atMs: number,
  ): void {
    if (outcome.answers.length !== status.taskCount) {
      this.report(
        'complete or failed',
        atMs,
        `${id}: one answer per task expected`,
      );
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

const isProhibitedStart = (outage: Outage, atMs: number): boolean =>
  atMs > outage.fromMs + DRAIN_LIMIT_MS && atMs < outage.untilMs;
