import { BatchJob } from '../request/batch-job.js';
import type { BatchContent } from '../request/batch-job.js';
import type { RouteTable } from '../version/route-table.js';
import type { ServiceLoad } from '../scheduling/overload-control.js';
import { SubmitRefusal } from './batch-events.js';
import type { BatchEvent, BatchReply, LogFields } from './batch-events.js';
import type { JobPlacer, UnservedJob } from './job-placer.js';
import type { RecordedJob } from './job-recorder.js';
import type { EndedJob, OwnedJob } from './owned-job.js';

/** Retry-after of a refusal for any reason except overload. */
export const DEFAULT_RETRY_AFTER_MS = 1000;
/** Part of a caller's deadline that is reserved for delivering the reply. */
export const REPLY_MARGIN_MS = 100;
/**
 * Safety factor on the estimated duration of a volatile job that arrives during a
 * planned stop. It is accepted only if it is expected to end while the entry still
 * waits for its jobs.
 */
const STOP_ESTIMATE_FACTOR = 1.6;
/** Time that such a job may take longer, for example to get capacity. */
const STOP_WAIT_ALLOWANCE_MS = 400;

/** Progress of a planned stop. */
export interface StopState {
  /** Time until which the entry waits for its jobs, if a stop has begun. */
  readonly drainsUntilMs: number | undefined;
  /** Whether the entry takes no jobs any more. */
  readonly refusesAll: boolean;
}

/** Options of {@link VolatileAdmission}. */
export interface VolatileAdmissionOptions {
  readonly routes: RouteTable;
  readonly placer: JobPlacer;
  /** Jobs that the entry runs, by id. */
  readonly jobs: ReadonlyMap<string, OwnedJob>;
  /** Jobs that have ended, by id. */
  readonly ended: ReadonlyMap<string, EndedJob>;
  readonly stopState: () => StopState;
  /** Returns the workers at which runs of other entries may begin late. */
  readonly lateWorkersOf: (id: string, now: number) => readonly string[];
  readonly add: (
    job: BatchJob,
    record: RecordedJob,
    deadlineMs: number,
  ) => OwnedJob;
  /** Called with each accepted job. */
  readonly onAccepted: (ownedJob: OwnedJob, now: number) => void;
  /** Removes a job that is refused. */
  readonly remove: (ownedJob: OwnedJob, now: number) => void;
  /** Ends a job whose runs may have begun. */
  readonly abandon: (ownedJob: OwnedJob, reason: string, now: number) => void;
  readonly reply: (replyId: number, reply: BatchReply) => void;
  readonly log: (message: string, fields: LogFields) => void;
}

/**
 * Accepts and refuses volatile jobs: at their submission, and while they wait,
 * as soon as it is known that they can't be served in time.
 */
export class VolatileAdmission {
  private readonly _options: VolatileAdmissionOptions;

  /** @param options - Jobs, placement and callbacks. */
  constructor(options: VolatileAdmissionOptions) {
    this._options = options;
  }

