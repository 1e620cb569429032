import { expect } from 'earl';
import {
  RESEND_TIMES_MS,
  budgetScenarios,
  runsTwice,
} from './budget-scenarios.js';

// Guards against a first owner whose runs are active when the caller of their
// job sends it again.
for (const resendMs of RESEND_TIMES_MS) {
  it(`no task runs twice at once if jobs are sent again after ${String(resendMs)} ms`, () => {
    const broken = budgetScenarios(resendMs).filter((scenario) =>
      runsTwice(scenario),
    );
    const names = broken.map(
      ({ name, seed }) => `${name}, seed ${String(seed)}`,
    );
    expect(names).toEqual([]);
  });
}
