import { expect } from 'earl';
import { ready, starts } from './worker-harness.js';
import type { DriverHarness } from './worker-harness.js';

const TASK = 'j.0.0.0';
const STOPS = [{ task: TASK, run: 1 }];

/** Returns a driver that runs a task for the second of two entries. */
const withRunOfSecondEntry = (): DriverHarness => {
  const harness = ready();
  harness.openLink(2, 'b1');
  const order = { incarnation: 'b1', holdUntilMs: harness.clock + 700 };
  harness.order({ ...order, starts: starts(TASK) }, 2);
  harness.answer('start');
  return harness;
};

// The first entry was refused the start, and stops the run as its caller left;
// both entries number their runs from 1.
it('a stop of one entry does not stop the run of another', () => {
  const harness = withRunOfSecondEntry();
  harness.order({ holdUntilMs: harness.clock + 700, stops: STOPS });
  expect(harness.count('stop')).toEqual(0);
});
