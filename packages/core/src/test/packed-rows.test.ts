import { expect } from 'earl';
import {
  decodeJobRow,
  decodeProgress,
  encodeJobRow,
  encodeProgress,
} from '../lib/process/fleet-rows.js';
import type { OpenJobRow } from '../lib/process/fleet-rows.js';
import {
  formatRanges,
  maxProgressBytes,
  packContent,
  parseRanges,
  unpackContent,
} from '../lib/process/packed-rows.js';
import {
  DEFAULT_STORE_LIMITS,
  valueBytes,
} from '../lib/process/store-limits.js';
import type {
  BatchContent,
  BatchProgress,
  JobStepContent,
} from '../lib/request/batch-job.js';
import { CONTENT } from './entry-harness.js';

/** Largest number of tasks of a job that callers are promised. */
const TASKS = 800;
const { rowBytes } = DEFAULT_STORE_LIMITS;

const stepsOf = (
  after: (index: number) => number[],
  fields: (index: number) => Partial<JobStepContent> = () => ({}),
): BatchContent => ({
  ...CONTENT,
  isVolatile: false,
  steps: Array.from({ length: TASKS }, (_, index) => ({
    count: 1,
    needs: { cpuMilli: 1600, memoryMb: 64, accelerators: 0 },
    estimateMs: 100,
    after: after(index),
    checkpointing: false,
    ...fields(index),
  })),
});

const rowOf = (content: BatchContent): OpenJobRow => ({
  kind: 'open',
  owner: '0123456789ab',
  epoch: 0,
  content,
});

const allBefore = (index: number): number[] =>
  Array.from({ length: index }, (_, before) => before);
const oneBefore = (index: number): number[] => allBefore(index).slice(-1);

const JOBS: readonly (readonly [string, BatchContent])[] = [
  ['a chain of 800 steps', stepsOf(oneBefore)],
  ['800 steps that each follow all earlier ones', stepsOf(allBefore)],
  [
    '800 steps that differ in each field',
    stepsOf(oneBefore, (index) => ({
      needs: { cpuMilli: 1000 + index, memoryMb: 640 + index, accelerators: 1 },
      estimateMs: 1000 + index,
      requires: index % 2 === 0 ? 'a' : 'b',
      affinity: `r${String(index % 16)}-1`,
      antiAffinity: 1 + (index % 3),
      checkpointing: index % 2 === 0,
    })),
  ],
];

// Guards against accepted jobs that the store can't hold.
for (const [name, content] of JOBS) {
  it(`${name} fit into a row and are read back as they were`, () => {
    const value = encodeJobRow(rowOf(content), rowBytes);
    expect(valueBytes(JSON.stringify(rowOf(content)))).toBeGreaterThan(
      rowBytes,
    );
    expect(valueBytes(value)).toBeLessThanOrEqual(rowBytes);
    expect(decodeJobRow(value)).toEqual(rowOf(content));
  });
}

it('a row that fits is readable by earlier versions', () => {
  const row = rowOf(CONTENT);
  expect(encodeJobRow(row, rowBytes)).toEqual(JSON.stringify(row));
});

// Guards against optional fields and odd dependencies that change in the row.
it('each optional field of a step survives the packed form', () => {
  const options: Partial<JobStepContent>[] = [
    {},
    { requires: 'a' },
    { affinity: 'r' },
    { antiAffinity: 2 },
    { requires: 'a', antiAffinity: 2 },
    { after: [-1, 0.5] },
  ];
  const content = stepsOf(
    () => [],
    (index) => options[index] ?? {},
  );
  expect(unpackContent(packContent(content))).toEqual(content);
});

it('ranges hold each number once, in ascending order', () => {
  expect(formatRanges([7, 1, 0, 2, 2, 9, 8])).toEqual('0-2,7-9');
  expect(parseRanges('0-2,7-9,11')).toEqual([0, 1, 2, 7, 8, 9, 11]);
  expect(parseRanges(formatRanges([]))).toEqual([]);
});

const recordOf = <T>(
  count: number,
  valueOf: (position: number) => T,
): Record<string, T> =>
  Object.fromEntries(
    Array.from({ length: count }, (_, position) => [
      String(position),
      valueOf(position),
    ]),
  );

/** Progress of a job in which each task has failed and crashed its workers. */
const worstProgress = (crashesPerTask: number): BatchProgress => ({
  done: Array.from({ length: TASKS / 2 }, (_, index) => 2 * index),
  failures: recordOf(TASKS, () => 2),
  failedRuns: recordOf(TASKS, (position) => [10_001 + position, 20_001]),
  crashes: recordOf(TASKS, (position) =>
    Array.from({ length: crashesPerTask }, (_, crash) => ({
      key: `side-north-${String(crash)}/${String(1_773_226_117_400 + position)}`,
      activeMs: 100.123_456_789,
      uncertaintyMs: 12.123_456_789,
    })),
  ),
});

// Guards against rows that fit at first and outgrow the limit with the ends.
it('progress with failures and crashes of 800 tasks fits into a row', () => {
  const progress = worstProgress(1);
  const value = encodeProgress(progress, rowBytes);
  expect(valueBytes(JSON.stringify(progress))).toBeGreaterThan(rowBytes);
  expect(valueBytes(value)).toBeLessThanOrEqual(rowBytes);
  const restored = decodeProgress(value);
  expect(restored?.done).toEqual(progress.done);
  // What has happened to a task before it was done does not matter any more.
  expect(restored?.failures['0']).toEqual(undefined);
  expect(restored?.failedRuns?.['1']).toEqual([10_002, 20_001]);
  expect(restored?.crashes?.['1']).toEqual([
    {
      key: 'side-north-0/1773226117401',
      activeMs: 100,
      uncertaintyMs: 12,
    },
  ]);
});

it('progress that is too large when packed keeps done tasks and failures', () => {
  const progress = worstProgress(4);
  for (const limit of [rowBytes, maxProgressBytes(JOBS[0]?.[1] ?? CONTENT)]) {
    const value = encodeProgress(progress, limit);
    expect(valueBytes(value)).toBeLessThanOrEqual(limit);
    const restored = decodeProgress(value);
    expect(restored?.done).toEqual(progress.done);
    expect(restored?.failures['1']).toEqual(2);
  }
});
