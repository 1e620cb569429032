/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries allowed for each first attempt. */
  readonly ratio?: number;
  /** Most retries that can be saved up. */
  readonly burst?: number;
}

const DEFAULT_RATIO = 0.1;
const DEFAULT_BURST = 20;

/** Limits retries to a share of the recent first attempts. */
export class RetryBudget {
  private readonly _ratio: number;
  private readonly _burst: number;
  private _tokens: number;

  /** @param options - Share and burst. */
  constructor(options: RetryBudgetOptions = {}) {
    this._ratio = options.ratio ?? DEFAULT_RATIO;
    this._burst = options.burst ?? DEFAULT_BURST;
    this._tokens = this._burst;
  }

  /** Counts a first attempt. */
  onAttempt(): void {
    this._tokens = Math.min(this._burst, this._tokens + this._ratio);
  }

  /** @returns Whether one more retry is within the budget. */
  takeRetry(): boolean {
    if (this._tokens < 1) {
      return false;
    }
    this._tokens -= 1;
    return true;
  }
}
