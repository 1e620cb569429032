import { expect } from 'earl';
import { EndKind, StartRefusal } from '../lib/messages.js';
import { EntryHarness, FakeRows } from './entry-harness.js';
import { DriverHarness, ready, starts } from './worker-harness.js';

const TASK = 'a.0.0.0';

const hold = (harness: DriverHarness) => ({
  holdUntilMs: harness.clock + 700,
});

const startedTasks = (harness: DriverHarness): string[] =>
  harness.calls.flatMap(({ call }) => (call.kind === 'start' ? call.task : []));

/** Returns the refusals that were reported on a link. */
const refusedOn = (harness: DriverHarness, linkId: number) =>
  (harness.reportsByLink.get(linkId) ?? []).flatMap(({ refused }) => refused);

// The entry may have given the run up and have placed the task elsewhere.
it('an order that arrives behind the first one of a newer link begins no run', () => {
  const harness = ready();
  const held = { ...hold(harness), starts: starts(TASK) };
  harness.advance(10);
  harness.openLink(2);
  harness.order(held, 1);
  expect(startedTasks(harness)).toEqual([]);
  expect(harness.closedLinks).toEqual([1]);
});

// A driver that was not scheduled reads both links in one turn. The entry asks for
// the run by a stop, and must get one answer only: if it has placed a later run
// after a refusal, a further answer about this one would count as that one's.
it('a start of an earlier link that is read in the turn of the newer one is dropped', () => {
  const harness = ready();
  harness.read({ ...hold(harness), starts: starts(TASK) }, 1);
  harness.handle({ kind: 'link-open', linkId: 2 });
  harness.read(hold(harness), 2);
  harness.handle({ kind: 'flush' });
  expect(startedTasks(harness)).toEqual([]);
  const [report] = harness.reportsByLink.get(2) ?? [];
  expect(report?.snapshot).toEqual(true);
  expect(report?.active).toEqual([]);
  expect(refusedOn(harness, 2)).toEqual([]);
  harness.order({ ...hold(harness), stops: [{ task: TASK, run: 1 }] }, 2);
  harness.answer('stop');
  harness.answerPoll();
  harness.advance(10);
  harness.answerPoll();
  expect(refusedOn(harness, 2)).toEqual([
    { task: TASK, run: 1, reason: StartRefusal.NO_ANSWER },
  ]);
});

// Connections are numbered as they are accepted, but read in any order.
it('a link that sends its first order after a newer link is not served', () => {
  const harness = ready();
  harness.handle({ kind: 'link-open', linkId: 2 });
  harness.openLink(3);
  harness.order({ ...hold(harness), starts: starts(TASK) }, 2);
  expect(startedTasks(harness)).toEqual([]);
  expect(harness.closedLinks).toEqual([1, 2]);
  harness.order({ ...hold(harness), starts: starts(TASK) }, 3);
  expect(startedTasks(harness)).toEqual([TASK]);
});

// The last step of opening a connection may be held back by a cut.
it('a link that is accepted after the one that has replaced it is not served', () => {
  const harness = new DriverHarness();
  harness.announce();
  harness.handle({ kind: 'link-open', linkId: 1 });
  harness.order({ ...hold(harness), linkNumber: 8 }, 1);
  harness.advance(10);
  harness.handle({ kind: 'link-open', linkId: 2 });
  const late = { ...hold(harness), linkNumber: 7, starts: starts(TASK) };
  harness.order(late, 2);
  expect(startedTasks(harness)).toEqual([]);
  expect(harness.closedLinks).toEqual([2]);
  harness.order({ ...hold(harness), linkNumber: 8, starts: starts(TASK) }, 1);
  expect(startedTasks(harness)).toEqual([TASK]);
  harness.handle({ kind: 'link-open', linkId: 3 });
  harness.order({ ...hold(harness), linkNumber: 9 }, 3);
  expect(harness.closedLinks).toEqual([2, 1]);
});

it('a link is not served after the one that has replaced it has closed', () => {
  const harness = new DriverHarness();
  harness.announce();
  harness.handle({ kind: 'link-open', linkId: 1 });
  harness.order({ ...hold(harness), linkNumber: 8 }, 1);
  harness.advance(10);
  harness.handle({ kind: 'link-closed', linkId: 1 });
  harness.handle({ kind: 'link-open', linkId: 2 });
  const late = { ...hold(harness), linkNumber: 7, starts: starts(TASK) };
  harness.order(late, 2);
  expect(startedTasks(harness)).toEqual([]);
  expect(harness.closedLinks).toEqual([2]);
});

