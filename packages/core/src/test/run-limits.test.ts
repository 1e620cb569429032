import { expect } from 'earl';
import fc from 'fast-check';
import {
  DEFAULT_RUN_BOUNDS,
  DEFAULT_RUN_LIMITS,
  deriveRunLimits,
  longestOrphanMs,
} from '../lib/process/run-limits.js';
import type { RunBounds } from '../lib/process/run-limits.js';

/** Limits that are longest if callers wait long enough, in milliseconds. */
const LONGEST = {
  maxPollAgeMs: 100,
  grantMs: 700,
  expiryGraceMs: 400,
  reconnectGraceMs: 450,
  stopRepeatDelayMs: 100,
  leaseMs: 1000,
  pollWaitMs: 250,
};

const LIMITS = Object.keys(LONGEST) as (keyof typeof LONGEST)[];

/** Mostly bounds of real deployments, some below the least values. */
const bounds: fc.Arbitrary<RunBounds> = fc.record({
  resendMs: fc.integer({ min: -100, max: 5000 }),
  stopMs: fc.integer({ min: -20, max: 500 }),
  maxLeaseMs: fc.integer({ min: 300, max: 5000 }),
});

// Guards against a deployment that gets slower, or other limits, unnoticed.
it('limits of callers that wait for 1,300 ms', () => {
  const limits = deriveRunLimits({
    resendMs: 1300,
    stopMs: 50,
    maxLeaseMs: 1000,
  }).unwrap();
  expect(limits).toEqual({
    ...DEFAULT_RUN_BOUNDS,
    ...LONGEST,
    leaseExpiryMs: 1100,
    runExpiryMs: (700 + 400 + 1100) / 0.98 + 150,
    lateRunExpiryMs: (700 + 400 + 1100) / 0.98 + 150 + 12_000 / 0.98,
  });
  expect(DEFAULT_RUN_LIMITS).toEqual(limits);
});

// Guards against runs that are active when their job is sent again.
it('the limits add up to less than the time until a job is sent again', () => {
  let derived = 0;
  fc.assert(
    fc.property(bounds, (given) => {
      deriveRunLimits(given).map((limits) => {
        derived += 1;
        expect(longestOrphanMs(limits) < given.resendMs).toEqual(true);
        for (const limit of LIMITS) {
          expect(limits[limit]).toBeBetween(1, LONGEST[limit]);
        }
        expect(limits.leaseExpiryMs > given.maxLeaseMs + given.stopMs).toEqual(
          true,
        );
      });
    }),
    { numRuns: 2000 },
  );
  expect(derived > 500).toEqual(true);
});

/** @returns Number of least values that have to be set to get limits. */
const countErrors = (given: RunBounds): number => {
  const result = deriveRunLimits(given);
  if (result.isOk()) {
    return 0;
  }
  const { bound, leastMs } = result.error;
  expect(Number.isInteger(leastMs)).toEqual(true);
  expect(given[bound] < leastMs).toEqual(true);
  const below = deriveRunLimits({ ...given, [bound]: leastMs - 1 });
  expect(below.isErr() && below.error).toEqual({ bound, leastMs });
  return 1 + countErrors({ ...given, [bound]: leastMs });
};

// Guards against an error that sends operators to a value that fails as well.
it('bounds without safe limits name the least value that helps', () => {
  let errors = 0;
  fc.assert(
    fc.property(bounds, (given) => {
      const count = countErrors(given);
      expect(count <= Object.keys(given).length).toEqual(true);
      errors += count;
    }),
    { numRuns: 2000 },
  );
  expect(errors > 200).toEqual(true);
});
