import type { RunRef } from '../messages.js';

/**
 * @param ref - A run of a task.
 * @returns Key of the run in maps, unique across tasks.
 */
export const runKey = ({ task, run }: RunRef): string =>
  `${task}#${String(run)}`;

/**
 * @param task - Name of a task: id of its job, a dot and its position there.
 * @returns Id of the job.
 */
export const jobIdOf = (task: string): string => {
  const dot = task.indexOf('.');
  return dot < 0 ? task : task.slice(0, dot);
};
