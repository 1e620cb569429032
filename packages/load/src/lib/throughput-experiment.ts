import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { readFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { createClient } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import { LocalCluster, freePorts, waitUntil } from '@sapphiremux/standins';
import { EntryService } from '@sapphiremux/wire';
import { Agent, request } from 'undici';
import { measureBareStream } from './bare-stream.js';
import { readCounters } from './counters.js';
import { declareSubjects } from './declare-subjects.js';

/** Options of {@link runThroughputExperiment}. */
export interface ThroughputOptions {
  readonly seconds: number;
  readonly runners: number;
  readonly tasksPerJob: number;
  /** Number of jobs submitted concurrently. */
  readonly concurrency: number;
}

/** Throughput of one entry with instant runners, and of bare streams. */
export interface ThroughputResult {
  readonly entryStartsPerSecond: number;
  readonly entryCpuUsPerTask: number;
  readonly entryRssMb: number;
  readonly bareTasksPerSecond: number;
  /** Starts per second of the entry divided by tasks per second of the streams. */
  readonly ratio: number;
}

interface Usage {
  readonly cpuMs: number;
  readonly rssMb: number;
}

/** Slots of each instant runner, and tasks per message of the bare streams. */
const SLOTS = 64;
const ANNOUNCE_INTERVAL_MS = 1000;
const DEADLINE_MS = 60_000;
/** Linux reports processor time in clock ticks of 1/100 s. */
const MS_PER_CLOCK_TICK = 10;
const KB_PER_MB = 1024;
const US_PER_MS = 1000;
const MS_PER_SECOND = 1000;
const RUNNER_BIN = fileURLToPath(
  new URL('../bin/instant-runner.js', import.meta.url),
);

/**
 * Measures how many tasks per second one entry starts, and how many the
 * Connect streams carry without an entry, against the same instant runners.
 *
 * @param options - Sizes and duration.
 * @returns The figures.
 */
export const runThroughputExperiment = async (
  options: ThroughputOptions,
): Promise<ThroughputResult> => {
  const ports = await freePorts(options.runners);
  const runners = ports.map((port, index) =>
    spawn(process.execPath, [
      RUNNER_BIN,
      ...['--id', `instant-${String(index)}`],
      ...['--port', String(port)],
      ...['--slots', String(SLOTS)],
    ]),
  );
  const cluster = await LocalCluster.start({ entries: 1, runners: [] });
  try {
    await declareSubjects(cluster, ['north']);
    const stopAnnouncing = await announceRunners(cluster, ports);
    const entry = await measureEntry(cluster, options);
    stopAnnouncing();
    const bareTasksPerSecond = await measureBareStream({
      ports,
      tasksPerMessage: SLOTS,
      depth: 2,
      seconds: options.seconds,
    });
    const ratio = entry.entryStartsPerSecond / bareTasksPerSecond;
    return { ...entry, bareTasksPerSecond, ratio };
  } finally {
    runners.forEach((runner: ChildProcess) => runner.kill('SIGKILL'));
    await cluster.close();
  }
};

/** @returns A function that ends the periodic announcements. */
const announceRunners = async (
  cluster: LocalCluster,
  ports: readonly number[],
): Promise<() => void> => {
  const transport = createConnectTransport({
    httpVersion: '2',
    baseUrl: `http://127.0.0.1:${String(cluster.entries[0]?.listenPort ?? 0)}`,
  });
  const client = createClient(EntryService, transport);
  const send = async (): Promise<void> => {
    for (const [index, port] of ports.entries()) {
      await client.announce({
        runner: `instant-${String(index)}`,
        incarnation: 'instant',
        address: `127.0.0.1:${String(port)}`,
        dataCentre: 'north',
        endpoint: 'levy',
      });
    }
  };
  await waitUntil(async () => {
    await send();
    return true;
  });
  const timer = setInterval(() => {
    void send().catch(() => undefined);
  }, ANNOUNCE_INTERVAL_MS);
  return () => {
    clearInterval(timer);
  };
};

const measureEntry = async (
  cluster: LocalCluster,
  options: ThroughputOptions,
): Promise<
  Pick<
    ThroughputResult,
    'entryStartsPerSecond' | 'entryCpuUsPerTask' | 'entryRssMb'
  >
> => {
  const [url = ''] = cluster.urls;
  const pid = cluster.entries[0]?.child.pid ?? 0;
  const warmupUntilMs = performance.now() + MS_PER_SECOND;
  await submitUntil(url, 'warm', warmupUntilMs, options);
  const before = await readCounters(cluster);
  const usageBefore = await readUsage(pid);
  const startMs = performance.now();
  const untilMs = startMs + options.seconds * MS_PER_SECOND;
  await submitUntil(url, 'run', untilMs, options);
  const elapsedMs = performance.now() - startMs;
  const after = await readCounters(cluster);
  const usageAfter = await readUsage(pid);
  const starts = after.starts - before.starts;
  return {
    entryStartsPerSecond: (starts / elapsedMs) * MS_PER_SECOND,
    entryCpuUsPerTask:
      ((usageAfter.cpuMs - usageBefore.cpuMs) / starts) * US_PER_MS,
    entryRssMb: usageAfter.rssMb,
  };
};

const submitUntil = async (
  url: string,
  name: string,
  untilMs: number,
  options: ThroughputOptions,
): Promise<void> => {
  const agent = new Agent({ headersTimeout: 0, bodyTimeout: 0 });
  const submitLoop = async (_: unknown, index: number): Promise<void> => {
    for (let n = 0; performance.now() < untilMs; n++) {
      const id = `${name}-${String(index)}-${String(n)}`;
      const res = await request(new URL('/v1/jobs?wait=60000', url), {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(jobBody(id, options.tasksPerJob)),
        dispatcher: agent,
      });
      await res.body.dump();
    }
  };
  await Promise.all(
    Array.from({ length: options.concurrency }).map(submitLoop),
  );
  await agent.close();
};

const jobBody = (id: string, count: number): object => ({
  id,
  desk: 'bench',
  deadlineMs: DEADLINE_MS,
  firstAttempt: true,
  tasks: Array.from({ length: count }, () => ({
    endpoint: 'levy',
    payload: { ms: 0 },
  })),
});

// Zero-based indexes of the fields in `/proc/PID/stat`.
const UTIME_FIELD = 13;
const STIME_FIELD = 14;

/**
 * Reads the resource usage of a process from `/proc`.
 *
 * @param pid - Process id.
 * @returns Processor time since the start of the process, and resident memory.
 */
export const readUsage = async (pid: number): Promise<Usage> => {
  const stat = await readFile(`/proc/${String(pid)}/stat`, 'utf8');
  const status = await readFile(`/proc/${String(pid)}/status`, 'utf8');
  const fields = stat.split(' ');
  const ticks =
    Number(fields[UTIME_FIELD] ?? 0) + Number(fields[STIME_FIELD] ?? 0);
  const rssKb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  return { cpuMs: ticks * MS_PER_CLOCK_TICK, rssMb: rssKb / KB_PER_MB };
};