it('the orders of an entry number its links in the order of opening', () => {
  const rows = new FakeRows();
  rows.addWorker('w1');
  const harness = new EntryHarness(rows);
  harness.advance(100);
  const linkId = harness.links.get('w1') ?? 0;
  harness.handle({ kind: 'link-closed', linkId, detail: 'reset' });
  harness.advance(300);
  const numbers = new Set(harness.orders.map(({ order }) => order.linkNumber));
  expect([...numbers].length).toEqual(2);
  expect([...numbers]).toEqual([...numbers].sort((a, b) => a - b));
  expect(numbers.has(0)).toEqual(false);
});

it('runs that an earlier link has begun go on and are in the snapshot', () => {
  const harness = ready();
  harness.order({ ...hold(harness), starts: starts(TASK) }, 1);
  harness.answer('start');
  harness.openLink(2);
  const active = harness.reportsByLink.get(2)?.[0]?.active;
  expect(active?.map(({ task }) => task)).toEqual([TASK]);
  expect(harness.count('stop')).toEqual(0);
});

// The ends of volatile runs are not listed again once they count as recorded.
it('what an earlier link has not reported is reported on the newer one', () => {
  const harness = ready();
  harness.order({ ...hold(harness), starts: starts(TASK) }, 1);
  harness.answer('start');
  const { callId } = harness.takeCall('hold');
  const end = { number: 1, task: TASK, run: 1, checkpoint: '' };
  harness.handle({
    kind: 'reply',
    callId,
    reply: {
      kind: 'held',
      clockMs: harness.clock,
      bornMs: harness.bornMs,
      active: [],
      ends: [{ ...end, kind: EndKind.DONE }],
    },
  });
  harness.handle({ kind: 'link-open', linkId: 2 });
  harness.read(hold(harness), 2);
  harness.handle({ kind: 'flush' });
  const ends = harness.reportsByLink.get(2)?.flatMap((report) => report.ends);
  expect(ends?.map(({ task, kind }) => ({ task, kind }))).toEqual([
    { task: TASK, kind: EndKind.DONE },
  ]);
});

// The entry asks for the run by a stop and must get one answer only, see above.
it('a refusal that an earlier link has not reported is not reported on the newer one', () => {
  const harness = ready();
  const full = { ...hold(harness), starts: starts(TASK, 'b.0', 'c.0') };
  harness.read(full, 1);
  harness.handle({ kind: 'link-open', linkId: 2 });
  harness.read(hold(harness), 2);
  harness.handle({ kind: 'flush' });
  expect(refusedOn(harness, 1)).toEqual([]);
  expect(refusedOn(harness, 2)).toEqual([]);
  const stops = [{ task: 'c.0', run: 1 }];
  harness.order({ ...hold(harness), stops }, 2);
  harness.answer('stop');
  harness.answerPoll();
  harness.advance(10);
  harness.answerPoll();
  expect(refusedOn(harness, 2)).toEqual([
    { task: 'c.0', run: 1, reason: StartRefusal.NO_ANSWER },
  ]);
});

// An entry that has lost its newest link must not keep its runs by an earlier
// one that it closed long ago.
it('the runs of an entry expire soon after its newest link has closed', () => {
  const harness = ready();
  harness.openLink(2);
  harness.order({ ...hold(harness), starts: starts(TASK) }, 2);
  harness.answer('start');
  harness.handle({ kind: 'link-closed', linkId: 2 });
  harness.advance(460);
  harness.answerPoll();
  expect(harness.count('stop')).toEqual(1);
});

it('links of different entries do not close each other', () => {
  const harness = ready();
  harness.openLink(2, 'b1');
  harness.order({ ...hold(harness), starts: starts(TASK) }, 1);
  expect(startedTasks(harness)).toEqual([TASK]);
  expect(harness.closedLinks).toEqual([]);
});

// A VM that is removed leaves its row; a new VM may get its address. The worker
// driver would close the two links in turn.
it('an entry opens one link to an address that two rows of workers name', () => {
  const rows = new FakeRows();
  for (const name of ['w1', 'w2']) {
    rows.addWorker(name, 1, 'vm:1');
  }
  const harness = new EntryHarness(rows);
  harness.advance(100);
  const opened = harness.actionKinds.filter((kind) => kind === 'open-link');
  expect(opened.length).toEqual(1);
});
