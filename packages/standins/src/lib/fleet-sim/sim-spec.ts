/** Appended to the specification of a job whose first task is deadly. */
const DEADLY_MARK = '!';

/**
 * @param runMs - Run time of each task.
 * @param isDeadly - Whether the first task crashes each worker that starts it.
 * @returns Specification of a job for simulated workers.
 */
export const encodeSpec = (runMs: number, isDeadly: boolean): string =>
  `${String(runMs)}${isDeadly ? DEADLY_MARK : ''}`;

/**
 * @param spec - Specification of a job.
 * @param length - Its length afterwards, in characters.
 * @returns The specification with padding that workers ignore.
 */
export const padSpec = (spec: string, length: number): string =>
  spec.padEnd(length, ' ');

/** @returns Run time of the tasks of a job, in milliseconds. */
export const runMsOf = (spec: string): number => Number.parseInt(spec);

/** @returns Whether a task of a job crashes each worker that starts it. */
export const isDeadly = (spec: string, task: string): boolean =>
  spec.endsWith(DEADLY_MARK) && task.endsWith('.0');
