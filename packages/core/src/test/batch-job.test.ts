import { expect } from 'earl';
import { EndKind } from '../lib/messages.js';
import {
  BatchJob,
  BatchState,
  laterEstimateMs,
} from '../lib/request/batch-job.js';
import { CONTENT } from './entry-harness.js';

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
