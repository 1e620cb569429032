/** Options of the decisions by priority while capacity is short. */
export interface OverloadOptions {
  /** Weight of a job by priority; the last value holds for all lower ones. */
  readonly weights: readonly number[];
  /** Share of the offered jobs of each queue that is always kept. */
  readonly floor: number;
  /**
   * Share of a worker's capacity that a job leaves free, by priority; the last
   * value holds for all lower ones.
   */
  readonly reserved: readonly number[];
}

/** Defaults of {@link OverloadOptions}. */
export const OVERLOAD_DEFAULTS: OverloadOptions = {
  weights: [4, 2, 1],
  floor: 0.3,
  reserved: [0, 0.06, 0.12],
};

/**
 * @param values - Values by priority; the last one holds for all lower ones.
 * @param priority - Priority of a queue; 0 is the highest.
 * @returns Value for the priority; 0 if there are none.
 */
export const valueOf = (values: readonly number[], priority: number): number =>
  values[Math.min(priority, values.length - 1)] ?? 0;
