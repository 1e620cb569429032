import { expect } from 'earl';
import { StartRefusal } from '../lib/messages.js';
import { ready, refusals, starts } from './worker-harness.js';
import type { DriverHarness } from './worker-harness.js';

const TASK = 'j.0.0.0';

/** Returns a driver that runs a task for the second of two entries. */
const withRunOfSecondEntry = (): DriverHarness => {
  const harness = ready();
  harness.openLink(2, 'b1');
  const order = { incarnation: 'b1', holdUntilMs: harness.clock + 700 };
  harness.order({ ...order, starts: starts(TASK) }, 2);
  harness.answer('start');
  return harness;
};

// The entry places the task elsewhere at once, beside the run that is active.
it('a start is refused for an earlier run only after that has ended', () => {
  const harness = withRunOfSecondEntry();
  const order = { holdUntilMs: harness.clock + 700, starts: starts(TASK) };
  harness.order(order);
  expect(harness.count('stop')).toEqual(1);
  expect(refusals(harness)).toEqual([]);
  harness.answer('stop');
  harness.answerPoll();
  harness.advance(10);
  harness.answerPoll();
  expect(refusals(harness).includes(StartRefusal.STALE_RUN)).toEqual(true);
});

// A stop of the refused start would be confirmed before the earlier run ends.
it('a stop of such a start does not bring its refusal forward', () => {
  const harness = withRunOfSecondEntry();
  const runs = [{ task: TASK, run: 2, checkpoint: '' }];
  const later = starts(TASK).map((group) => ({ ...group, runs }));
  const order = { holdUntilMs: harness.clock + 700 };
  harness.order({ ...order, starts: later });
  harness.order({ ...order, stops: [{ task: TASK, run: 2 }] });
  expect(harness.count('stop')).toEqual(1);
  harness.answer('stop', { kind: 'no-answer', detail: 'timed out' });
  harness.active = [{ task: TASK, run: 1, checkpoint: '', percent: 100 }];
  harness.answerPoll();
  harness.advance(10);
  harness.answerPoll();
  expect(refusals(harness)).toEqual([]);
});
