import type { JobSpec, TaskSpec } from '../request/job-spec.js';
import type { Configuration } from '../version/configuration.js';
import type { Refusal } from '../request/replies.js';
import { ErrorCode } from './entry-events.js';
import { fitsInto } from './resource-ledger.js';
import { TokenBucket } from './token-bucket.js';

/** Work to be admitted: a job, or a single request as a job of one task. */
export type AdmissionRequest = Pick<
  JobSpec,
  'desk' | 'deadlineMs' | 'dataCentres' | 'tasks'
>;

/** Options of {@link Admission}. */
export interface AdmissionOptions {
  /** @returns The configuration in force. */
  readonly config: () => Configuration;
  /** @returns Number of entries among which each quota is divided. */
  readonly entryCount: () => number;
  /** @returns Number of tasks that wait at this entry. */
  readonly waiting: () => number;
  /** Maximum number of tasks that may wait at this entry. */
  readonly maxWaiting?: number;
}

interface DeskBucket {
  /** Rate and burst; the bucket is replaced when either changes. */
  readonly key: string;
  readonly bucket: TokenBucket;
}

const DEFAULT_MAX_WAITING = 200_000;
const OVERLOAD_RETRY_AFTER_MS = 2000;

/**
 * Admission control of an entry: validates work against the configuration, and
 * enforces its deadline, the limit of waiting tasks and the quota of its desk.
 *
 * Work that could never run under the declared configuration is refused with
 * the reason; work that only can't run now is admitted and waits.
 */
export class Admission {
  private readonly _options: AdmissionOptions;
  private readonly _maxWaiting: number;
  private readonly _buckets = new Map<string, DeskBucket>();

  /** @param options - Sources of the values that decisions depend on. */
  constructor(options: AdmissionOptions) {
    this._options = options;
    this._maxWaiting = options.maxWaiting ?? DEFAULT_MAX_WAITING;
  }

  /**
   * Admits or refuses work. Admitted work is charged to its desk's quota.
   *
   * @param req - The work.
   * @param now - Current time in milliseconds.
   * @returns The refusal, or `undefined` if the work is admitted.
   */
  check(req: AdmissionRequest, now: number): Refusal | undefined {
    const impossible = findImpossibility(req, this._options.config());
    if (impossible) {
      return { code: ErrorCode.Invalid, detail: impossible };
    }
    if (req.deadlineMs <= now) {
      return { code: ErrorCode.Deadline, detail: 'The deadline has passed.' };
    }
    if (this._options.waiting() + req.tasks.length > this._maxWaiting) {
      return {
        code: ErrorCode.Unavailable,
        detail: 'Too many tasks wait at this entry.',
        retryAfterMs: OVERLOAD_RETRY_AFTER_MS,
      };
    }
    return this._checkQuota(req, now);
  }

  private _checkQuota(req: AdmissionRequest, now: number): Refusal | undefined {
    const bucket = this._bucketOf(req.desk, now);
    const count = req.tasks.length;
    if (!bucket || bucket.take(count, now)) {
      return undefined;
    }
    return {
      code: ErrorCode.OverQuota,
      detail: `Desk "${req.desk}" is over its quota.`,
      retryAfterMs: bucket.waitMs(count, now),
    };
  }

  private _bucketOf(desk: string, now: number): TokenBucket | undefined {
    const setting = this._options.config().desk(desk);
    if (!setting) {
      return undefined;
    }
    const share = 1 / Math.max(1, this._options.entryCount());
    const ratePerSecond = setting.ratePerSecond * share;
    const burst = setting.burst * share;
    const key = `${String(ratePerSecond)}/${String(burst)}`;
    let deskBucket = this._buckets.get(desk);
    if (deskBucket?.key !== key) {
      deskBucket = {
        key,
        bucket: new TokenBucket({ ratePerSecond, burst }, now),
      };
      this._buckets.set(desk, deskBucket);
    }
    return deskBucket.bucket;
  }
}

/**
 * @param req - Work to be admitted.
 * @param config - The configuration in force.
 * @returns Why the work can never run, or `undefined` if it can.
 */
export const findImpossibility = (
  req: AdmissionRequest,
  config: Configuration,
): string | undefined => {
  if (!config.desk(req.desk)) {
    return `Desk "${req.desk}" is not declared.`;
  }
  const unknown = req.dataCentres.find((name) => !config.dataCentre(name));
  if (unknown !== undefined) {
    return `Data centre "${unknown}" is not declared.`;
  }
  if (req.tasks.length === 0) {
    return 'A job needs at least one task.';
  }
  const seen = new Set<string>();
  for (const [index, task] of req.tasks.entries()) {
    const requirements = `${task.endpoint} ${JSON.stringify(task.needs)}`;
    if (seen.has(requirements)) {
      continue;
    }
    seen.add(requirements);
    const problem = findTaskImpossibility(task, req, config);
    if (problem) {
      return `Task ${String(index)}: ${problem}`;
    }
  }
  return undefined;
};

const findTaskImpossibility = (
  task: TaskSpec,
  req: AdmissionRequest,
  config: Configuration,
): string | undefined => {
  const endpoint = config.endpoint(task.endpoint);
  if (!endpoint) {
    return `endpoint "${task.endpoint}" is not declared.`;
  }
  const isInRequestedDataCentre =
    req.dataCentres.length === 0 ||
    endpoint.dataCentres.some((name) => req.dataCentres.includes(name));
  if (!isInRequestedDataCentre) {
    return `endpoint "${task.endpoint}" is in none of the job's data centres.`;
  }
  const shapes = config.workerShapes();
  const needs = task.needs;
  const fits =
    needs === undefined ||
    shapes.length === 0 ||
    shapes.some((shape) => fitsInto(needs, shape));
  return fits ? undefined : 'no declared worker could ever hold its resources.';
};
