import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'earl';
import type { BatchContent } from '@sapphiremux/core';
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

// Guards against a connection that is closed without an answer.
it('a submission that is held when a planned stop ends is refused', async () => {
  let version = 0;
  let hasStopped = false;
  const host = new BatchHost({
    entry: {
      name: 'e',
      address: '127.0.0.1:1',
      dataCentre: 'a',
      operatorTable: 'op',
      decodeOperatorRow: ({ key }) => ({ kind: 'other', key, detail: '' }),
    },
    newIncarnation: () => 'i',
    listen: { host: '127.0.0.1', port: 1 },
    openStore: () => ({
      call: () => Promise.resolve({ kind: 'committed', version: ++version }),
      follow: () => new Promise(() => undefined),
      close: () => Promise.resolve(),
    }),
    log: createLogger({
      level: 'error',
      format: 'json',
      name: 'e',
      write: () => undefined,
    }),
    onStopped: () => {
      hasStopped = true;
    },
  });
  host.dispatch({ kind: 'stop' });
  await delay(STOP_MS + 50);
  const reply = host.dispatchSubmission(
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
  host.dispatch({ kind: 'tick' });
  host.dispatch({ kind: 'flush' });
  const kind = await Promise.race([
    reply.then((value) => value.kind),
    delay(500, 'none'),
  ]);
  expect(hasStopped).toEqual(true);
  expect(kind).toEqual('refused');
});
