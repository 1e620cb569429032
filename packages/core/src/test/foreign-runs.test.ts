import { expect } from 'earl';
import { EndKind, StartRefusal } from '../lib/messages.js';
import { ready, refusals, starts } from './worker-harness.js';
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

// An entry to which the caller has moved the job finds the run in a snapshot.
it('a stop that names the owner stops the run of another entry', () => {
  const harness = withRunOfSecondEntry();
  const stops = [{ task: TASK, run: 1, owner: 'b1' }];
  harness.order({ holdUntilMs: harness.clock + 700, stops });
  expect(harness.count('stop')).toEqual(1);
});

// Otherwise the entry would wait for the end of its own run without limit.
it('a stop for the run of another entry is answered after its end', () => {
  const harness = withRunOfSecondEntry();
  harness.order({ holdUntilMs: harness.clock + 700, stops: STOPS });
  expect(refusals(harness)).toEqual([]);
  harness.ends = [
    { number: 1, task: TASK, run: 1, kind: EndKind.DONE, checkpoint: '' },
  ];
  harness.answerPoll();
  expect(refusals(harness)).toEqual([StartRefusal.STALE_RUN]);
});

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
