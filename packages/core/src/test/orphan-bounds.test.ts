import { expect } from 'earl';
import { Loss, RESUBMIT_MS, longestMs } from './orphaned-run.js';

const LOSSES = [
  [Loss.LinkClosed, 'entry killed'],
  [Loss.Silence, 'entry cut off'],
  [Loss.CallerGone, 'caller gone'],
  [Loss.Adopted, 'entry replaced'],
] as const;

// A worker that leaves stops unanswered keeps a run active until its caller has
// submitted the job to another entry.
for (const ignoredStops of [0, 1, 2, 3]) {
  const stops = `${String(ignoredStops)} lost stops`;

  it(`a run ends before it is repeated: entry killed, ${stops}`, () => {
    expect(longestMs(Loss.LinkClosed, ignoredStops) < RESUBMIT_MS).toEqual(
      true,
    );
  });

  it(`a run ends before it is repeated: entry cut off, ${stops}`, () => {
    expect(longestMs(Loss.Silence, ignoredStops) < RESUBMIT_MS).toEqual(true);
  });
}

// A driver that was restarted waits for a claim for longer than callers wait.
it('a run that nobody claims ends before it is repeated', () => {
  expect(longestMs(Loss.Unclaimed, 0)).toBeBetween(0, RESUBMIT_MS);
});

// A lease beyond the limit of an entry keeps its runs active at a worker that
// ignores stops.
for (const [loss, name] of LOSSES) {
  it(`a run that ignores stops ends before it is repeated: ${name}`, () => {
    const ms = longestMs(loss, Number.POSITIVE_INFINITY);
    expect(ms).toBeBetween(0, RESUBMIT_MS);
  });
}
