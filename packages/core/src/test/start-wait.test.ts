import { expect } from 'earl';
import { CONTENT, withWorker } from './entry-harness.js';
import type { EntryHarness } from './entry-harness.js';
import type { QueueRoute } from '../lib/version/route-table.js';

const route = (
  name: string,
  priority: number,
  service: string,
): QueueRoute => ({
  name,
  host: 'desk.example',
  pathPrefix: `/${name}/`,
  service,
  priority,
  attempts: 2,
  stretch: 1.6,
  slackMs: 60,
  timeoutMs: 3000,
  hasAdvice: false,
});

const configure = (harness: EntryHarness, routes: QueueRoute[]): void => {
  const config = { version: 1, routes, maxBodyBytes: 65_536 };
  harness.entry.routes.apply({ kind: 'config', config });
};

/** Returns the waits of the starts that have been ordered. */
const waits = (harness: EntryHarness): (readonly [number, number])[] =>
  harness.orders.flatMap(({ order }) =>
    order.starts.map(
      ({ priority, maxWaitMs }) => [priority, maxWaitMs] as const,
    ),
  );

const URGENT = route('q', 0, CONTENT.service);
const ROUTINE = route('r', 2, CONTENT.service);

it('starts of a service with several priorities may wait at the worker', () => {
  const harness = withWorker();
  configure(harness, [URGENT, ROUTINE]);
  harness.submit(1, { ...CONTENT, priority: 2 });
  expect(waits(harness)).toEqual([[2, 60]]);
});

it('starts wait no longer than until the latest start of their job', () => {
  const harness = withWorker();
  configure(harness, [URGENT, ROUTINE]);
  harness.submit(1, { ...CONTENT, stretch: 1, slackMs: 25 });
  expect(waits(harness)).toEqual([[0, 25]]);
});

it('starts of a service whose queues have one priority do not wait', () => {
  const harness = withWorker();
  configure(harness, [
    route('q', 2, CONTENT.service),
    route('r', 2, CONTENT.service),
    route('other', 0, 'other'),
  ]);
  harness.submit(1, { ...CONTENT, priority: 2 });
  expect(waits(harness)).toEqual([[0, 0]]);
});
