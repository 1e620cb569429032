import { expect } from 'earl';
import type { ActiveRun } from '../lib/messages.js';
import { ID, helloOf, withWorker } from './entry-harness.js';
import type { EntryHarness } from './entry-harness.js';

const TASK = `${ID}.0.0.0`;

const active = (owner: string): ActiveRun => ({
  task: TASK,
  run: 1,
  owner,
  checkpoint: '',
  percent: 100,
});

/** Abandons a job while the link to its worker is down, then restores it. */
const relinkAfterAbandoning = (owner: string, driver: string): EntryHarness => {
  const harness = withWorker();
  harness.submit(1);
  const linkId = harness.links.get('w1') ?? 0;
  harness.handle({ kind: 'link-closed', linkId, detail: 'reset' });
  harness.handle({ kind: 'caller-gone', replyId: 1 });
  harness.advance(200);
  expect(harness.stopped).toEqual([]);
  harness.report('w1', {
    snapshot: true,
    active: [active(owner)],
    hello: { ...helloOf('w1'), incarnation: driver },
  });
  return harness;
};

// The stop of an abandoned job is lost with the link that it was to use.
it('a run of an abandoned job is stopped over the next link', () => {
  const harness = relinkAfterAbandoning('e1', 'w');
  expect(harness.stopped.includes(`${TASK}#1`)).toEqual(true);
});

// A restarted worker driver process does not know the owner of a run, which
// would go on for 1.5 s, longer than the caller waits before it submits again.
it('a run of an abandoned job is stopped after a restart of the driver', () => {
  const harness = relinkAfterAbandoning('', 'w-2');
  expect(harness.stopped.includes(`${TASK}#1`)).toEqual(true);
});
