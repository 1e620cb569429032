import { setTimeout as delay } from 'node:timers/promises';
import type {
  StoreReply,
  StoreRequest,
  WorkerHeartbeat,
  WorkerRow,
} from '@sapphiremux/core';
import { expect } from 'earl';
import type { StorePort } from '../lib/process/fleet-ports.js';
import type { Log } from '../lib/process/logger.js';
import { WorkerRegistration } from '../lib/process/worker-registration.js';

/** Store with a single row, whose writes take effect at once. */
class OneRowStore implements StorePort {
  value: string | null = null;

  call(_part: string, req: StoreRequest): Promise<StoreReply> {
    if (req.kind === 'transact') {
      this.value = req.writes[0]?.value ?? null;
      return Promise.resolve({ kind: 'committed', version: 1 });
    }
    const { value } = this;
    const rows = value === null ? [] : [{ key: '', value, version: 1 }];
    return Promise.resolve({ kind: 'rows', rows });
  }

  follow(): Promise<never> {
    return Promise.reject(new Error('not used'));
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  get worker(): WorkerHeartbeat | undefined {
    return this.value === null
      ? undefined
      : (JSON.parse(this.value) as WorkerRow).worker;
  }
}

const heartbeat = (fields: Partial<WorkerHeartbeat> = {}): WorkerHeartbeat => ({
  id: 'i-1',
  bornMs: 1000,
  sequence: 1,
  service: 'svc',
  dataCentre: 'dc',
  accepting: true,
  capacity: { cpuMilli: 16_000, memoryMb: 1000, accelerators: 0 },
  labels: [],
  ...fields,
});

/** Returns the registered worker after the given heartbeats. */
const registered = async (
  ...heartbeats: (WorkerHeartbeat | 'leave')[]
): Promise<WorkerHeartbeat | undefined> => {
  const store = new OneRowStore();
  const registration = new WorkerRegistration({
    name: 'vm',
    address: 'vm:1',
    dataCentre: 'dc',
    incarnation: 'w1',
    store,
    log: { info: () => undefined, warn: () => undefined } as unknown as Log,
  });
  for (const next of heartbeats) {
    if (next === 'leave') {
      registration.deregister('i-1');
    } else {
      registration.recordHeartbeat(next);
    }
    await delay(0);
  }
  return store.worker;
};

// Guards against a process that restores a capacity which has shrunk since.
it('the row follows the capacity of the worker', async () => {
  const capacity = { cpuMilli: 4000, memoryMb: 1000, accelerators: 0 };
  const worker = await registered(
    heartbeat(),
    heartbeat({ sequence: 2, capacity }),
  );
  expect(worker?.capacity).toEqual(capacity);
});

// Guards against a process that restores a worker as ready which was draining.
it('a late heartbeat does not revert the row', async () => {
  const worker = await registered(
    heartbeat(),
    heartbeat({ sequence: 3, accepting: false }),
    heartbeat({ sequence: 2 }),
  );
  expect(worker?.accepting).toEqual(false);
});

it('a late heartbeat of an earlier incarnation does not replace the row', async () => {
  const worker = await registered(
    heartbeat({ id: 'i-2', bornMs: 2000 }),
    heartbeat({ sequence: 9 }),
  );
  expect(worker?.id).toEqual('i-2');
});

// Guards against a worker that is in use again after it has left.
it('a late heartbeat does not register a worker that has left', async () => {
  const worker = await registered(heartbeat(), 'leave', heartbeat());
  expect(worker).toEqual(undefined);
});

it('a worker that has left may come back in a new incarnation', async () => {
  const worker = await registered(
    heartbeat(),
    'leave',
    heartbeat({ bornMs: 2000 }),
  );
  expect(worker?.bornMs).toEqual(2000);
});

// Guards against a worker that has left around the restart of its process and is
// registered again.
it('a worker that leaves while its row is read is not restored', async () => {
  const store = new OneRowStore();
  store.value = JSON.stringify({
    address: 'vm:1',
    incarnation: 'w0',
    dataCentre: 'dc',
    worker: heartbeat(),
  } satisfies WorkerRow);
  const registration = new WorkerRegistration({
    name: 'vm',
    address: 'vm:1',
    dataCentre: 'dc',
    incarnation: 'w1',
    store,
    log: { info: () => undefined, warn: () => undefined } as unknown as Log,
  });
  const restored = registration.restore();
  registration.deregister('i-1');
  expect(await restored).toEqual(undefined);
  await delay(0);
  expect<string | null>(store.value).toEqual(null);
});
