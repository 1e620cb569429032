import { expect } from 'earl';
import {
  DEFAULT_RUN_BOUNDS,
  deriveRunLimits,
} from '../lib/process/run-limits.js';
import type { RunLimits } from '../lib/process/run-limits.js';
import { Loss, longestMs } from './orphaned-run.js';

/** @returns The limits that follow from a time until jobs are sent again. */
const limitsOf = (resendMs: number): RunLimits =>
  deriveRunLimits({ ...DEFAULT_RUN_BOUNDS, resendMs }).unwrap();

const LOSSES = [
  [Loss.LinkClosed, 'entry killed'],
  [Loss.Silence, 'entry cut off'],
  [Loss.CallerGone, 'caller gone'],
  [Loss.Adopted, 'entry replaced'],
] as const;

for (const resendMs of [900, 1300, 3000]) {
  const limits = limitsOf(resendMs);
  const within = `within ${String(resendMs)} ms`;

  // A worker that leaves stops unanswered keeps a run active until its caller
  // has submitted the job to another entry.
  for (const ignoredStops of [0, 1, 2, 3]) {
    const stops = `${String(ignoredStops)} lost stops`;

    for (const [loss, name] of LOSSES) {
      it(`a run ends ${within}: ${name}, ${stops}`, () => {
        const ms = longestMs({ loss, ignoredStops, limits });
        expect(ms < resendMs).toEqual(true);
      });
    }
  }

  // A driver that was restarted and renews the lease of runs that nobody claims
  // keeps them active for longer than callers wait.
  for (const ignoredStops of [0, Number.POSITIVE_INFINITY]) {
    it(`a run that nobody claims ends ${within}, ${String(ignoredStops)} lost stops`, () => {
      const loss = Loss.UnclaimedWithLease;
      const ms = longestMs({ loss, ignoredStops, limits });
      expect(ms).toBeBetween(0, resendMs);
    });
  }

  // A lease beyond the limit of an entry keeps its runs active at a worker that
  // ignores stops.
  for (const [loss, name] of LOSSES) {
    it(`a run that ignores stops ends ${within}: ${name}`, () => {
      const ignoredStops = Number.POSITIVE_INFINITY;
      const ms = longestMs({ loss, ignoredStops, limits });
      expect(ms).toBeBetween(0, resendMs);
    });
  }
}

// A driver that was restarted waits for a claim for longer than callers wait.
// Callers that wait for less than the 1,110 ms that the stop takes are served by
// the end of the lease alone.
for (const resendMs of [1300, 3000]) {
  it(`a run that nobody claims is stopped within ${String(resendMs)} ms`, () => {
    const limits = limitsOf(resendMs);
    const ms = longestMs({ loss: Loss.Unclaimed, ignoredStops: 0, limits });
    expect(ms).toBeBetween(0, resendMs);
  });
}
