import { expect } from 'earl';
import { StartRefusal } from '../lib/messages.js';
import { ready, refusals, starts } from './worker-harness.js';
import type { DriverHarness } from './worker-harness.js';

/** Longest time from the signal to the end of the stop; the grace is 6 s. */
const STOP_LIMIT_MS = 5000;

/** Answers the pending poll and lets the next one and a tick follow. */
const poll = (harness: DriverHarness): void => {
  harness.advance(50);
  if (harness.count('hold') > 0) {
    harness.answerPoll();
  }
};

const pollUntilStopped = (harness: DriverHarness): number => {
  const beganAtMs = harness.now;
  while (!harness.isStopped && harness.now - beganAtMs < 2 * STOP_LIMIT_MS) {
    poll(harness);
  }
  return harness.now - beganAtMs;
};

// Guards against starts that are lost with the link: their entry has to wait
// until the next process reports which runs are active.
it('stop: a start on its way is refused before the links close', () => {
  const harness = ready();
  harness.handle({ kind: 'stop' });
  harness.advance(1);
  expect(harness.isStopped).toEqual(false);
  harness.order({ starts: starts('t') });
  expect(refusals(harness)).toEqual([StartRefusal.NOT_READY]);
  expect(pollUntilStopped(harness) < 500).toEqual(true);
});

// Guards against a process that is killed at the end of its grace.
it('stop: a run that does not end and a silent worker do not delay it further', () => {
  const harness = ready();
  harness.order({ holdUntilMs: 30_000, starts: starts('t') });
  harness.handle({ kind: 'stop' });
  const beganAtMs = harness.now;
  while (!harness.isStopped && harness.now - beganAtMs < 2 * STOP_LIMIT_MS) {
    harness.advance(100);
  }
  expect(harness.now - beganAtMs < STOP_LIMIT_MS).toEqual(true);
});
