import { expect } from 'earl';
import { EndKind } from '../lib/messages.js';
import { WorkerRejection } from '../lib/process/worker-events.js';
import type { WorkerHeartbeat } from '../lib/process/worker-events.js';
import { BORN_MS, endKinds, ready, starts } from './worker-harness.js';
import type { DriverHarness } from './worker-harness.js';

const RUN = { task: 'j.0.0.0', run: 1, checkpoint: '', percent: 100 };

/** A heartbeat that names no runner to use. */
const FOREIGN: Partial<WorkerHeartbeat> = {
  id: 'i-foreign',
  bornMs: BORN_MS + 500,
  sequence: 1,
  service: 'other',
};

/** @returns A driver whose worker is at work on one run. */
const atWork = (): DriverHarness => {
  const harness = ready();
  harness.order({ holdUntilMs: 5700, starts: starts('j.0.0.0') });
  harness.answer('start');
  harness.active = [RUN];
  return harness;
};

const answerPolls = (harness: DriverHarness, count: number): void => {
  for (let polls = 0; polls < count; polls += 1) {
    harness.advance(10);
    harness.answerPoll();
  }
};

for (const service of ['other', 'svc']) {
  // Guards against a heartbeat of another writer that is taken for the next
  // incarnation, so that active runs are reported as lost and start elsewhere.
  it(`a foreign heartbeat changes nothing while the worker answers: ${service}`, () => {
    const harness = atWork();
    const { length } = harness.reports;
    harness.heartbeat({ ...FOREIGN, service });
    answerPolls(harness, 2);
    harness.order({ holdUntilMs: 5700, starts: starts('k.0.0.0') });
    expect(harness.count('start')).toEqual(1);
    expect(endKinds(harness)).toEqual([]);
    expect(harness.reports.slice(length).map((r) => r.hello)).toEqual(
      harness.reports.slice(length).map(() => undefined),
    );
    expect(harness.confirmed.includes('i-foreign')).toEqual(false);
  });
}

// Guards against runs that are declared lost while the worker may be at work.
it('a foreign heartbeat replaces no worker that is silent for a moment', () => {
  const harness = atWork();
  harness.answer('hold', { kind: 'no-answer', detail: 'timed out' });
  harness.heartbeat(FOREIGN);
  harness.advance(60);
  harness.answer('hold', { kind: 'no-answer', detail: 'timed out' });
  harness.advance(60);
  harness.answerPoll();
  expect(endKinds(harness)).toEqual([]);
});

it('a heartbeat cannot change the service of a worker', () => {
  const harness = atWork();
  harness.heartbeat({ service: 'other' });
  harness.heartbeat({ id: 'i-foreign', sequence: 1 });
  answerPolls(harness, 2);
  expect(endKinds(harness)).toEqual([]);
  const hellos = harness.reports.flatMap(({ hello }) => hello ?? []);
  expect(hellos.map(({ service }) => service)).toEqual(['svc']);
});

// Guards against a real replacement that is taken for a foreign heartbeat.
it('a new incarnation of another service replaces one that has ended', () => {
  const harness = atWork();
  const next = { id: 'i-2', bornMs: BORN_MS + 500, service: 'other' };
  harness.heartbeat(next);
  expect(endKinds(harness)).toEqual([]);
  harness.answer('hold', {
    kind: 'rejected',
    reason: WorkerRejection.OtherIncarnation,
    clockMs: undefined,
  });
  expect(endKinds(harness)).toEqual([EndKind.LOST]);
  harness.bornMs = next.bornMs;
  harness.active = [];
  harness.advance(60);
  harness.answerPoll();
  const hello = harness.reports.findLast((report) => report.hello)?.hello;
  expect([hello?.service, hello?.life]).toEqual(['other', '1000500']);
  expect(harness.confirmed.at(-1)).toEqual('i-2');
});

it('a new incarnation replaces one that does not answer any more', () => {
  const harness = atWork();
  harness.heartbeat({ id: 'i-2', bornMs: BORN_MS + 500 });
  expect(endKinds(harness)).toEqual([]);
  harness.answer('hold', { kind: 'no-answer', detail: 'connection closed' });
  expect(endKinds(harness)).toEqual([EndKind.LOST]);
});

it('a worker that restarts under its id is replaced by its own answer', () => {
  const harness = atWork();
  harness.bornMs = BORN_MS + 500;
  harness.clock = 1;
  harness.active = [];
  harness.heartbeat();
  harness.answerPoll();
  expect(endKinds(harness)).toEqual([EndKind.LOST]);
  harness.order({ holdUntilMs: 5700, starts: starts('k.0.0.0') });
  expect(harness.count('start')).toEqual(1);
});

// Guards against a log that grows with each heartbeat of another writer.
it('ignored heartbeats are logged once in a while', () => {
  const harness = atWork();
  for (let sent = 0; sent < 20; sent += 1) {
    harness.heartbeat(FOREIGN);
    answerPolls(harness, 2);
  }
  const lines = harness.logs
    .map(({ message }) => message)
    .filter((line) => line.includes('ignored'));
  expect(lines.length).toEqual(1);
});

// Guards against a row with a foreign worker, which the worker that leaves would
// then not delete.
it('a worker is confirmed by its first answer, or when it leaves', () => {
  const harness = ready();
  expect(harness.confirmed).toEqual(['i-1']);
  harness.restartWorker();
  expect(harness.confirmed).toEqual(['i-1', 'i-2']);
  harness.answer('hold', { kind: 'unreachable' });
  harness.heartbeat({ id: 'i-3', bornMs: harness.bornMs + 1 });
  harness.handle({ kind: 'leave', id: 'i-3' });
  expect(harness.confirmed).toEqual(['i-1', 'i-2', 'i-3']);
});
