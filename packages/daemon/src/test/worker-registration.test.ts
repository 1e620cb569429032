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

/** Time within which a row with other content has to be replaced. */
const REPAIR_MS = 2000;
/** Part of that time for the timers of the test itself. */
const MARGIN_MS = 200;

/** Store with a single row, whose calls take effect at once or when asked. */
class OneRowStore implements StorePort {
  value: string | null = null;
  version = 0;
  /** Whether transactions get no answer and are performed later, or never. */
  losesWrites = false;
  private readonly _lost: StoreRequest[] = [];
  private _lastVersion = 0;

  call(_part: string, req: StoreRequest): Promise<StoreReply> {
    if (this.losesWrites && req.kind === 'transact') {
      this._lost.push(req);
      return Promise.resolve({ kind: 'unknown' });
    }
    return Promise.resolve(this._perform(req));
  }

  /** Performs the transactions that got no answer, in their order. */
  performLost(): void {
    for (const req of this._lost.splice(0)) {
      this._perform(req);
    }
  }

  put(value: string | null): void {
    this._lastVersion += 1;
    this.version = value === null ? 0 : this._lastVersion;
    this.value = value;
  }

  private _perform(req: StoreRequest): StoreReply {
    if (req.kind !== 'transact') {
      const { value, version } = this;
      const rows = value === null ? [] : [{ key: '', value, version }];
      return { kind: 'rows', rows };
    }
    if (req.conditions.some(({ version }) => version !== this.version)) {
      return { kind: 'conflict', keys: req.conditions.map(({ key }) => key) };
    }
    this.put(req.writes[0]?.value ?? null);
    return { kind: 'committed', version: this._lastVersion };
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

const registrationIn = (store: StorePort): WorkerRegistration =>
  new WorkerRegistration({
    name: 'vm',
    address: 'vm:1',
    dataCentre: 'dc',
    incarnation: 'w1',
    store,
    log: { info: () => undefined, warn: () => undefined } as unknown as Log,
  });

/** Returns the registered worker after the given heartbeats. */
const registered = async (
  ...heartbeats: (WorkerHeartbeat | 'leave')[]
): Promise<WorkerHeartbeat | undefined> => {
  const store = new OneRowStore();
  const registration = registrationIn(store);
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
  store.put(
    JSON.stringify({
      address: 'vm:1',
      incarnation: 'w0',
      dataCentre: 'dc',
      worker: heartbeat(),
    } satisfies WorkerRow),
  );
  const registration = registrationIn(store);
  const restored = registration.restore();
  registration.deregister('i-1');
  expect(await restored).toEqual(undefined);
  await delay(0);
  expect<string | null>(store.value).toEqual(null);
});

// Guards against a deletion that the store performs after the next incarnation
// has registered, and that hides it from all entries.
it('a deletion without an answer does not remove a later registration', async () => {
  const store = new OneRowStore();
  const registration = registrationIn(store);
  registration.recordHeartbeat(heartbeat());
  await delay(0);
  store.losesWrites = true;
  registration.deregister('i-1');
  await delay(0);
  store.losesWrites = false;
  registration.recordHeartbeat(heartbeat({ id: 'i-2', bornMs: 2000 }));
  await registration.settle(REPAIR_MS);
  store.performLost();
  expect(store.worker?.id).toEqual('i-2');
  registration.close();
});

// Guards against a process that trusts the last answer for ever.
it('a registration row that has disappeared is written again', async () => {
  const store = new OneRowStore();
  const registration = registrationIn(store);
  registration.recordHeartbeat(heartbeat());
  await delay(0);
  store.put(null);
  // As the first order of an entry that has read the deletion.
  registration.onSeen(store.version);
  await delay(REPAIR_MS - MARGIN_MS);
  expect(store.worker?.id).toEqual('i-1');
  registration.close();
});
