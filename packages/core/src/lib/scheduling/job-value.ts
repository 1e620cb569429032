/** Part of a job's value that does not depend on its work. */
const FIXED_SHARE = 0.3;
/** Weight of one job in the average work of its queue. */
const SMOOTHING = 0.02;

/**
 * Derives the value of jobs from the weight of their queue and from their work
 * relative to the other jobs of the queue.
 *
 * Load pattern: a lasting overload in which jobs are removed by their value per
 * unit of work. With one value for all jobs of a queue, its largest jobs would be
 * removed first, and callers that submit large jobs would hardly be served.
 */
export class JobValue {
  private readonly _meanWork = new Map<string, number>();

  /**
   * @param queue - Queue of a job that was submitted.
   * @param work - Estimated work of the job.
   */
  observe(queue: string, work: number): void {
    const mean = this._meanWork.get(queue) ?? work;
    this._meanWork.set(queue, mean + SMOOTHING * (work - mean));
  }

  /**
   * @param queue - Queue of the job.
   * @param weight - Weight of a job of mean work.
   * @param work - Estimated work of the job, in the unit of `observe`.
   * @returns Value of the job.
   */
  valueOf(queue: string, weight: number, work: number): number {
    const mean = this._meanWork.get(queue) ?? 0;
    const relativeWork = mean > 0 ? work / mean : 1;
    return weight * (FIXED_SHARE + (1 - FIXED_SHARE) * relativeWork);
  }
}
