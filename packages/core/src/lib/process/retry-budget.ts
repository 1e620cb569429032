/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries earned by each first attempt. */
  readonly ratio?: number;
  /** Maximum number of accumulated retries. */
  readonly burst?: number;
}

const DEFAULT_RATIO = 0.1;
const DEFAULT_BURST = 20;

/** Limits retries to a fraction of the recent first attempts. */
export class RetryBudget {
  private readonly _ratio: number;
  private readonly _burst: number;
  private _tokens: number;

  /** @param options - Ratio and burst size. */
  constructor(options: RetryBudgetOptions = {}) {
    this._ratio = options.ratio ?? DEFAULT_RATIO;
    this._burst = options.burst ?? DEFAULT_BURST;
    this._tokens = this._burst;
  }

  /** Counts a first attempt. */
  onAttempt(): void {
    this._tokens = Math.min(this._burst, this._tokens + this._ratio);
  }

  /**
   * Takes one retry from the budget.
   *
   * @returns Whether the retry is allowed.
   */
  takeRetry(): boolean {
    if (this._tokens < 1) {
      return false;
    }
    this._tokens -= 1;
    return true;
  }
}
