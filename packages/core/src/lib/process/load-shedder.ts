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
 * Decides which share of the submissions an entry refuses because its own
 * processor can't keep up.
 *
 * Load pattern: an entry whose processor is too slow for the submissions that
 * arrive: a weak or slowed VM, or the first seconds after a restart, when all
 * callers are waiting. Submissions then wait in sockets, where their age is not
 * known, and without a limit all of them are answered too late. The delay of the
 * event loop is the time that such a submission has waited. The refused share
 * follows it, so that the accepted submissions are still served in time. Refusals
 * do not depend on the queue, so that none is starved.
 */
export class LoadShedder {
  private readonly _random: () => number;
  private _share = 0;

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

  /** @returns Whether to refuse the next submission. */
  shouldRefuse(): boolean {
    return this._share > 0 && this._random() < this._share;
  }
}
