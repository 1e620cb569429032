import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import { Estate, call, waitUntil } from '../lib/estate.js';
import { FIRST_TICKET, jobOf } from './sample.js';

const HTTP_OK = 200;
const HTTP_ACCEPTED = 202;
const HTTP_UNAVAILABLE = 503;
const OUTCOME_WAIT_MS = 40_000;

interface JobBody {
  readonly state: string;
  readonly answers?: readonly { readonly text?: string }[];
  readonly runStates?: readonly string[];
}

const withEstate = async (
  options: Parameters<typeof Estate.start>[0],
  run: (estate: Estate) => Promise<void>,
): Promise<void> => {
  const estate = await Estate.start(options);
  try {
    const { status } = await call(
      estate.entries[0]?.port ?? 0,
      'POST',
      '/v1/tickets',
      FIRST_TICKET,
    );
    expect(status).toEqual(HTTP_OK);
    await run(estate);
  } finally {
    await estate.close();
  }
};

const submit = async (
  estate: Estate,
  entry: number,
  job: ReturnType<typeof jobOf>,
): Promise<number> => {
  const port = estate.entries[entry]?.port ?? 0;
  const { status } = await call(port, 'POST', '/v1/jobs', job);
  return status;
};

const outcomeOf = async (
  estate: Estate,
  entry: number,
  id: string,
): Promise<JobBody> => {
  const port = estate.entries[entry]?.port ?? 0;
  let body: JobBody = { state: 'open' };
  await waitUntil(async () => {
    const res = await call(port, 'GET', `/v1/jobs/${id}?wait=2000`);
    body = res.body as JobBody;
    return res.status === HTTP_OK && body.state !== 'open';
  }, OUTCOME_WAIT_MS);
  return body;
};

/** Checks a job outcome against the starts that the endpoints counted. */
const checkAccount = async (
  estate: Estate,
  id: string,
  count: number,
  job: JobBody,
): Promise<void> => {
  const account = await estate.account();
  for (let index = 0; index < count; index++) {
    const starts = account.get(`${id}/${String(index)}`) ?? 0;
    expect(starts <= 1).toEqual(true);
    if (job.state === 'complete') {
      expect(starts).toEqual(1);
      const text = job.answers?.[index]?.text ?? '{}';
      const { key } = JSON.parse(text) as { key: string };
      expect(key).toEqual(`${id}/${String(index)}`);
    } else if (job.runStates?.[index] === 'not-run') {
      expect(starts).toEqual(0);
    }
  }
};

const membersOf = async (estate: Estate, entry: number): Promise<unknown[]> => {
  const port = estate.entries[entry]?.port ?? 0;
  const { body } = await call(port, 'GET', '/v1/members');
  return (body as { entries: unknown[] }).entries;
};

it('another entry takes over the jobs of a killed entry', async () => {
  await withEstate({ memberLease: '2s' }, async (estate) => {
    await submit(estate, 0, jobOf('job', 60, 300));
    await sleep(300);
    estate.entries[0]?.child.kill('SIGKILL');
    const job = await outcomeOf(estate, 1, 'job');
    expect(job.state).toEqual('complete');
    await checkAccount(estate, 'job', 60, job);
  });
});

it('an entry that resumes after its lease expired retires', async () => {
  await withEstate({ memberLease: '2s' }, async (estate) => {
    await submit(estate, 0, jobOf('job', 100, 200));
    await sleep(300);
    estate.entries[0]?.child.kill('SIGSTOP');
    await sleep(6000);
    estate.entries[0]?.child.kill('SIGCONT');
    const job = await outcomeOf(estate, 1, 'job');
    expect(job.state).toEqual('complete');
    await checkAccount(estate, 'job', 100, job);
    const again = await outcomeOf(estate, 0, 'job');
    expect(again).toEqual(job);
  });
});

it('a job on a killed runner fails with run states, later jobs complete', async () => {
  await withEstate({}, async (estate) => {
    await submit(estate, 0, jobOf('struck', 60, 400));
    await sleep(500);
    estate.runners[0]?.child.kill('SIGKILL');
    await submit(estate, 1, jobOf('later', 20, 50));
    const struck = await outcomeOf(estate, 1, 'struck');
    expect(struck.state).toEqual('failed');
    expect(struck.runStates?.includes('may-have-run')).toEqual(true);
    await checkAccount(estate, 'struck', 60, struck);
    const later = await outcomeOf(estate, 0, 'later');
    expect(later.state).toEqual('complete');
    await checkAccount(estate, 'later', 20, later);
  });
});

