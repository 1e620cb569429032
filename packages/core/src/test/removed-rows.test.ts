import { expect } from 'earl';
import { EntryHarness, FakeRows, ID, withWorker } from './entry-harness.js';

const TASKS = [`${ID}.0.0.0#1`, `${ID}.0.0.1#1`];

/** Has an entry read a change of the row of its worker. */
const changeRow = (
  harness: EntryHarness,
  rows: FakeRows,
  value: string | null,
): void => {
  rows.version += 1;
  const { version } = rows;
  harness.handle({
    kind: 'follow-reply',
    table: 'member',
    reply: {
      kind: 'changes',
      rows: [{ key: 'worker/w1', value, version }],
      version,
    },
  });
};

// Guards against a run that a successor doesn't find and starts a second time.
it('tasks of a recorded job wait for the row of their worker', () => {
  const rows = new FakeRows();
  const harness = withWorker(rows);
  changeRow(harness, rows, null);
  harness.submit(1, { isVolatile: false });
  expect(harness.started).toEqual([]);
  changeRow(harness, rows, JSON.stringify({ address: 'w1', dataCentre: 'dc' }));
  harness.report('w1');
  expect(harness.started).toEqual(TASKS);
});

// Guards against a worker that is not used while its process restores its row.
it('tasks of a volatile job start at a worker whose row is absent', () => {
  const rows = new FakeRows();
  const harness = withWorker(rows);
  changeRow(harness, rows, null);
  harness.submit(1);
  expect(harness.started).toEqual(TASKS);
});

// Guards against a process that doesn't learn that its row is absent.
it('an order carries the version of the row once for each change', () => {
  const rows = new FakeRows();
  const harness = withWorker(rows);
  const versions = (): (number | undefined)[] =>
    harness.orders
      .splice(0)
      .map(({ order }) => order.registrationVersion)
      .filter((version) => version !== undefined);
  expect(versions()).toEqual([1]);
  harness.advance(600);
  harness.report('w1');
  expect(versions()).toEqual([]);
  changeRow(harness, rows, null);
  harness.advance(100);
  expect(versions()).toEqual([0]);
});
