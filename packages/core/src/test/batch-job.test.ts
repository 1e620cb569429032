import { expect } from 'earl';
import { EndKind } from '../lib/messages.js';
import {
  BatchJob,
  BatchState,
  RUNS_PER_EPOCH,
  TaskPhase,
  laterEstimateMs,
} from '../lib/request/batch-job.js';
import type { BatchTask } from '../lib/request/batch-job.js';
import { CONTENT, done } from './entry-harness.js';

// Guards against a job that failed early: its new owner counted a failure twice,
// from the progress row and from the worker, which listed the end still.
it('a failure that the progress row includes is not counted again', () => {
  const jobOptions = { id: 'a', content: CONTENT, acceptedAtMs: 0 };
  const fail = (job: BatchJob, run: number): void => {
    const [task] = job.tasks;
    const end = { checkpoint: '', life: '1', number: run, run, task: 'a' };
    if (task) {
      job.applyEnd(task, { ...end, kind: EndKind.FAILED }, 'w1', 0);
    }
  };
  const before = new BatchJob({ ...jobOptions, epoch: 0 });
  const [task] = before.tasks;
  if (task) {
    before.place(task, 'w1', 0);
  }
  fail(before, 1);
  const { progress } = before;
  const after = new BatchJob({ ...jobOptions, epoch: 1, progress });
  fail(after, 1);
  expect(after.state).toEqual(BatchState.Queued);
  fail(after, 2);
  expect(after.state).toEqual(BatchState.Failed);
});

// Guards against time that grows with the number of paths: 40 steps that each
// depend on all earlier ones have more than 10^11 paths.
it('the time after a step is that of the longest chain of steps after it', () => {
  const [step] = CONTENT.steps;
  const stepOf = (estimateMs: number, after: number[]) =>
    step ? [{ ...step, estimateMs, after }] : [];
  const steps = [
    ...stepOf(100, []),
    ...stepOf(30, [0]),
    ...stepOf(50, [0]),
    ...stepOf(10, [1, 2]),
    ...stepOf(500, []),
  ];
  const times = steps.map((_, number) => laterEstimateMs(steps, number));
  expect(times).toEqual([60, 10, 10, 0, 0]);
  const dense = Array.from({ length: 40 }, (_, number) =>
    stepOf(
      1,
      Array.from({ length: number }, (_unused, earlier) => earlier),
    ),
  ).flat();
  expect(laterEstimateMs(dense, 0)).toEqual(39);
});

/** Options of a job whose third owner has taken it over. */
const THIRD_OWNER = {
  id: 'a',
  content: { ...CONTENT, isVolatile: false },
  acceptedAtMs: 0,
  epoch: 2,
  progress: { done: [], failures: {} },
};
const FIRST_RUN_OF_SECOND_OWNER = RUNS_PER_EPOCH + 1;

/** A job whose third owner has adopted a run of the first, with its task. */
const withAdoptedRun = (): { job: BatchJob; task: BatchTask } => {
  const job = new BatchJob(THIRD_OWNER);
  const [task] = job.tasks;
  if (!task) {
    throw new Error('the job has no task');
  }
  job.adopt(task, 1, 'w1', 0);
  return { job, task };
};

// Guards against a task that runs again after it has ended under an owner in
// between, since the next owner has adopted an earlier run.
it('the end of a later run than the adopted one completes the task', () => {
  const { job, task } = withAdoptedRun();
  job.applyEnd(task, done(task.name, FIRST_RUN_OF_SECOND_OWNER), 'w2', 0);
  expect(task.phase).toEqual(TaskPhase.Done);
  expect(task.doneRun).toEqual(FIRST_RUN_OF_SECOND_OWNER);
});

// Guards against numbers that a worker rejects, or that two owners use.
it('a run after an adopted one has a higher number than all earlier owners gave', () => {
  const { job, task } = withAdoptedRun();
  job.requeue(task, 0);
  expect(job.place(task, 'w2', 0)).toEqual(2 * RUNS_PER_EPOCH + 1);
});
