import {
  DEFAULT_RUN_BOUNDS,
  WorkerDriver,
  deriveRunLimits,
} from '@sapphiremux/core';
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

/** Resend times at which the limits leave less than 300 ms. */
const SHORT_TIMES_MS = [900, 1300];
/** By how much a limit is too long in a planted fault. */
const RAISE_MS = 300;

// The scenarios show that each term of the sum is needed. They do not guard
// `reconnectGraceMs` and `stopRepeatDelayMs`, which are not terms of it: the
// grant and the lease end a run in time without them.
for (const term of ['maxPollAgeMs', 'grantMs', 'expiryGraceMs'] as const) {
  for (const resendMs of SHORT_TIMES_MS) {
    it(`the fleet simulation finds a limit that is too long: ${term}, ${String(resendMs)} ms`, () => {
      const bounds = { ...DEFAULT_RUN_BOUNDS, resendMs };
      const limitMs = deriveRunLimits(bounds).unwrap()[term] + RAISE_MS;
      const isFound = budgetScenarios(resendMs).some((scenario) =>
        runsTwice(scenario, { limits: { [term]: limitMs } }),
      );
      expect(isFound).toEqual(true);
    });
  }
}

// At 1,300 ms the worker's own maximum is no longer than this limit.
it('the fleet simulation finds a limit that is too long: leaseMs, 900 ms', () => {
  const limits = { leaseMs: DEFAULT_RUN_BOUNDS.maxLeaseMs };
  const isFound = budgetScenarios(900).some((scenario) =>
    runsTwice(scenario, { limits }),
  );
  expect(isFound).toEqual(true);
});

/** Members of the worker driver that keep the limit of stopped runs. */
const KEPT_LIMITS = {
  _stoppedLeaseLimitMs: { get: () => Number.POSITIVE_INFINITY },
  _stopVolatileRuns: { value: () => undefined },
};

for (const [member, without] of Object.entries(KEPT_LIMITS)) {
  for (const resendMs of SHORT_TIMES_MS) {
    it(`the fleet simulation finds a limit that is not kept: ${member}, ${String(resendMs)} ms`, () => {
      const { prototype } = WorkerDriver;
      const original = Object.getOwnPropertyDescriptor(prototype, member);
      if (!original) {
        throw new Error(`the worker driver has no ${member}`);
      }
      const fault = { ...without, configurable: true };
      Object.defineProperty(prototype, member, fault);
      try {
        expect(budgetScenarios(resendMs).some((s) => runsTwice(s))).toEqual(
          true,
        );
      } finally {
        Object.defineProperty(prototype, member, original);
      }
    });
  }
}
