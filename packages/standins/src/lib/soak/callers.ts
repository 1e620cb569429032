import { setTimeout as delay } from 'node:timers/promises';
import { CONNECTION_FAILED, openCall } from '../platform/desk-client.js';
import type { DeskCall, DeskReply } from '../platform/desk-client.js';
import type { FleetCluster } from '../platform/fleet-cluster.js';
import { FLEET_HOST } from '../platform/fleet-settings.js';
import type { Disturbances } from './disturbances.js';
import { newJobRecord } from './job-record.js';
import type { Attempt, JobRecord, Violation } from './job-record.js';
import type { PlannedStops } from './planned-stops.js';
import type { Disconnection, SeededRandom } from './plan.js';

/** Options of {@link Callers}. */
export interface CallersOptions {
  readonly cluster: FleetCluster;
  readonly entries: number;
  readonly random: SeededRandom;
  readonly disturbances: Disturbances;
  readonly stops: PlannedStops;
  /** Receives what callers do and see. */
  readonly log: (event: string, fields: object) => void;
}

/** An attempt whose caller may abandon it. */
interface OpenAttempt {
  readonly call: DeskCall;
  readonly job: JobRecord;
  readonly entry: number;
}

const HTTP_OK = 200;
const HTTP_GONE = 410;
const HTTP_BAD_GATEWAY = 502;
const HTTP_GATEWAY_TIMEOUT = 504;
const DEADLINE_MS = 4000;
/** Time by which a reply may exceed the deadline. */
const DEADLINE_SLACK_MS = 1000;
/** Wait before a job is sent again (`resend_ms` of the platform). */
const RESEND_MS = 1300;
/** Time after which a request that was sent counts as read (`loss_slack_ms`). */
const READ_MS = 200;
const MAX_ATTEMPTS = 6;
const MEAN_GAP_MS = 70;
/** Time until all entries know an accepted job (`visible_ms` of the platform). */
const VISIBLE_MS = 3000;
const MAX_POLL_GAP_MS = 1200;

/**
 * Submits jobs over connections that stay open, sends them again as the
 * platform's callers do, and reads the states of recorded jobs until they end.
 */
export class Callers {
  readonly jobs = new Map<string, JobRecord>();
  readonly violations: Violation[] = [];
  /** Number of calls that have ended. */
  checkedCount = 0;
  /** Number of calls that ended while their entry was stopping as planned. */
  stoppingCount = 0;
  private readonly _options: CallersOptions;
  private readonly _open = new Set<OpenAttempt>();
  private readonly _pending = new Set<Promise<void>>();
  private _isSubmitting = true;
  private _isClosed = false;

  /** @param options - The cluster and sources of chance and logs. */
  constructor(options: CallersOptions) {
    this._options = options;
  }

  /** Submits jobs to all entries until {@link stop} is called. */
  async submitJobs(): Promise<void> {
    const { random, entries } = this._options;
    while (this._isSubmitting) {
      const job = this._newJob(random.chance(0.6));
      this._track(this._submit(job, random.integer(0, entries - 1)));
      await delay(random.integer(0, 2 * MEAN_GAP_MS));
    }
  }

  /** Stops new jobs. Those submitted go on until they have ended. */
  stop(): void {
    this._isSubmitting = false;
  }

  /** @returns Once all jobs have ended, or the time in milliseconds is over. */
  async waitForJobs(timeoutMs: number): Promise<void> {
    const endsAtMs = Date.now() + timeoutMs;
    while (this._pending.size > 0 && Date.now() < endsAtMs) {
      await delay(100);
    }
    this._isClosed = true;
    for (const job of this.jobs.values()) {
      const isAccepted = Number.isFinite(job.acceptedAtMs);
      if (isAccepted && job.finalState === '') {
        const detail = `${String(timeoutMs)} ms after the last fault`;
        this._report('an accepted job ends', job, detail);
      }
    }
  }

