import { expect } from 'earl';
import { EndKind } from '../lib/messages.js';
import type { DriverHarness } from './worker-harness.js';
import { ready, starts } from './worker-harness.js';

const TASK = 'a.0.0.0';

/** Returns the fields of the log lines with a message. */
const fieldsOf = (harness: DriverHarness, message: string) =>
  harness.logs
    .filter((line) => line.message === message)
    .map(({ fields }) => fields);

// Guards against a log that does not tell a start that was held back on its way
// from one whose entry has placed it for a caller that is gone.
it('the log names the runs that begin from an old order, once a turn', () => {
  const harness = ready();
  const holdUntilMs = harness.clock + 100;
  harness.order({ holdUntilMs, starts: starts(TASK, 'a.0.0.1') });
  expect(fieldsOf(harness, 'runs begun from an old order')).toEqual([
    {
      runs: 2,
      task: TASK,
      run: 1,
      owner: 'a1',
      linkId: 1,
      isNewestLink: true,
      limitLeftMs: 100,
    },
  ]);
});

it('the log names no run that begins from a fresh order', () => {
  const harness = ready();
  const holdUntilMs = harness.clock + 700;
  harness.order({ holdUntilMs, starts: starts(TASK) });
  expect(fieldsOf(harness, 'runs begun from an old order')).toEqual([]);
});

it('the log names the starts that are dropped with their link, once a link', () => {
  const harness = ready();
  const holdUntilMs = harness.clock + 700;
  harness.read({ holdUntilMs, starts: starts(TASK, 'a.0.0.1') });
  harness.handle({ kind: 'link-closed', linkId: 1 });
  harness.handle({ kind: 'flush' });
  expect(fieldsOf(harness, 'starts of a closed link dropped')).toEqual([
    { runs: 2, task: TASK, run: 1, owner: 'a1', linkId: 1 },
  ]);
});

it('the log of a stopped run tells how long it was active and what began it', () => {
  const harness = ready();
  const holdUntilMs = harness.clock + 700;
  harness.order({ holdUntilMs, starts: starts(TASK) });
  harness.answer('start');
  harness.advance(15);
  harness.order({ stops: [{ task: TASK, run: 1 }] });
  harness.advance(20);
  harness.ends = [
    { number: 1, task: TASK, run: 1, kind: EndKind.STOPPED, checkpoint: '' },
  ];
  harness.answerPoll();
  expect(fieldsOf(harness, 'stopped run ended')).toEqual([
    {
      task: TASK,
      run: 1,
      owner: 'a1',
      how: 'STOPPED',
      afterMs: 20,
      activeMs: 15,
      linkId: 1,
      isNewestLink: true,
      limitLeftMs: 700,
    },
  ]);
});
