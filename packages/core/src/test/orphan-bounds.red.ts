import { expect } from 'earl';
import { Loss, RESUBMIT_MS, longestMs } from './orphaned-run.js';

const NEVER = Number.POSITIVE_INFINITY;

const expectInTime = (loss: Loss, ignoredStops: number): void => {
  expect(longestMs(loss, ignoredStops)).toBeBetween(0, RESUBMIT_MS);
};

// The lease is renewed until the run is overdue, and then has to expire.
it('a run that ignores stops ends before it is repeated: entry killed', () => {
  expectInTime(Loss.LinkClosed, NEVER);
});

// As above, with the full time limit of the entry before the first stop.
it('a run that ignores stops ends before it is repeated: entry cut off', () => {
  expectInTime(Loss.Silence, NEVER);
});
