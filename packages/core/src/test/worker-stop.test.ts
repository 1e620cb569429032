import { expect } from 'earl';
import { EndKind, StartRefusal } from '../lib/messages.js';
import { BORN_MS, ready, refusals, starts } from './worker-harness.js';
import type { DriverHarness } from './worker-harness.js';

/** Longest time from the signal to the end of the stop; the grace is 6 s. */
const STOP_LIMIT_MS = 5000;

/** Returns a driver whose worker has listed the end of a recorded job's run. */
const withListedEnd = (): DriverHarness => {
  const harness = ready();
  const groups = starts('t').map((group) => ({ ...group, volatile: false }));
  harness.order({ holdUntilMs: 30_000, starts: groups });
  harness.answer('start');
  harness.ends = [
    { number: 1, task: 't', run: 1, kind: EndKind.DONE, checkpoint: '' },
  ];
  harness.advance(10);
  harness.answerPoll();
  return harness;
};

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

// Guards against a grace that is counted from the time at which a process that
// was still starting reads the signal.
it('stop: a stop that was requested earlier ends as much earlier', () => {
  const harness = ready();
  harness.order({ holdUntilMs: 30_000, starts: starts('t') });
  const sinceMs = harness.now - 2000;
  harness.handle({ kind: 'stop', sinceMs });
  while (!harness.isStopped && harness.now - sinceMs < 2 * STOP_LIMIT_MS) {
    harness.advance(100);
  }
  expect(harness.now - sinceMs < STOP_LIMIT_MS).toEqual(true);
});

it('stop: a stop that was requested earlier still refuses starts on their way', () => {
  const harness = ready();
  harness.handle({ kind: 'stop', sinceMs: harness.now - 2000 });
  harness.advance(1);
  expect(harness.isStopped).toEqual(false);
  harness.order({ starts: starts('t') });
  expect(refusals(harness)).toEqual([StartRefusal.NOT_READY]);
  expect(pollUntilStopped(harness) < 500).toEqual(true);
});

// Guards against ends that are acknowledged only by the next process, after the
// lease of the worker has expired.
it('stop: the end of the last run is acknowledged before the process ends', () => {
  const harness = withListedEnd();
  harness.handle({ kind: 'stop' });
  poll(harness);
  harness.advance(400);
  expect(harness.isStopped).toEqual(false);
  harness.order({
    recorded: [{ life: String(BORN_MS), number: 1, superseded: false }],
  });
  const isAcknowledged = (): boolean =>
    harness.polls.some(({ ackedThrough }) => ackedThrough === 1);
  while (!isAcknowledged()) {
    expect(harness.isStopped).toEqual(false);
    poll(harness);
  }
  // The process ends once the worker has shown that it has forgotten the end.
  harness.advance(50);
  expect(harness.isStopped).toEqual(false);
  harness.ends = [];
  expect(pollUntilStopped(harness) < 500).toEqual(true);
});

// Guards against a stop that waits for an entry that has gone.
it('stop: an end that no entry records delays the stop by a second at most', () => {
  const harness = withListedEnd();
  harness.handle({ kind: 'stop' });
  expect(pollUntilStopped(harness) < 1500).toEqual(true);
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
