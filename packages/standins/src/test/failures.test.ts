import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import { LocalCluster, call, waitUntil } from '../lib/local-cluster.js';
import { CLUSTER_TICKET, createJob } from './sample.js';

const HTTP_OK = 200;
const HTTP_ACCEPTED = 202;
const HTTP_UNAVAILABLE = 503;
const OUTCOME_WAIT_MS = 40_000;

interface JobBody {
  readonly state: string;
  readonly answers?: readonly { readonly text?: string }[];
  readonly runStates?: readonly string[];
}

const withCluster = async (
  options: Parameters<typeof LocalCluster.start>[0],
  run: (cluster: LocalCluster) => Promise<void>,
): Promise<void> => {
  const cluster = await LocalCluster.start(options);
  try {
    const { status } = await call(
      cluster.entries[0]?.port ?? 0,
      'POST',
      '/v1/tickets',
      CLUSTER_TICKET,
    );
    expect(status).toEqual(HTTP_OK);
    await run(cluster);
  } catch (err) {
    await cluster.close({ keepsLogs: true });
    const { message } = err as Error;
    throw new Error(`${message} (logs: ${cluster.directory})`, { cause: err });
  }
  await cluster.close();
};

const submit = async (
  cluster: LocalCluster,
  entry: number,
  job: ReturnType<typeof createJob>,
): Promise<number> => {
  const port = cluster.entries[entry]?.port ?? 0;
  const { status } = await call(port, 'POST', '/v1/jobs', job);
  return status;
};

const waitForOutcome = async (
  cluster: LocalCluster,
  entry: number,
  id: string,
): Promise<JobBody> => {
  const port = cluster.entries[entry]?.port ?? 0;
  let body: JobBody = { state: 'open' };
  await waitUntil(async () => {
    const res = await call(port, 'GET', `/v1/jobs/${id}?wait=2000`);
    body = res.body as JobBody;
    return res.status === HTTP_OK && body.state !== 'open';
  }, OUTCOME_WAIT_MS);
  return body;
};

