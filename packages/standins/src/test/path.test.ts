import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'earl';
import { runCli } from '../lib/cli.js';
import { LocalCluster } from '../lib/local-cluster.js';
import { CLUSTER_TICKET, createJob } from './sample.js';

let cluster: LocalCluster;
let dir: string;

/** Undoes the line wrapping of the client's output. */
const unwrapLines = (text: string): string => text.replace(/\s+[›»]?\s*/g, ' ');

before(async () => {
  cluster = await LocalCluster.start();
  dir = await mkdtemp(join(tmpdir(), 'sapphiremux-test-'));
  const file = join(dir, 'ticket.json');
  await writeFile(file, JSON.stringify(CLUSTER_TICKET));
  await runCli(['ticket', 'apply', file], cluster.urls);
});

after(async () => {
  await cluster.close();
  await rm(dir, { recursive: true });
});

it('a job completes and each task runs once', async () => {
  const file = join(dir, 'job.json');
  await writeFile(file, JSON.stringify(createJob('whole', 40, 20)));
  const run = await runCli(['submit', file, '--wait', '--json'], cluster.urls);
  expect(run.code).toEqual(0);
  const job = JSON.parse(run.stdout) as { state: string; answers: unknown[] };
  expect(job.state).toEqual('complete');
  expect(job.answers.length).toEqual(40);
  const startCounts = await cluster.startCounts();
  const starts = [...startCounts].filter(([key]) => key.startsWith('whole/'));
  expect(starts.length).toEqual(40);
  expect(starts.every(([, count]) => count === 1)).toEqual(true);
});

it('a resubmission at another entry attaches to the job', async () => {
  const file = join(dir, 'job.json');
  await writeFile(file, JSON.stringify(createJob('twice', 10, 50)));
  const [first = '', second = ''] = cluster.urls;
  await runCli(['submit', file], [first]);
  const run = await runCli(['submit', file, '--wait', '--json'], [second]);
  expect(run.code).toEqual(0);
  const startCounts = await cluster.startCounts();
  const starts = [...startCounts].filter(([key]) => key.startsWith('twice/'));
  expect(starts.length).toEqual(10);
  expect(starts.every(([, count]) => count === 1)).toEqual(true);
});

it('a job with a known id and different content is refused', async () => {
  const file = join(dir, 'job.json');
  await writeFile(file, JSON.stringify(createJob('twice', 11, 50)));
  const run = await runCli(['submit', file], cluster.urls);
  expect(run.code).toEqual(2);
});

it('a request returns the answer of the endpoint', async () => {
  const file = join(dir, 'request.json');
  const request = {
    desk: 'dakar',
    endpoint: 'levy',
    deadlineMs: 5000,
    payload: { ms: 5 },
  };
  await writeFile(file, JSON.stringify(request));
  const run = await runCli(['request', file, '--json'], cluster.urls);
  expect(run.code).toEqual(0);
  expect(JSON.parse(run.stdout) as object).toHaveSubset({
    endpoint: 'levy',
    ms: 5,
  });
});

it('a job for an undeclared endpoint is refused with the reason', async () => {
  const file = join(dir, 'job.json');
  const job = createJob('impossible', 1, 1);
  const tasks = [{ endpoint: 'nowhere', payload: {} }];
  await writeFile(file, JSON.stringify({ ...job, tasks }));
  const run = await runCli(['submit', file], cluster.urls);
  expect(run.code).toEqual(2);
  expect(unwrapLines(run.stderr)).toInclude(
    'endpoint "nowhere" is not declared',
  );
});

it('a ticket with a used number is refused with the existing ticket', async () => {
  const file = join(dir, 'ticket.json');
  await writeFile(file, JSON.stringify({ ...CLUSTER_TICKET, number: 1 }));
  const run = await runCli(['ticket', 'apply', file], cluster.urls);
  expect(run.code).toEqual(2);
  expect(unwrapLines(run.stderr)).toInclude('declare the estate');
});
