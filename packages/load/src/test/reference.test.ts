import { expect } from 'earl';
import { generateTrace, referenceResponses } from '../index.js';

it('tasks wait for a free slot in order of arrival', () => {
  const jobs = [
    { atMs: 0, taskMs: [100], isUrgent: false },
    { atMs: 10, taskMs: [100], isUrgent: false },
    { atMs: 20, taskMs: [100], isUrgent: false },
  ];
  expect(referenceResponses(jobs, 1)).toEqual([100, 190, 280]);
  expect(referenceResponses(jobs, 3)).toEqual([100, 100, 100]);
});

it('a task does not start before its job is submitted', () => {
  const jobs = [{ atMs: 50, taskMs: [100, 80], isUrgent: false }];
  expect(referenceResponses(jobs, 4)).toEqual([100]);
});

it('waiting urgent tasks start before routine tasks', () => {
  const jobs = [
    { atMs: 0, taskMs: [100], isUrgent: false },
    { atMs: 10, taskMs: [100], isUrgent: false },
    { atMs: 20, taskMs: [100], isUrgent: true },
  ];
  expect(referenceResponses(jobs, 1)).toEqual([100, 290, 180]);
});

it('a generated trace has the requested load', () => {
  const trace = generateTrace({
    seed: 1,
    lengthMs: 2_000_000,
    load: 0.9,
    slots: 88,
    tasksPerJob: 4,
    urgentShare: 0.3,
  });
  const workMs = trace.flatMap((job) => job.taskMs).reduce((a, b) => a + b, 0);
  const load = workMs / (88 * 2_000_000);
  expect(Math.abs(load - 0.9) < 0.02).toEqual(true);
});