/** Checks a job outcome against the starts that the endpoints counted. */
const checkStartCounts = async (
  cluster: LocalCluster,
  id: string,
  count: number,
  job: JobBody,
): Promise<void> => {
  const startCounts = await cluster.startCounts();
  for (let index = 0; index < count; index++) {
    const starts = startCounts.get(`${id}/${String(index)}`) ?? 0;
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

const listEntries = async (
  cluster: LocalCluster,
  entry: number,
): Promise<unknown[]> => {
  const port = cluster.entries[entry]?.port ?? 0;
  const { body } = await call(port, 'GET', '/v1/members');
  return (body as { entries: unknown[] }).entries;
};

it('another entry takes over the jobs of a killed entry', async () => {
  await withCluster({ memberLease: '2s' }, async (cluster) => {
    await submit(cluster, 0, createJob('job', 60, 300));
    await sleep(300);
    cluster.entries[0]?.child.kill('SIGKILL');
    const job = await waitForOutcome(cluster, 1, 'job');
    expect(job.state).toEqual('complete');
    await checkStartCounts(cluster, 'job', 60, job);
  });
});

it('an entry that resumes after its lease expired retires', async () => {
  await withCluster({ memberLease: '2s' }, async (cluster) => {
    await submit(cluster, 0, createJob('job', 100, 200));
    await sleep(300);
    cluster.entries[0]?.child.kill('SIGSTOP');
    await sleep(6000);
    cluster.entries[0]?.child.kill('SIGCONT');
    const job = await waitForOutcome(cluster, 1, 'job');
    expect(job.state).toEqual('complete');
    await checkStartCounts(cluster, 'job', 100, job);
    const again = await waitForOutcome(cluster, 0, 'job');
    expect(again).toEqual(job);
  });
});

it('a job on a killed runner fails with run states, later jobs complete', async () => {
  await withCluster({}, async (cluster) => {
    await submit(cluster, 0, createJob('struck', 60, 400));
    await sleep(500);
    cluster.runners[0]?.child.kill('SIGKILL');
    const accepted = await submit(cluster, 1, createJob('later', 20, 50));
    expect(accepted).toEqual(HTTP_ACCEPTED);
    const interruptedJob = await waitForOutcome(cluster, 1, 'struck');
    expect(interruptedJob.state).toEqual('failed');
    expect(interruptedJob.runStates?.includes('may-have-run')).toEqual(true);
    await checkStartCounts(cluster, 'struck', 60, interruptedJob);
    const later = await waitForOutcome(cluster, 0, 'later');
    expect(later.state).toEqual('complete');
    await checkStartCounts(cluster, 'later', 20, later);
  });
});

it('a job on a paused runner completes after the runner resumes', async () => {
  await withCluster({}, async (cluster) => {
    await submit(cluster, 0, createJob('job', 40, 200));
    await sleep(300);
    cluster.runners[0]?.child.kill('SIGSTOP');
    await sleep(6000);
    cluster.runners[0]?.child.kill('SIGCONT');
    const job = await waitForOutcome(cluster, 1, 'job');
    expect(job.state).toEqual('complete');
    await checkStartCounts(cluster, 'job', 40, job);
  });
});

it('accepted jobs keep running while the store is down for 30 s', async () => {
  await withCluster({}, async (cluster) => {
    const accepted = await submit(cluster, 0, createJob('before', 400, 300));
    expect(accepted).toEqual(HTTP_ACCEPTED);
    await cluster.setStoreFaults({ refuse: true });
    await sleep(15_000);
    const refused = await submit(cluster, 1, {
      ...createJob('during', 5, 10),
      firstAttempt: true,
    });
    expect(refused).toEqual(HTTP_UNAVAILABLE);
    await sleep(15_000);
    const startCounts = await cluster.startCounts();
    const started = [...startCounts.keys()].filter((k) =>
      k.startsWith('before/'),
    );
    expect(started.length).toEqual(400);
    await cluster.setStoreFaults({});
    const job = await waitForOutcome(cluster, 0, 'before');
    expect(job.state).toEqual('complete');
    await checkStartCounts(cluster, 'before', 400, job);
    const during = [...startCounts.keys()].filter((k) =>
      k.startsWith('during/'),
    );
    expect(during).toEqual([]);
  });
});

it('unresponsive connections are replaced and lost starts are resent', async () => {
  await withCluster({ relays: true }, async (cluster) => {
    await submit(cluster, 0, createJob('job', 60, 300));
    await sleep(400);
    cluster.runners.forEach(({ relay }) => relay?.stopForwarding());
    const job = await waitForOutcome(cluster, 0, 'job');
    expect(job.state).toEqual('complete');
    await checkStartCounts(cluster, 'job', 60, job);
  });
});

it('a planned stop of an entry aborts no request', async () => {
  await withCluster({}, async (cluster) => {
    const port = cluster.entries[0]?.port ?? 0;
    await submit(cluster, 0, createJob('job', 60, 200));
    const waiting = call(port, 'GET', '/v1/jobs/job?wait=30000');
    const request = call(port, 'POST', '/v1/requests', {
      desk: 'dakar',
      endpoint: 'levy',
      deadlineMs: 10_000,
      payload: { ms: 1500 },
    });
    await sleep(300);
    cluster.entries[0]?.child.kill('SIGTERM');
    expect((await request).status).toEqual(HTTP_OK);
    const job = (await waiting).body as JobBody;
    expect(job.state).toEqual('complete');
    await waitUntil(() =>
      Promise.resolve(cluster.entries[0]?.child.exitCode === 0),
    );
    // The other entry notices the removed row on its next periodic scan.
    await waitUntil(async () => (await listEntries(cluster, 1)).length === 0);
  });
});

it('a planned stop of a runner aborts no task', async () => {
  await withCluster({}, async (cluster) => {
    await submit(cluster, 0, createJob('job', 60, 400));
    await sleep(600);
    cluster.runners[0]?.child.kill('SIGTERM');
    const job = await waitForOutcome(cluster, 0, 'job');
    expect(job.state).toEqual('complete');
    await checkStartCounts(cluster, 'job', 60, job);
    await waitUntil(() =>
      Promise.resolve(cluster.runners[0]?.child.exitCode === 0),
    );
  });
});

it('lost store replies do not cause a second start', async () => {
  await withCluster({}, async (cluster) => {
    await cluster.setStoreFaults({ lostAnswers: 0.5 });
    for (let n = 0; n < 4; n++) {
      const id = `job-${String(n)}`;
      await submit(cluster, 0, createJob(id, 10, 50));
      await submit(cluster, 1, createJob(id, 10, 50));
    }
    await sleep(4000);
    await cluster.setStoreFaults({});
    for (let n = 0; n < 4; n++) {
      const id = `job-${String(n)}`;
      await submit(cluster, 1, createJob(id, 10, 50));
      const job = await waitForOutcome(cluster, 1, id);
      expect(job.state).toEqual('complete');
      await checkStartCounts(cluster, id, 10, job);
    }
  });
});
