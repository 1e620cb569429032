import { expect } from 'earl';
import { CONTENT, ID, done, withTwoWorkers } from './entry-harness.js';

/** Time after which the ends of an unfinished job have been recorded. */
const PROGRESS_MS = 1000;

// Guards against an end that is taken for one of another worker, which has started
// in the same millisecond: it is acknowledged under the lease of a later run.
it('ends of two workers with equal lives and numbers are both acknowledged', () => {
  const harness = withTwoWorkers();
  harness.report('w2');
  const [step] = CONTENT.steps;
  const steps = step ? [{ ...step, count: 3 }] : [];
  harness.submit(1, { isVolatile: false, steps });
  harness.report('w1', { ends: [done(`${ID}.0.0.0`)] });
  harness.report('w2', { ends: [done(`${ID}.0.0.1`)] });
  harness.advance(PROGRESS_MS);
  expect(harness.acknowledged).toEqual([1, 1]);
});
