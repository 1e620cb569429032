/**
 * Delay of the event loop above which an entry counts as overloaded. Short jobs
 * are late then and the others are not; a refusal would serve no caller better.
 */
const MAX_DELAY_MS = 150;
/** Change of the refused share while the delay is twice the maximum. */
const INCREASE = 0.2;
/** Largest change of the refused share in one observation. */
const MAX_INCREASE = 0.3;
/** Change of the refused share in an observation without overload. */
const DECREASE = 0.04;
/** Some submissions are always accepted, to notice the end of an overload. */
const MAX_SHARE = 0.9;
/**
 * Largest share of the submissions of one weight that is refused before those of
 * higher weights are.
 */
const MAX_SHARE_BEFORE_OTHERS = 0.7;
/** Weight of one submission in the moving average of the offered mix. */
const MIX_SMOOTHING = 0.02;

/**
 * Decides which share of the submissions an entry refuses because its own
 * processor can't keep up.
 *
 * Load pattern: an entry whose processor is too slow for the submissions that
 * arrive: a weak or slowed VM, or the first seconds after a restart, when all
 * callers are waiting. Submissions then wait in sockets, where their age is not
 * known, and without a limit all of them are answered too late. The delay of the
 * event loop is the time that such a submission has waited. The refused share
 * follows it, so that the accepted submissions are still served in time.
 *
 * Submissions of the lowest weights are refused first. Some of each weight are
 * kept, so that no queue is starved. Submissions without a weight are refused
 * irrespective of their queue.
 */
export class LoadShedder {
  private readonly _random: () => number;
  private _share = 0;
  /** Moving average of each weight's part of the submissions. */
  private readonly _mix = new Map<number, number>();

  /** @param random - Returns uniform random numbers from 0 to 1. */
  constructor(random: () => number) {
    this._random = random;
  }

  /** Share of the submissions that are refused. */
  get share(): number {
    return this._share;
  }

  /**
   * Updates the refused share; called at regular intervals.
   *
   * @param delayMs - Delay of the event loop since the last call.
   */
  observe(delayMs: number): void {
    const change =
      delayMs > MAX_DELAY_MS
        ? Math.min(
            MAX_INCREASE,
            (INCREASE * (delayMs - MAX_DELAY_MS)) / MAX_DELAY_MS,
          )
        : -DECREASE;
    this._share = Math.min(MAX_SHARE, Math.max(0, this._share + change));
  }

  /**
   * @param weight - Weight of the submission by the priority of its queue;
   *   `undefined` if priority does not matter.
   * @returns Whether to refuse the submission.
   */
  shouldRefuse(weight?: number): boolean {
    if (this._share === 0) {
      return false;
    }
    if (weight === undefined) {
      return this._random() < this._share;
    }
    this._observeMix(weight);
    return this._random() < this._shareOf(weight);
  }

  private _observeMix(weight: number): void {
    if (this._mix.size === 0) {
      this._mix.set(weight, 1);
      return;
    }
    this._mix.set(weight, this._mix.get(weight) ?? 0);
    for (const [other, part] of this._mix) {
      const target = other === weight ? 1 : 0;
      this._mix.set(other, part + MIX_SMOOTHING * (target - part));
    }
  }

  /** Share of the submissions of one weight that are refused. */
  private _shareOf(weight: number): number {
    const ascending = [...this._mix].sort(([a], [b]) => a - b);
    let share = 0;
    let left = this._share;
    let refusedBefore = 0;
    for (const limit of [MAX_SHARE_BEFORE_OTHERS, MAX_SHARE]) {
      for (const [other, part] of ascending) {
        const refused = Math.min(left, (limit - refusedBefore) * part);
        left -= refused;
        if (other === weight && part > 0) {
          share += refused / part;
        }
      }
      refusedBefore = limit;
    }
    return share;
  }
}
