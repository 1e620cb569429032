import type { Job } from '../request/job.js';
import type { JobSpec } from '../request/job-spec.js';
import type { Outcome } from '../request/outcome.js';
import { storeKeys } from '../store.js';
import type { Condition, Write } from '../store.js';
import type { EntryContext } from './entry-context.js';
import type { JobStatus } from './entry-events.js';
import { FIRST_EPOCH } from './rows.js';
import type { JobRow } from './rows.js';
import type { WriteOutcome } from './store-writer.js';

/** Dependencies of {@link JobRows}. */
export interface JobRowsOptions {
  readonly ctx: EntryContext;
  /** @returns A condition that holds while this incarnation may own jobs. */
  readonly ownerCondition: () => Condition;
}

/** Called with the outcome of a write. */
export type WriteHandler = (outcome: WriteOutcome, now: number) => void;

/**
 * Reads job rows and writes their claims, adoptions and outcomes.
 *
 * A submission or outcome that is too large for a row is stored as an object
 * before the row that names the object is written, so that every reader of the
 * row finds the object.
 */
export class JobRows {
  private readonly _ctx: EntryContext;
  private readonly _ownerCondition: () => Condition;
  private _nextNonce = 1;

  /** @param options - Context, and the condition of every write. */
  constructor(options: JobRowsOptions) {
    this._ctx = options.ctx;
    this._ownerCondition = options.ownerCondition;
  }

  /**
   * Claims a submission: inserts its job row, unless the row exists.
   *
   * @param spec - The submission.
   * @param abandonAtMs - When to abandon the claim.
   * @param onDone - Called with the outcome; `abandoned` guarantees that the
   * claim does not exist and never will.
   */
  claim(spec: JobSpec, abandonAtMs: number, onDone: WriteHandler): void {
    const { options, objects } = this._ctx;
    const submit = (content: Partial<JobRow>): void => {
      const row = { ...this._createRow(spec, FIRST_EPOCH), ...content };
      const openKey = storeKeys.open(options.incarnation, spec.id);
      const writes = [{ key: openKey, value: row.nonce }];
      this._submit(row, spec.id, 0, writes, onDone, abandonAtMs);
    };
    const text = JSON.stringify(spec);
    if (text.length <= options.rowLimitBytes) {
      submit({ spec });
      return;
    }
    const specKey = storeKeys.spec(spec.id, spec.digest);
    objects.put(specKey, text, abandonAtMs, (isStored, now) => {
      if (isStored) {
        submit({ specKey });
      } else {
        onDone({ kind: 'abandoned' }, now);
      }
    });
  }

  /**
   * Replaces the row of an open job with a row that holds its outcome.
   *
   * @param job - A job whose outcome is decided.
   * @param version - Current version of its row.
   * @param onDone - Called with the outcome of the write.
   */
  record(job: Job, version: number, onDone: WriteHandler): void {
    const { options, objects } = this._ctx;
    const { spec, epoch, outcome } = job;
    const submit = (content: Partial<JobRow>): void => {
      const row = { ...this._createRow(spec, epoch), ...content };
      const openKey = storeKeys.open(options.incarnation, spec.id);
      const writes = [{ key: openKey, value: null }];
      this._submit(row, spec.id, version, writes, onDone);
    };
    const text = JSON.stringify(outcome);
    if (text.length <= options.rowLimitBytes) {
      submit({ outcome });
      return;
    }
    const outcomeKey = storeKeys.outcome(spec.id, options.incarnation, epoch);
    objects.put(outcomeKey, text, Infinity, () => {
      submit({ outcomeKey });
    });
  }

  /**
   * Makes this entry the owner of an open job of a fenced owner.
   *
   * @param id - The job.
   * @param before - Its row.
   * @param version - Version of that row.
   * @param onDone - Called with the new row and the outcome of the write.
   */
  adopt(
    id: string,
    before: JobRow,
    version: number,
    onDone: (row: JobRow, outcome: WriteOutcome) => void,
  ): void {
    const { incarnation, address } = this._ctx.options;
    const row: JobRow = {
      ...before,
      owner: incarnation,
      address,
      epoch: before.epoch + 1,
      nonce: this._nonce(),
    };
    const writes = [
      { key: storeKeys.open(incarnation, id), value: row.nonce },
      { key: storeKeys.open(before.owner, id), value: null },
    ];
    this._submit(row, id, version, writes, (outcome) => {
      onDone(row, outcome);
    });
  }

  /**
   * Reads the submission of an open job.
   *
   * @param row - The row of the job.
   * @param onDone - Called with the submission, or `undefined` if it can't be
   * read now.
   */
  readSpec(row: JobRow, onDone: (spec: JobSpec | undefined) => void): void {
    if (row.specKey === undefined) {
      onDone(row.spec);
      return;
    }
    this._ctx.objects.get(row.specKey, (body) => {
      onDone(body === undefined ? undefined : (JSON.parse(body) as JobSpec));
    });
  }

  /**
   * Reads the status of a job.
   *
   * @param id - The job.
   * @param row - Its row.
   * @param onDone - Called with the status, or `undefined` if the outcome can't
   * be read now.
   */
  readStatus(
    id: string,
    row: JobRow,
    onDone: (status: JobStatus | undefined) => void,
  ): void {
    if (row.outcomeKey === undefined) {
      onDone(toStatus(id, row, row.outcome));
      return;
    }
    this._ctx.objects.get(row.outcomeKey, (body) => {
      const outcome =
        body === undefined ? undefined : (JSON.parse(body) as Outcome);
      onDone(outcome && toStatus(id, row, outcome));
    });
  }

  private _submit(
    row: JobRow,
    id: string,
    version: number,
    otherWrites: readonly Write[],
    onDone: WriteHandler,
    abandonAtMs?: number,
  ): void {
    const key = storeKeys.job(id);
    this._ctx.writer.submit({
      conditions: [{ key, version }, this._ownerCondition()],
      writes: [{ key, value: JSON.stringify(row) }, ...otherWrites],
      readBackKey: key,
      abandonAtMs,
      onDone,
    });
  }

  private _createRow(spec: JobSpec, epoch: number): JobRow {
    const { incarnation, address } = this._ctx.options;
    return {
      nonce: this._nonce(),
      owner: incarnation,
      address,
      epoch,
      digest: spec.digest,
      desk: spec.desk,
      taskCount: spec.tasks.length,
    };
  }

  private _nonce(): string {
    return `${this._ctx.options.incarnation}:j${String(this._nextNonce++)}`;
  }
}

const toStatus = (
  id: string,
  { desk, taskCount }: JobRow,
  outcome: Outcome | undefined,
): JobStatus => ({
  id,
  desk,
  taskCount,
  doneCount: outcome?.kind === 'complete' ? taskCount : 0,
  ...(outcome ? { outcome } : {}),
});
