import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'earl';
import type { BatchContent, FollowReply } from '@sapphiremux/core';
import { BatchHost } from '../lib/process/batch-host.js';
import { createLogger } from '../lib/process/logger.js';

const CONTENT: BatchContent = {
  queue: 'q',
  service: 's',
  spec: '',
  steps: [],
  attempts: 1,
  isVolatile: true,
  priority: 0,
  stretch: 1,
  slackMs: 0,
};
const CALLER = { isGone: false, onGone: () => undefined };
/** Minimum duration of a planned stop. */
const STOP_MS = 2500;
const MEMBER_TABLE = 'member';

/** Hosts an entry over a store that answers calls for changes on request. */
class HostHarness {
  hasStopped = false;
  readonly host: BatchHost;
  private _version = 0;
  private _incarnations = 0;
  private _followers: ((reply: FollowReply) => void)[] = [];

  constructor() {
    this.host = new BatchHost({
      entry: {
        name: 'e',
        address: '127.0.0.1:1',
        dataCentre: 'a',
        operatorTable: 'op',
        decodeOperatorRow: ({ key }) => ({ kind: 'other', key, detail: '' }),
      },
      newIncarnation: () => `i${String(++this._incarnations)}`,
      listen: { host: '127.0.0.1', port: 1 },
      openStore: () => ({
        call: () =>
          Promise.resolve({ kind: 'committed', version: ++this._version }),
        follow: ({ table }) =>
          new Promise((resolve) => {
            if (table === MEMBER_TABLE) {
              this._followers.push(resolve);
            }
          }),
        close: () => Promise.resolve(),
      }),
      log: createLogger({
        level: 'error',
        format: 'json',
        name: 'e',
        write: () => undefined,
      }),
      onStopped: () => {
        this.hasStopped = true;
      },
    });
  }

  /** Lets the entry act as its timers would, and its store calls be answered. */
  async tick(): Promise<void> {
    this.host.dispatch({ kind: 'tick' });
    this.host.dispatch({ kind: 'flush' });
    await delay(10);
  }

  /** Answers the open calls for changes: another entry has fenced this one. */
  async fence(): Promise<void> {
    const row = { name: 'e', address: '', dataCentre: 'a', fencedBy: 'other' };
    const rows = [
      {
        key: `entry/i${String(this._incarnations)}`,
        value: JSON.stringify(row),
        version: ++this._version,
      },
    ];
    for (const reply of this._followers.splice(0)) {
      reply({ kind: 'table', rows, version: this._version });
    }
    await this.tick();
  }

  /** @returns Kind of the reply to a call; `none` if there is no reply. */
  async kindOf(reply: Promise<{ kind: string }>): Promise<string> {
    return Promise.race([
      reply.then((value) => value.kind),
      delay(500, 'none'),
    ]);
  }

  submit(): Promise<{ kind: string }> {
    return this.host.dispatchSubmission(
      'j',
      (replyId) => ({
        kind: 'submit',
        replyId,
        id: 'j',
        content: CONTENT,
        deadlineMs: Date.now() + 1000,
      }),
      CALLER,
    );
  }
}

// Guards against a connection that is closed without an answer.
it('a submission that is held when a planned stop ends is refused', async () => {
  const harness = new HostHarness();
  harness.host.stop();
  await harness.tick();
  await delay(STOP_MS + 50);
  const reply = harness.submit();
  await harness.tick();
  expect(harness.hasStopped).toEqual(true);
  expect(await harness.kindOf(reply)).toEqual('refused');
});

// Guards against a connection that is closed without an answer.
it('a call that arrives after the end of a planned stop is refused', async () => {
  const harness = new HostHarness();
  harness.host.stop();
  await harness.tick();
  await delay(STOP_MS + 50);
  await harness.tick();
  expect(harness.hasStopped).toEqual(true);
  const reply = harness.host.dispatchCall((replyId) => ({
    kind: 'status',
    replyId,
    id: 'j',
    deadlineMs: Date.now() + 1000,
  }));
  expect(await harness.kindOf(reply)).toEqual('refused');
});

// Guards against a process that turns ready again after SIGTERM.
it('an incarnation that begins during a planned stop goes on with the stop', async () => {
  const harness = new HostHarness();
  await harness.tick();
  harness.host.stop();
  const first = harness.host.core;
  await harness.fence();
  expect(harness.host.core !== first).toEqual(true);
  expect(harness.host.core.isStopping).toEqual(true);
  expect(await harness.kindOf(harness.submit())).toEqual('refused');
  await delay(STOP_MS);
  await harness.tick();
  await harness.tick();
  expect(harness.hasStopped).toEqual(true);
});
