/**
 * The time that all decisions of a process use: milliseconds since the Unix
 * epoch at the start, monotonic from then on.
 *
 * @returns Current time in milliseconds.
 */
export const now = (): number => performance.timeOrigin + performance.now();
