import { expect } from 'earl';
import {
  WORKERS,
  SUBMIT,
  brokenRules,
  forWorkers,
  resetCallers,
} from './resend-steps.js';
import { step } from './sample.js';

/** Time until the worker driver processes have restored their rows. */
const REPAIRED_MS = 2000;

const loseRows = forWorkers(WORKERS, (worker) => ({
  kind: 'lose-row',
  worker,
}));

// Guards against runs that are given up, and begun elsewhere, because the row of
// their worker is absent although its process answers.
it('runs at workers whose rows disappear go on, and new ones begin', () => {
  const steps = [
    SUBMIT,
    ...loseRows,
    step({ kind: 'submit', entry: 1, job: 3 }, 100),
    step({ kind: 'submit', entry: 2, job: 1 }, REPAIRED_MS),
  ];
  expect(brokenRules(steps)).toEqual({});
});

// Guards against two runs of a task under two entries, one of which no longer
// sees the worker of the first run.
it('a job that is resent while the rows are absent runs once at a time', () => {
  const steps = [
    ...forWorkers(WORKERS, (worker) => ({ kind: 'cut-driver-store', worker })),
    SUBMIT,
    ...loseRows,
    resetCallers(REPAIRED_MS),
    step({ kind: 'heal' }, REPAIRED_MS),
  ];
  expect(brokenRules(steps)).toEqual({});
});

it('a process that is restarted while its row is absent registers again', () => {
  const steps = [
    SUBMIT,
    ...loseRows,
    ...forWorkers(WORKERS, (worker) => ({ kind: 'kill-driver', worker })),
    step({ kind: 'restart' }, REPAIRED_MS),
  ];
  expect(brokenRules(steps)).toEqual({});
});

// Guards against a run of a recorded job at a worker without a row, which the next
// process on the VM of its entry doesn't find and starts a second time.
it('a recorded job runs once at a time if its entry is killed while a row is absent', () => {
  const steps = [
    step({ kind: 'cut-driver-store', worker: 2 }, 0),
    step({ kind: 'lose-row', worker: 2 }, 50),
    step(
      {
        kind: 'submit',
        entry: 1,
        job: 3,
        resend: { to: 0, delayMs: 0 },
      },
      100,
    ),
    step({ kind: 'kill-entry', entry: 1 }, 0),
  ];
  expect(brokenRules(steps)).toEqual({});
});
