import { expect } from 'earl';
import { EndKind } from '../lib/messages.js';
import { BatchJob, BatchState } from '../lib/request/batch-job.js';
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
