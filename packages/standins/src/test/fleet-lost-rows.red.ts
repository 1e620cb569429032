import { expect } from 'earl';
import { brokenRules } from './resend-steps.js';
import { step } from './sample.js';

// Guards against a run that goes on at a worker whose row is deleted by somebody
// else while its process is cut off from the store: the next process on the VM of
// the run's entry doesn't find the run and starts the task a second time.
it('a run that began before its row is lost is found by a restarted entry', () => {
  const steps = [
    step(
      { kind: 'submit', entry: 1, job: 3, resend: { to: 0, delayMs: 0 } },
      60,
    ),
    step({ kind: 'cut-driver-store', worker: 2 }, 0),
    step({ kind: 'lose-row', worker: 2 }, 50),
    step({ kind: 'kill-entry', entry: 1 }, 0),
  ];
  expect(brokenRules(steps)).toEqual({});
});
