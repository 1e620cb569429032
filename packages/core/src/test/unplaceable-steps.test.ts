import { expect } from 'earl';
import type { JobStepContent } from '../lib/request/batch-job.js';
import { CAPACITY, CONTENT, ID, withWorker } from './entry-harness.js';

const STEP: JobStepContent = {
  count: 2,
  needs: { cpuMilli: 1000, memoryMb: 64, accelerators: 0 },
  estimateMs: 100,
  after: [],
  checkpointing: false,
};

/** Tasks that an entry with one worker starts of a job of two steps. */
const startedOf = (
  first: Partial<JobStepContent>,
  second: Partial<JobStepContent> = {},
  isVolatile = false,
): string[] => {
  const harness = withWorker();
  const steps = [
    { ...STEP, ...first },
    { ...STEP, ...second },
  ];
  harness.submit(1, { ...CONTENT, isVolatile, steps });
  return harness.started.map((run) => run.slice(ID.length));
};

const SECOND_STEP = ['.0.1.0#1', '.0.1.1#1'];

// Guards against a job that stands still behind a step that no worker can run.
it('a step starts while the one before it waits for workers of a label', () => {
  expect(startedOf({ requires: 'b' })).toEqual(SECOND_STEP);
});

it('a step of a volatile job starts while the one before it waits for workers', () => {
  expect(startedOf({ requires: 'b' }, {}, true)).toEqual(SECOND_STEP);
});

it('a step starts while the one before it waits for capacity', () => {
  const needs = { ...STEP.needs, cpuMilli: CAPACITY.cpuMilli + 1 };
  expect(startedOf({ needs })).toEqual(SECOND_STEP);
});

it('a step starts while its limit for a worker holds back one before it', () => {
  expect(startedOf({ antiAffinity: 1 })).toEqual(['.0.0.0#1', ...SECOND_STEP]);
});

it('a step does not start before the one that it depends on', () => {
  expect(startedOf({ requires: 'b' }, { after: [0] })).toEqual([]);
});
