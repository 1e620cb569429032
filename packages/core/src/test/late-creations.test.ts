import { expect } from 'earl';
import { EntryHarness, FakeRows, ID } from './entry-harness.js';
import { LateRows } from './late-rows.js';

/** Time after which the jobs of an unresponsive entry have been taken over. */
const TAKEOVER_MS = 6000;

/** Has another entry take over the jobs of an incarnation that stands still. */
const takeOver = (rows: FakeRows, incarnation: string): void => {
  const successor = new EntryHarness(rows, 'e2', 'entry-2');
  successor.advance(200);
  successor.handle({ kind: 'probe-reply', incarnation, status: undefined });
  for (let ms = 0; ms < TAKEOVER_MS; ms += 200) {
    successor.advance(200);
    successor.answerChanges();
  }
};

const isAccepted = ({ replies }: EntryHarness, replyId: number): boolean =>
  replies.get(replyId)?.kind === 'accepted';

// Guards against a job that is accepted under an owner row which was created after
// the takeover of its entry, so that nobody runs it.
it('an owner row that is created after a takeover admits no job', () => {
  const rows = new LateRows();
  rows.latePrefix = 'owner/e1';
  const entry = new EntryHarness(rows, 'e1', 'entry-1');
  entry.advance(200);
  entry.submit(1, { isVolatile: false });
  takeOver(rows, 'e1');
  rows.performLate();
  entry.now += TAKEOVER_MS;
  entry.advance(500);
  expect(isAccepted(entry, 1)).toEqual(false);
  expect([...rows.rows.keys()].some((key) => key.includes(ID))).toEqual(false);
});

it('an owner row that is created late without a takeover admits jobs', () => {
  const rows = new LateRows();
  rows.latePrefix = 'owner/e1';
  const entry = new EntryHarness(rows, 'e1', 'entry-1');
  entry.advance(200);
  entry.submit(1, { isVolatile: false });
  for (let ms = 0; ms < 3000; ms += 200) {
    entry.advance(200);
    entry.answerChanges();
  }
  expect(isAccepted(entry, 1)).toEqual(false);
  rows.performLate();
  // The first call for changes was sent before the row was known to exist.
  for (let calls = 0; calls < 2; calls += 1) {
    entry.advance(500);
    entry.answerChanges();
  }
  expect(isAccepted(entry, 1)).toEqual(true);
});

// Guards against an entry that goes on with its jobs, since a late creation of its
// member row hides that it was replaced.
it('an entry whose member row was created again retires', () => {
  const rows = new LateRows();
  rows.latePrefix = 'member/entry/e1';
  const entry = new EntryHarness(rows, 'e1', 'entry-1');
  entry.advance(50);
  rows.latePrefix = undefined;
  entry.advance(500);
  entry.answerChanges();
  takeOver(rows, 'e1');
  expect(rows.rows.has('|member/entry/e1')).toEqual(false);
  rows.performLate();
  expect(rows.rows.has('|member/entry/e1')).toEqual(true);
  entry.now += TAKEOVER_MS;
  entry.answerChanges();
  expect(entry.actionKinds.includes('retire')).toEqual(true);
});
