import { MAX_UINT32, isUint32 } from '@sapphiremux/wire';
import type { BatchContent, JobStepContent } from './batch-job.js';
import { ceilRoom } from './room.js';

/** Greatest number that a message to a worker carries. */
export const MAX_COUNT = MAX_UINT32;
/** Greatest number of tasks of one job; an entry holds each of them in memory. */
export const MAX_TASKS = 10_000;

/** @returns Whether messages carry the number. */
export const isCount = isUint32;

/** @returns Number of tasks of all steps. */
export const countTasks = (
  steps: readonly Pick<JobStepContent, 'count'>[],
): number => steps.reduce((sum, { count }) => sum + count, 0);

/**
 * Checks the numbers of a job. A job that passes can be sent to any worker, and
 * each of its tasks becomes ready once the steps before it are done.
 *
 * @param content - Content of a submission or of a stored job.
 * @returns Path of the first field with an invalid value, if there is one.
 */
export const invalidFieldOf = (content: BatchContent): string | undefined => {
  const { steps, priority, attempts, stretch, slackMs } = content;
  if (!isCount(priority)) {
    return 'priority';
  }
  if (!isCount(attempts) || attempts === 0) {
    return 'attempts';
  }
  if (!Number.isFinite(stretch)) {
    return 'stretch';
  }
  if (!Number.isFinite(slackMs)) {
    return 'slackMs';
  }
  for (const [index, step] of steps.entries()) {
    const field = invalidFieldOfStep(step, index);
    if (field !== undefined) {
      return `steps.${String(index)}.${field}`;
    }
  }
  const tasks = countTasks(steps);
  return tasks === 0 || tasks > MAX_TASKS ? 'steps' : undefined;
};

const invalidFieldOfStep = (
  step: JobStepContent,
  index: number,
): string | undefined => {
  const { count, needs, estimateMs, after, antiAffinity = 1 } = step;
  if (!isCount(count) || count === 0) {
    return 'count';
  }
  for (const name of ['cpuMilli', 'memoryMb', 'accelerators'] as const) {
    if (!isCount(needs[name])) {
      return `needs.${name}`;
    }
  }
  if (!(estimateMs >= 0 && estimateMs <= MAX_COUNT)) {
    return 'estimateMs';
  }
  if (!after.every((number) => isCount(number) && number < index)) {
    return 'after';
  }
  return isCount(antiAffinity) && antiAffinity > 0 ? undefined : 'antiAffinity';
};

/**
 * @param content - Content of a stored job. Earlier versions accepted fractions
 *   of millicores and of megabytes, which messages to workers do not carry.
 * @returns The content with needs that are rounded up to whole numbers.
 */
export const withWholeNeeds = (content: BatchContent): BatchContent => ({
  ...content,
  steps: content.steps.map((step) => ({
    ...step,
    needs: ceilRoom(step.needs),
  })),
});