  /**
   * Accepts or refuses a volatile job. It is not recorded, and is abandoned when
   * its last caller disconnects.
   *
   * @param event - The submission.
   * @param now - Current time in milliseconds.
   */
  onSubmit(event: Extract<BatchEvent, { kind: 'submit' }>, now: number): void {
    const { id, replyId, content, deadlineMs } = event;
    const { jobs, ended, routes, reply, log } = this._options;
    const known = jobs.get(id);
    if (known) {
      known.endReplies.push(replyId);
      return;
    }
    const endedJob = ended.get(id);
    if (endedJob) {
      reply(replyId, { kind: 'ended', state: endedJob.state });
      return;
    }
    const lateWorkers = this._options.lateWorkersOf(id, now);
    if (lateWorkers.length > 0) {
      log('job not started, another run of it may begin late', {
        job: id,
        workers: lateWorkers.join(' '),
      });
      const detail = 'an earlier run of the job may still begin';
      reply(replyId, { kind: 'in-doubt', detail });
      return;
    }
    if (this._isStopping(content, now)) {
      const reason = SubmitRefusal.Stopping;
      const retryAfterMs = DEFAULT_RETRY_AFTER_MS;
      log('job refused', { job: id, reason, queue: content.queue });
      reply(replyId, { kind: 'refused', reason, retryAfterMs });
      return;
    }
    const ownedJob = this._options.add(
      new BatchJob({ id, content, epoch: 0, acceptedAtMs: now }),
      { id, version: 0, hasProgressRow: false, progressVersion: 0 },
      deadlineMs - REPLY_MARGIN_MS,
    );
    ownedJob.endReplies.push(replyId);
    log('job accepted', {
      job: id,
      queue: content.queue,
      config: routes.version ?? 0,
      tasks: ownedJob.job.tasks.length,
      waitMs: Math.round(deadlineMs - now),
    });
    // The job may have been sent to another entry before.
    this._options.onAccepted(ownedJob, now);
  }

  /**
   * Answers the callers of jobs that are not served.
   *
   * @param unserved - Volatile jobs and the reasons; a job may occur twice.
   * @param now - Current time in milliseconds.
   */
  refuse(unserved: readonly UnservedJob[], now: number): void {
    const { jobs, placer, abandon, remove, reply, log } = this._options;
    const loads = new Map<string, ServiceLoad>();
    for (const { ownedJob, reason } of unserved) {
      const { job, id, endReplies } = ownedJob;
      if (jobs.get(id) !== ownedJob) {
        continue;
      }
      if (job.mayHaveBegun) {
        abandon(ownedJob, 'too late to be of use', now);
        continue;
      }
      const { queue, service, priority } = job.content;
      const load = loads.get(service) ?? placer.overload.loadOf(service, now);
      loads.set(service, load);
      const retryAfterMs =
        reason === SubmitRefusal.Overload
          ? placer.overload.retryAfterMs(load)
          : DEFAULT_RETRY_AFTER_MS;
      log('job refused', {
        job: id,
        reason,
        queue,
        priority,
        waitedMs: Math.round(now - job.acceptedAtMs),
        waitingJobs: placer.size,
        workCoreMs: Math.round(placer.workOf(ownedJob)),
        backlogCoreMs: Math.round(load.backlog),
        ...(load.serviceRate === undefined
          ? {}
          : { serviceRate: Number(load.serviceRate.toFixed(1)) }),
        retryAfterMs,
      });
      placer.overload.onRefused(job.content, now);
      remove(ownedJob, now);
      for (const replyId of endReplies) {
        reply(replyId, { kind: 'refused', reason, retryAfterMs });
      }
    }
  }

  /** Whether a planned stop has begun that the job would outlast. */
  private _isStopping(content: BatchContent, now: number): boolean {
    const { drainsUntilMs, refusesAll } = this._options.stopState();
    if (refusesAll || drainsUntilMs === undefined) {
      return refusesAll;
    }
    const expectedMs = this._options.placer.expectedMs(content);
    const endsMs =
      now + STOP_ESTIMATE_FACTOR * expectedMs + STOP_WAIT_ALLOWANCE_MS;
    return endsMs > drainsUntilMs;
  }
}

/**
 * Reply to the callers of a volatile job that this entry gives up. A job that
 * has not begun never will, so its callers may submit it again.
 *
 * @param ownedJob - The job.
 * @param detail - Why it is given up.
 * @returns The reply.
 */
export const abandonedReply = (
  ownedJob: OwnedJob,
  detail: string,
): BatchReply =>
  ownedJob.job.mayHaveBegun
    ? { kind: 'in-doubt', detail }
    : {
        kind: 'refused',
        reason: SubmitRefusal.Abandoned,
        retryAfterMs: DEFAULT_RETRY_AFTER_MS,
      };
