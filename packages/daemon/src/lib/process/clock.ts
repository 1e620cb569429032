/**
 * The clock of a process: starts at the wall-clock time and is monotonic from
 * then on.
 *
 * @returns Milliseconds since the Unix epoch, as of the start of the process,
 * plus the monotonic time since then.
 */
export const now = (): number => performance.timeOrigin + performance.now();
