import { decodeWorkerOrder, encodeWorkerOrder } from '@sapphiremux/wire';
import { expect } from 'earl';
import fc from 'fast-check';
import { SubmitRefusal } from '../lib/process/batch-events.js';
import { fleetKeys, partName, partOf } from '../lib/process/fleet-rows.js';
import { BatchState } from '../lib/request/batch-job.js';
import type { BatchContent } from '../lib/request/batch-job.js';
import {
  MAX_COUNT,
  invalidFieldOf,
  withWholeNeeds,
} from '../lib/request/job-content.js';
import type { OperatorChange } from '../lib/version/route-table.js';
import {
  CONTENT,
  EntryHarness,
  FakeRows,
  ID,
  helloOf,
  nextOwner,
} from './entry-harness.js';

const VAST = {
  cpuMilli: MAX_COUNT,
  memoryMb: MAX_COUNT,
  accelerators: MAX_COUNT,
};

const ROUTE = {
  host: 'h',
  service: 'svc',
  attempts: 2,
  stretch: 1.6,
  slackMs: 60,
  timeoutMs: 1500,
  hasAdvice: false,
};

/** Two queues of one service, whose starts may wait at a worker. */
const CONFIG: OperatorChange = {
  kind: 'config',
  config: {
    version: 1,
    maxBodyBytes: 0,
    routes: [
      { ...ROUTE, name: 'q', pathPrefix: '/q/', priority: 0 },
      { ...ROUTE, name: 'r', pathPrefix: '/r/', priority: 1 },
    ],
  },
};

/** Returns an entry with a worker that has room for any task. */
const withVastWorker = (rows = new FakeRows()): EntryHarness => {
  rows.addWorker('w1');
  rows.rows.set('|op/config', { value: '', version: 1 });
  const harness = new EntryHarness(rows, 'e1', 'entry-1', {
    decodeOperatorRow: () => CONFIG,
  });
  harness.advance(100);
  const hello = { ...helloOf('w1'), capacity: VAST };
  harness.report('w1', { hello, free: VAST });
  return harness;
};

const number = fc.oneof(
  fc.constantFrom(0, 1, 62.5, -1, MAX_COUNT, MAX_COUNT + 1, Infinity, NaN),
  fc.nat({ max: 5 }),
  fc.double(),
);
/** Mostly whole and small, so that many jobs are valid. */
const count = fc.oneof(
  { weight: 40, arbitrary: fc.integer({ min: 1, max: 3 }) },
  { weight: 1, arbitrary: number },
);
const anyContent: fc.Arbitrary<BatchContent> = fc.record({
  queue: fc.string(),
  service: fc.constant('svc'),
  spec: fc.string({ unit: 'binary' }),
  steps: fc.array(
    fc.record(
      {
        count,
        needs: fc.record(
          { cpuMilli: count, memoryMb: count, accelerators: count },
          { noNullPrototype: true },
        ),
        estimateMs: fc.oneof(count, fc.double({ min: 0, max: MAX_COUNT })),
        after: fc.oneof(
          { weight: 4, arbitrary: fc.constant([]) },
          { weight: 1, arbitrary: fc.array(fc.nat({ max: 2 })) },
        ),
        antiAffinity: count,
        checkpointing: fc.boolean(),
      },
      { noNullPrototype: true },
    ),
    { maxLength: 3 },
  ),
  attempts: count,
  isVolatile: fc.boolean(),
  priority: count,
  stretch: fc.oneof(count, fc.double()),
  slackMs: fc.oneof(count, fc.double()),
});

// Guards against a job that is accepted and whose orders no worker can decode, so
// that they close the link of all other work.
it('the orders of each accepted job are the same after encoding and decoding', () => {
  let started = 0;
  fc.assert(
    fc.property(anyContent, (job) => {
      const harness = withVastWorker();
      harness.submit(1, job);
      const reply = harness.replies.get(1);
      const isInvalid =
        reply?.kind === 'refused' && reply.reason === SubmitRefusal.Invalid;
      expect(isInvalid).toEqual(invalidFieldOf(job) !== undefined);
      if (isInvalid) {
        expect(harness.started).toEqual([]);
        return;
      }
      started += Math.min(1, harness.started.length);
      for (const { order } of harness.orders) {
        expect(decodeWorkerOrder(encodeWorkerOrder(order))).toEqual({
          kind: 'message',
          message: order,
        });
      }
    }),
    { numRuns: 400 },
  );
  expect(started > 50).toEqual(true);
});

const [STEP] = CONTENT.steps as [BatchContent['steps'][number]];
const withStep = (fields: Partial<typeof STEP>): BatchContent => ({
  ...CONTENT,
  steps: [{ ...STEP, ...fields }],
});

// Guards against a log line that does not tell which field is wrong.
it('an invalid field is named', () => {
  const needs = { ...STEP.needs, memoryMb: 62.5 };
  expect(
    [
      withStep({ needs }),
      withStep({ count: 0 }),
      withStep({ count: 20_000 }),
      withStep({ after: [0] }),
      withStep({ estimateMs: -1 }),
      withStep({ antiAffinity: 0 }),
      { ...CONTENT, steps: [] },
      { ...CONTENT, priority: 0.5 },
      { ...CONTENT, attempts: 0 },
      CONTENT,
    ].map(invalidFieldOf),
  ).toEqual([
    'steps.0.needs.memoryMb',
    'steps.0.count',
    'steps',
    'steps.0.after',
    'steps.0.estimateMs',
    'steps.0.antiAffinity',
    'steps',
    'priority',
    'attempts',
    undefined,
  ]);
  expect(invalidFieldOf(withWholeNeeds(withStep({ needs })))).toEqual(
    undefined,
  );
});

/** Lets a new process take over a stored job with these needs. */
const adopt = (needs: Partial<typeof STEP.needs>): EntryHarness => {
  const rows = new FakeRows();
  withVastWorker(rows).submit(1, { isVolatile: false });
  const key = `${partName(partOf(ID))}|${fleetKeys.job(ID)}`;
  const { value = '{}', version = 0 } = rows.rows.get(key) ?? {};
  const row = JSON.parse(value) as { content: BatchContent };
  const content = {
    ...withStep({ needs: { ...STEP.needs, ...needs } }),
    isVolatile: false,
  };
  rows.rows.set(key, { value: JSON.stringify({ ...row, content }), version });
  const next = nextOwner(rows);
  next.report('w1', { snapshot: true, adopted: ['e1'] });
  next.advance(1200);
  next.report('w1');
  return next;
};

// Guards against a job that an earlier version accepted and that never runs.
it('a stored job with a fraction of a megabyte runs with the next whole number', () => {
  const next = adopt({ memoryMb: 62.5 });
  expect(next.started.length).toEqual(2);
  const groups = next.orders.flatMap(({ order }) => order.starts);
  expect(groups[0]?.needs?.memoryMb).toEqual(63);
});

// Guards against a stored job that closes the links of all workers it is sent to.
it('a stored job that no order can carry fails and is not sent', () => {
  const next = adopt({ memoryMb: 2 * MAX_COUNT });
  expect(next.started).toEqual([]);
  const deadlineMs = next.now + 1000;
  next.handle({ kind: 'status', replyId: 9, id: ID, deadlineMs });
  expect(next.replies.get(9)).toEqual({
    kind: 'state',
    state: BatchState.Failed,
  });
});
