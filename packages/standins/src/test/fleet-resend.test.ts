import { expect } from 'earl';
import {
  RESENT_MS,
  SUBMIT,
  brokenRules,
  resetCallers,
} from './resend-steps.js';
import { step } from './sample.js';

/** A volatile job of three tasks that take 1.5 s each. */
const JOB = 2;

/**
 * A busy entry reads a submission whose caller has been reset and has sent the
 * job to another entry.
 */
const LATE_READ = [
  step({ kind: 'slow-entry', entry: 0, turnsMs: [1600] }, 5),
  step(
    { kind: 'submit', entry: 0, job: JOB, resend: { to: 1, delayMs: 0 } },
    10,
  ),
  step({ kind: 'reset-callers', entry: 0, isPartial: false }, 3000),
];

it('a submission that is read after its caller was reset starts no runs', () => {
  expect(brokenRules(LATE_READ)).toEqual({});
});

it('the fleet simulation shows runs that begin before the close of their caller is read', () => {
  expect(Object.keys(brokenRules(LATE_READ, false))).toEqual([
    'one run at a time',
  ]);
});

it('a busy entry does not extend the runs of a caller that has been reset', () => {
  const steps = [
    SUBMIT,
    step({ kind: 'slow-entry', entry: 0, turnsMs: [100, 500, 1500] }, 101),
    resetCallers(RESENT_MS),
  ];
  expect(brokenRules(steps)).toEqual({});
});
