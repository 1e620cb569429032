import { expect } from 'earl';
import { FakeWorker, TaskOutcome } from '../lib/fake-worker.js';

it('a stopped task ends as stopped', async () => {
  const worker = new FakeWorker();
  const running = worker.run('a', { ms: 60_000 });
  expect(worker.stop('a')).toEqual(true);
  expect(await running).toEqual(TaskOutcome.Stopped);
  expect(worker.stop('a')).toEqual(false);
});

it('a checkpointed task continues when its speed is raised', async () => {
  const worker = new FakeWorker();
  const running = worker.run('a', { ms: 20 });
  worker.throttle('a', 0);
  const first = await Promise.race([running, Promise.resolve('waits')]);
  expect(first).toEqual('waits');
  worker.throttle('a', 4);
  expect(await running).toEqual(TaskOutcome.Done);
});

it('usage is reported with a delay', () => {
  const worker = new FakeWorker();
  void worker.run('a', { ms: 60_000, cores: 4, memoryMb: 100 });
  expect(worker.reportedUsage()).toEqual({ cores: 0, memoryMb: 0 });
  worker.stop('a');
});
