import type { ResultMessage, StartMessage } from '../messages.js';

/** State of one task at a runner. */
export type RecordState =
  /** Accepted; waits for a free slot and has not been sent to the endpoint. */
  | { readonly kind: 'queued' }
  /** The endpoint has been called. */
  | { readonly kind: 'running'; readonly callId: number }
  | { readonly kind: 'done'; readonly result: ResultMessage };

/** Record of one accepted start. */
export interface RunRecord {
  /** The entry incarnation that is responsible for the task. */
  owner: string;
  readonly start: StartMessage;
  readonly startedAtMs: number;
  state: RecordState;
  /** The owner has recorded the outcome; the result is not needed any more. */
  released: boolean;
}

interface OwnerRecords {
  readonly jobs: Map<string, Map<number, RunRecord>>;
  /** Whether records expired before the owner released them. */
  incomplete: boolean;
}

/**
 * All starts that a runner has accepted and that their owners have not
 * released.
 *
 * A record is made before the endpoint is called, so that a resent start does
 * not run twice. It is therefore removed only when the start is refused after
 * all because it provably did not run, when the owner releases the job, whose
 * outcome is then recorded, or after the retention period. In the last case the
 * records of the owner are marked as incomplete.
 */
export class RunRecords {
  private readonly _owners = new Map<string, OwnerRecords>();

  /** @returns The record of a task, if the start was accepted. */
  get(owner: string, job: string, index: number): RunRecord | undefined {
    return this._owners.get(owner)?.jobs.get(job)?.get(index);
  }

  /** @param record - A newly accepted start. */
  add(record: RunRecord): void {
    const { jobs } = this._ownerRecords(record.owner);
    let tasks = jobs.get(record.start.job);
    if (!tasks) {
      tasks = new Map();
      jobs.set(record.start.job, tasks);
    }
    tasks.set(record.start.index, record);
  }

  /** @param record - A record of a task that did not run or is released. */
  remove(record: RunRecord): void {
    const jobs = this._owners.get(record.owner)?.jobs;
    const tasks = jobs?.get(record.start.job);
    tasks?.delete(record.start.index);
    if (tasks?.size === 0) {
      jobs?.delete(record.start.job);
    }
  }

  /**
   * Removes the finished records of a job and marks the others as released.
   *
   * @param owner - The entry incarnation that released the job.
   * @param job - The job.
   */
  release(owner: string, job: string): void {
    const tasks = this._owners.get(owner)?.jobs.get(job);
    for (const record of tasks?.values() ?? []) {
      record.released = true;
      if (record.state.kind === 'done') {
        this.remove(record);
      }
    }
  }

  /** @returns All records of an owner. */
  *of(owner: string): Generator<RunRecord> {
    for (const tasks of this._owners.get(owner)?.jobs.values() ?? []) {
      yield* tasks.values();
    }
  }

  /** @returns All records. */
  *all(): Generator<RunRecord> {
    for (const owner of this._owners.keys()) {
      yield* this.of(owner);
    }
  }

  /** @returns Whether records of the owner expired before their release. */
  isIncomplete(owner: string): boolean {
    return this._owners.get(owner)?.incomplete ?? false;
  }

  /**
   * Moves all records of a fenced owner to its successor.
   *
   * @param owner - The fenced entry incarnation.
   * @param successor - The entry incarnation that took over.
   */
  move(owner: string, successor: string): void {
    for (const record of [...this.of(owner)]) {
      this.remove(record);
      record.owner = successor;
      this.add(record);
    }
    if (this.isIncomplete(owner)) {
      this._ownerRecords(successor).incomplete = true;
    }
    this._owners.delete(owner);
  }

  /**
   * Removes finished records that were never released.
   *
   * @param startedBeforeMs - Only records started before this time are removed.
   */
  expire(startedBeforeMs: number): void {
    for (const record of [...this.all()]) {
      if (
        record.state.kind === 'done' &&
        record.startedAtMs < startedBeforeMs
      ) {
        this.remove(record);
        this._ownerRecords(record.owner).incomplete = true;
      }
    }
  }

  private _ownerRecords(owner: string): OwnerRecords {
    let records = this._owners.get(owner);
    if (!records) {
      records = { jobs: new Map(), incomplete: false };
      this._owners.set(owner, records);
    }
    return records;
  }
}
