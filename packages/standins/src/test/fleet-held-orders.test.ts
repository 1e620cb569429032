import { expect } from 'earl';
import { LONG_VOLATILE_JOB } from '../lib/fleet-sim/fleet-commands.js';
import { RESENT_MS, WORKERS, brokenRules, forWorkers } from './resend-steps.js';
import { step } from './sample.js';

/** Time after which an entry gives up the runs at a worker without contact. */
const GIVEN_UP_MS = 2500;

// Guards against a start that a cut has held back and that begins after its
// entry has opened a newer link and has placed the task elsewhere.
it('a start that a cut has held back does not begin beside a later run', () => {
  const steps = [
    ...forWorkers([0, 1], (worker) => ({ kind: 'cut', entry: 0, worker })),
    step({ kind: 'submit', entry: 0, job: LONG_VOLATILE_JOB }, GIVEN_UP_MS),
    step({ kind: 'heal' }, RESENT_MS),
  ];
  expect(brokenRules(steps)).toEqual({});
});

// The caller is gone, so nothing keeps the task of the other entry from running.
it('a start that a cut has held back does not begin beside a resent job', () => {
  const steps = [
    ...forWorkers(WORKERS, (worker) => ({ kind: 'cut', entry: 0, worker })),
    step(
      {
        kind: 'submit',
        entry: 0,
        job: LONG_VOLATILE_JOB,
        resend: { to: 1, delayMs: 0 },
      },
      1000,
    ),
    step({ kind: 'reset-callers', entry: 0, isPartial: false }, GIVEN_UP_MS),
    step({ kind: 'heal' }, RESENT_MS),
  ];
  expect(brokenRules(steps)).toEqual({});
});
