import { readdir, rm } from 'node:fs/promises';
import { expect } from 'earl';
import { LocalCluster } from '../lib/local-cluster.js';

// Guards against a failed start of a cluster that leaves neither logs nor the
// reason, as in failures.test.ts beside much load.
it('a cluster whose processes end at their start names them and keeps the logs', async () => {
  let message = '';
  try {
    await LocalCluster.start({ nodeFlags: ['--no-such-option'] });
  } catch (err) {
    ({ message } = err as Error);
  }
  const [, name, dir = ''] =
    /^(entry-\d) has ended: 9 \(logs: (.+)\)$/.exec(message) ?? [];
  expect(await readdir(dir)).toInclude(`${name ?? ''}.log`);
  await rm(dir, { recursive: true });
});
