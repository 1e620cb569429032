/** Time constant of the average. */
const AVERAGE_MS = 1000;
/** Waiting time that has to be observed before the rate is known. */
const MIN_OBSERVED_MS = 200;
/** Number of starts below which the average says little. */
const MIN_STARTS = 5;
/** Interval between rounds after which the earlier observations are discarded. */
const MAX_GAP_MS = 500;

/** What one placement round has done for the jobs of one service. */
export interface ServiceRound {
  /** Work of the started tasks, in core-milliseconds. */
  readonly startedWork: number;
  /** Number of started tasks. */
  readonly starts: number;
  /** Whether jobs still wait after the round. */
  readonly isWaiting: boolean;
  /** Whether the workers of the service have reported recently. */
  readonly areReportsRecent: boolean;
}

/**
 * Measures how much work an entry gets started per millisecond while its jobs
 * wait, as an exponentially decaying average.
 *
 * Load pattern: several entries share workers without coordination, so the share
 * of the capacity that one entry gets is known only from what it got. While no
 * job waits, the starts show the demand and not the capacity; they don't count.
 */
export class ServiceRate {
  private _work = 0;
  private _starts = 0;
  private _waitedMs = 0;
  private _atMs = Number.NEGATIVE_INFINITY;
  private _isWaiting = false;

  /**
   * Work started per millisecond in core-milliseconds; `undefined` while no job
   * waits, or too little was observed.
   */
  get rate(): number | undefined {
    const isKnown =
      this._isWaiting &&
      this._waitedMs >= MIN_OBSERVED_MS &&
      this._starts >= MIN_STARTS;
    return isKnown ? this._work / this._waitedMs : undefined;
  }

  /**
   * @param round - Result of a placement round.
   * @param now - Current time in milliseconds.
   */
  observe(round: ServiceRound, now: number): void {
    const elapsedMs = now - this._atMs;
    this._atMs = now;
    const wasWaiting = this._isWaiting;
    this._isWaiting = round.isWaiting;
    // Without reports, free capacity goes unnoticed, so the starts don't show it.
    if (!round.areReportsRecent || (wasWaiting && elapsedMs > MAX_GAP_MS)) {
      this._work = 0;
      this._starts = 0;
      this._waitedMs = 0;
      return;
    }
    const decay = Math.exp(-elapsedMs / AVERAGE_MS);
    this._work *= decay;
    this._starts *= decay;
    this._waitedMs *= decay;
    if (wasWaiting) {
      this._work += round.startedWork;
      this._starts += round.starts;
      this._waitedMs += elapsedMs;
    }
  }

  /**
   * Takes back a start that a worker has refused. Another entry may
   * have taken the capacity first.
   *
   * @param work - Work of the task, in core-milliseconds.
   */
  onStartRefused(work: number): void {
    this._work = Math.max(0, this._work - work);
    this._starts = Math.max(0, this._starts - 1);
  }
}