it('a job on a paused runner completes after the runner resumes', async () => {
  await withEstate({}, async (estate) => {
    await submit(estate, 0, jobOf('job', 40, 200));
    await sleep(300);
    estate.runners[0]?.child.kill('SIGSTOP');
    await sleep(6000);
    estate.runners[0]?.child.kill('SIGCONT');
    const job = await outcomeOf(estate, 1, 'job');
    expect(job.state).toEqual('complete');
    await checkAccount(estate, 'job', 40, job);
  });
});

it('accepted jobs keep running while the store is down for 30 s', async () => {
  await withEstate({}, async (estate) => {
    const accepted = await submit(estate, 0, jobOf('before', 400, 300));
    expect(accepted).toEqual(HTTP_ACCEPTED);
    await estate.setStoreFaults({ refuse: true });
    await sleep(15_000);
    const refused = await submit(estate, 1, {
      ...jobOf('during', 5, 10),
      firstAttempt: true,
    });
    expect(refused).toEqual(HTTP_UNAVAILABLE);
    await sleep(15_000);
    const account = await estate.account();
    const started = [...account.keys()].filter((k) => k.startsWith('before/'));
    expect(started.length).toEqual(400);
    await estate.setStoreFaults({});
    const job = await outcomeOf(estate, 0, 'before');
    expect(job.state).toEqual('complete');
    await checkAccount(estate, 'before', 400, job);
    const during = [...account.keys()].filter((k) => k.startsWith('during/'));
    expect(during).toEqual([]);
  });
});

it('unresponsive connections are replaced and lost starts are resent', async () => {
  await withEstate({ relays: true }, async (estate) => {
    await submit(estate, 0, jobOf('job', 60, 300));
    await sleep(400);
    estate.runners.forEach(({ relay }) => relay?.silence());
    const job = await outcomeOf(estate, 0, 'job');
    expect(job.state).toEqual('complete');
    await checkAccount(estate, 'job', 60, job);
  });
});

it('a planned stop of an entry aborts no request', async () => {
  await withEstate({}, async (estate) => {
    const port = estate.entries[0]?.port ?? 0;
    await submit(estate, 0, jobOf('job', 60, 200));
    const waiting = call(port, 'GET', '/v1/jobs/job?wait=30000');
    const request = call(port, 'POST', '/v1/requests', {
      desk: 'dakar',
      endpoint: 'levy',
      deadlineMs: 10_000,
      payload: { ms: 1500 },
    });
    await sleep(300);
    estate.entries[0]?.child.kill('SIGTERM');
    expect((await request).status).toEqual(HTTP_OK);
    const job = (await waiting).body as JobBody;
    expect(job.state).toEqual('complete');
    await waitUntil(() =>
      Promise.resolve(estate.entries[0]?.child.exitCode === 0),
    );
    // The other entry notices the removed row on its next periodic scan.
    await waitUntil(async () => (await membersOf(estate, 1)).length === 0);
  });
});

it('a planned stop of a runner aborts no task', async () => {
  await withEstate({}, async (estate) => {
    await submit(estate, 0, jobOf('job', 60, 400));
    await sleep(600);
    estate.runners[0]?.child.kill('SIGTERM');
    const job = await outcomeOf(estate, 0, 'job');
    expect(job.state).toEqual('complete');
    await checkAccount(estate, 'job', 60, job);
    await waitUntil(() =>
      Promise.resolve(estate.runners[0]?.child.exitCode === 0),
    );
  });
});

it('lost store replies do not cause a second start', async () => {
  await withEstate({}, async (estate) => {
    await estate.setStoreFaults({ lostAnswers: 0.5 });
    for (let n = 0; n < 4; n++) {
      const id = `job-${String(n)}`;
      await submit(estate, 0, jobOf(id, 10, 50));
      await submit(estate, 1, jobOf(id, 10, 50));
    }
    await sleep(4000);
    await estate.setStoreFaults({});
    for (let n = 0; n < 4; n++) {
      const id = `job-${String(n)}`;
      await submit(estate, 1, jobOf(id, 10, 50));
      const job = await outcomeOf(estate, 1, id);
      expect(job.state).toEqual('complete');
      await checkAccount(estate, id, 10, job);
    }
  });
});
