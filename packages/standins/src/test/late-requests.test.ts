import { request } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import { LocalCluster, call } from '../lib/local-cluster.js';
import { CLUSTER_TICKET } from './sample.js';

const REQUEST = {
  desk: 'dakar',
  endpoint: 'levy',
  deadlineMs: 10_000,
  payload: { ms: 200 },
};

/** Sends a request and closes the connection after some time. */
const sendAndLeave = async (port: number, afterMs: number): Promise<void> => {
  const req = request(`http://127.0.0.1:${String(port)}/v1/requests`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
  });
  req.on('error', () => undefined);
  req.end(JSON.stringify(REQUEST));
  await sleep(afterMs);
  req.destroy();
};

// The caller gave up on a frozen entry and may have sent the request, which is
// not idempotent, to another one.
it('a request is not started if its caller left before it was read', async () => {
  const cluster = await LocalCluster.start();
  try {
    const [entry] = cluster.entries;
    const port = entry?.port ?? 0;
    await call(port, 'POST', '/v1/tickets', CLUSTER_TICKET);
    await call(port, 'POST', '/v1/requests', REQUEST);
    const before = (await cluster.startCounts()).size;
    expect(before).toEqual(1);
    entry?.child.kill('SIGSTOP');
    await sendAndLeave(port, 200);
    await sleep(100);
    entry?.child.kill('SIGCONT');
    await sleep(1000);
    expect((await cluster.startCounts()).size).toEqual(before);
  } finally {
    await cluster.close();
  }
});