  /**
   * Abandons all open submissions to an entry.
   *
   * @returns The number of abandoned submissions.
   */
  abandon(entry: number, how: Disconnection): number {
    const attempts = [...this._open].filter((open) => open.entry === entry);
    for (const { call } of attempts) {
      call[how]();
    }
    return attempts.length;
  }

  /**
   * Submits volatile jobs to an entry that is paused, and abandons them.
   *
   * @param entry - Index of the entry.
   * @param count - Number of jobs.
   * @param how - How the callers abandon them.
   * @returns Sends the same jobs to another entry when called.
   */
  async submitUnread(
    entry: number,
    count: number,
    how: Disconnection,
  ): Promise<() => void> {
    const jobs = Array.from({ length: count }, () => this._newJob(true));
    const attempts = jobs.map((job) => this._attempt(job, entry));
    await delay(50);
    const ids = new Set(jobs);
    for (const { call, job } of this._open) {
      if (ids.has(job)) {
        call[how]();
      }
    }
    await Promise.all(attempts);
    return () => {
      for (const job of jobs) {
        this._track(this._submit(job, this._otherEntry(entry)));
      }
    };
  }

  private _newJob(isVolatile: boolean): JobRecord {
    const { random } = this._options;
    const hex = random.integer(0, 0xffff_ffff).toString(16).padStart(8, '0');
    const job = newJobRecord({
      // The number keeps ids apart; the rest spreads them over the parts.
      id: hex + this.jobs.size.toString(16).padStart(8, '0'),
      isVolatile,
      taskCounts: Array.from({ length: random.integer(1, 2) }, () =>
        random.integer(1, 4),
      ),
      runMs: random.integer(20, 700),
    });
    this.jobs.set(job.id, job);
    return job;
  }

  private _track(work: Promise<void>): void {
    this._pending.add(work);
    void work.finally(() => this._pending.delete(work));
  }

  private _otherEntry(entry: number): number {
    const { random, entries } = this._options;
    return entries === 1
      ? 0
      : (entry + random.integer(1, entries - 1)) % entries;
  }

  /** Submits a job, again after attempts without an answer. */
  private async _submit(job: JobRecord, firstEntry: number): Promise<void> {
    let entry = firstEntry;
    while (job.attempts.length < MAX_ATTEMPTS && !this._isClosed) {
      const { status, body, errorCode } = await this._attempt(job, entry);
      switch (status) {
        case HTTP_OK:
          return this._accept(job, body);
        case CONNECTION_FAILED:
        case HTTP_BAD_GATEWAY:
        case HTTP_GATEWAY_TIMEOUT:
          // An entry that refuses the connection has read nothing.
          await delay(errorCode === 'ECONNREFUSED' ? 0 : RESEND_MS);
          entry = this._otherEntry(entry);
          break;
        default:
          return;
      }
    }
  }

  private async _accept(job: JobRecord, body: unknown): Promise<void> {
    job.acceptedAtMs = Date.now();
    if (job.isVolatile) {
      this._end(job, stateOf(body));
      return;
    }
    const { random, entries } = this._options;
    if (random.chance(0.1)) {
      // A duplicate of an accepted submission may arrive late.
      await delay(RESEND_MS);
      await this._attempt(job, random.integer(0, entries - 1));
    }
    await this._pollState(job);
  }

  private async _pollState(job: JobRecord): Promise<void> {
    const { random, entries, disturbances } = this._options;
    while (!this._isClosed) {
      const entry = random.integer(0, entries - 1);
      const startedAtMs = Date.now();
      const call = this._openCall(job, entry);
      const { status, body } = await this._await(call, job, entry, 'read');
      const state = stateOf(body);
      if (status === HTTP_OK && (state === 'completed' || state === 'failed')) {
        this._end(job, state);
        return;
      }
      const isVisible =
        startedAtMs > job.acceptedAtMs + VISIBLE_MS &&
        disturbances.isCalmSince(nameOf(entry), startedAtMs) &&
        disturbances.isCalmSince('store', startedAtMs);
      if (status === HTTP_GONE && isVisible) {
        this._report(
          'an accepted job is known',
          job,
          `410 from ${nameOf(entry)}`,
        );
        return;
      }
      await delay(random.integer(100, MAX_POLL_GAP_MS));
    }
  }

