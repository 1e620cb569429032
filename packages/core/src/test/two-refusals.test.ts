import { expect } from 'earl';
import { StartRefusal } from '../lib/messages.js';
import { ready, refusals, starts } from './worker-harness.js';

// The second refusal belongs to the stop, which has crossed the first one: no
// start call is sent, so the run never begins.
it('a stop of a refused run is answered by a second refusal', () => {
  const harness = ready();
  const hold = { holdUntilMs: harness.clock + 700 };
  harness.order({ ...hold, starts: starts('a.0.0.0', 'a.0.0.1') });
  harness.answer('start');
  harness.answer('start');
  harness.active = ['a.0.0.0', 'a.0.0.1'].map((task) => ({
    task,
    run: 1,
    checkpoint: '',
    percent: 100,
  }));
  harness.order({ ...hold, starts: starts('j.0.0.0') });
  expect(refusals(harness)).toEqual([StartRefusal.NO_ROOM]);
  harness.order({ ...hold, stops: [{ task: 'j.0.0.0', run: 1 }] });
  harness.answer('stop');
  harness.answerPoll();
  harness.advance(10);
  harness.answerPoll();
  expect(refusals(harness)).toEqual([
    StartRefusal.NO_ROOM,
    StartRefusal.NO_ANSWER,
  ]);
  expect(harness.count('start')).toEqual(0);
});
