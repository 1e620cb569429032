const MS_PER_SECOND = 1000;

/** Options of {@link TokenBucket}. */
export interface TokenBucketOptions {
  /** Tokens added per second. */
  readonly ratePerSecond: number;
  /** Maximum number of tokens in the bucket. */
  readonly burst: number;
}

/** Token-bucket rate limiter. It reads no clock; callers pass the time. */
export class TokenBucket {
  private readonly _ratePerSecond: number;
  private readonly _burst: number;
  private _tokens: number;
  private _updatedAtMs: number;

  /**
   * @param options - Rate and burst.
   * @param now - Current time in milliseconds.
   */
  constructor(options: TokenBucketOptions, now: number) {
    this._ratePerSecond = options.ratePerSecond;
    this._burst = options.burst;
    this._tokens = options.burst;
    this._updatedAtMs = now;
  }

  /**
   * Takes tokens if there are enough. An amount above the burst size needs only
   * a full bucket and leaves a negative balance; otherwise it could never
   * succeed.
   *
   * @param amount - Tokens to take.
   * @param now - Current time in milliseconds.
   * @returns Whether the tokens were taken.
   */
  take(amount: number, now: number): boolean {
    this._refill(now);
    if (this._tokens < Math.min(amount, this._burst)) {
      return false;
    }
    this._tokens -= amount;
    return true;
  }

  /**
   * @param amount - Tokens to take.
   * @param now - Current time in milliseconds.
   * @returns Milliseconds until {@link take} would succeed.
   */
  waitMs(amount: number, now: number): number {
    this._refill(now);
    const missing = Math.min(amount, this._burst) - this._tokens;
    if (missing <= 0) {
      return 0;
    }
    return Math.ceil((missing / this._ratePerSecond) * MS_PER_SECOND);
  }

  private _refill(now: number): void {
    const elapsedMs = Math.max(0, now - this._updatedAtMs);
    const added = (elapsedMs / MS_PER_SECOND) * this._ratePerSecond;
    this._tokens = Math.min(this._burst, this._tokens + added);
    this._updatedAtMs = now;
  }
}