  private async _attempt(job: JobRecord, entry: number): Promise<DeskReply> {
    const attempt: Attempt = {
      entry,
      startedAtMs: Date.now(),
      endedAtMs: Number.POSITIVE_INFINITY,
      status: CONNECTION_FAILED,
      isCutByStop: false,
    };
    job.attempts.push(attempt);
    const open = { call: this._openCall(job, entry, bodyOf(job)), job, entry };
    this._open.add(open);
    const reply = await this._await(open.call, job, entry, 'submit');
    this._open.delete(open);
    attempt.status = reply.status;
    attempt.endedAtMs = Date.now();
    attempt.isCutByStop = this._isCutByStop(reply, entry, attempt.startedAtMs);
    return reply;
  }

  private _openCall(job: JobRecord, entry: number, body?: object): DeskCall {
    return openCall({
      url: `${this._options.cluster.frontUrl(entry)}/short/${job.id}`,
      host: FLEET_HOST,
      method: body ? 'POST' : 'GET',
      body,
      deadlineMs: DEADLINE_MS,
    });
  }

  /** Waits for the reply of a call, and abandons the call when it is late. */
  private async _await(
    call: DeskCall,
    job: JobRecord,
    entry: number,
    kind: string,
  ): Promise<DeskReply> {
    const startedAtMs = Date.now();
    const name = nameOf(entry);
    const timer = setTimeout(() => {
      if (this._options.disturbances.isCalmSince(name, startedAtMs)) {
        const detail = `${kind} at ${name}`;
        this._report('each call ends by its deadline', job, detail);
      }
      call.close();
    }, DEADLINE_MS + DEADLINE_SLACK_MS);
    const reply = await call.reply;
    clearTimeout(timer);
    this.checkedCount += 1;
    const { status, errorCode } = reply;
    if (this._options.stops.mayClose(name)) {
      this.stoppingCount += 1;
    }
    const openMs = Date.now() - reply.sentAtMs;
    if (this._isCutByStop(reply, entry, startedAtMs) && openMs > READ_MS) {
      const detail = `${kind} at ${name}, ${errorCode} ${String(openMs)} ms after it was sent`;
      this._report(
        'a planned stop answers each call that it has read',
        job,
        detail,
      );
    }
    const state = stateOf(reply.body);
    const fields = {
      job: job.id,
      entry,
      startedAtMs,
      status,
      state,
      errorCode,
    };
    this._options.log(kind, fields);
    return reply;
  }

  /** @returns Whether nothing but a planned stop closed the connection. */
  private _isCutByStop(
    { status, sentAtMs }: DeskReply,
    entry: number,
    startedAtMs: number,
  ): boolean {
    const { stops, disturbances } = this._options;
    const name = nameOf(entry);
    return (
      status === CONNECTION_FAILED &&
      Number.isFinite(sentAtMs) &&
      Date.now() - startedAtMs < DEADLINE_MS &&
      stops.mayClose(name) &&
      disturbances.isUndisturbedSince(name, startedAtMs)
    );
  }

  private _end(job: JobRecord, state: string): void {
    job.finalState = state;
    job.endedAtMs = Date.now();
  }

  private _report(promise: string, job: JobRecord, detail: string): void {
    this.violations.push({ promise, job: job.id, detail });
  }
}

/** @returns Name of an entry process. */
const nameOf = (entry: number): string => `entry-${String(entry)}`;

const stateOf = (body: unknown): string =>
  (body as { state?: string } | undefined)?.state ?? '';

const bodyOf = ({ isVolatile, taskCounts, runMs }: JobRecord): object => ({
  ...(isVolatile ? { best_effort: true } : {}),
  spec: String(runMs),
  steps: taskCounts.map((count, step) => ({
    count,
    cpu: 1600,
    mem_mb: 64,
    estimate_ms: runMs,
    ...(step > 0 ? { after: [step - 1] } : {}),
  })),
});
