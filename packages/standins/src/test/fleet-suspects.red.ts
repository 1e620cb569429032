import { expect } from 'earl';
import { brokenRules } from './resend-steps.js';
import { step } from './sample.js';

// Guards against long runs that are lost again and again, because a task that
// crashes the only worker of the service may start there beside them.
it('a job that shares the last worker with one that crashes it ends', () => {
  const steps = [
    step({ kind: 'configure', renewal: true }, 57),
    step({ kind: 'drain-worker', worker: 3 }, 507),
    step({ kind: 'submit', entry: 1, job: 3 }, 369),
    step({ kind: 'submit', entry: 1, job: 1 }, 3),
    step({ kind: 'submit', entry: 0, job: 9 }, 315),
    step({ kind: 'submit', entry: 2, job: 0 }, 18),
  ];
  expect(brokenRules(steps)).toEqual({});
});
