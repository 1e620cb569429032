import { setTimeout as sleep } from 'node:timers/promises';
import { Agent, request } from 'undici';
import type { TraceJob } from './trace.js';

/** Options of {@link replayTrace}. */
export interface ReplayOptions {
  /** Addresses of the entries; jobs are submitted to them round-robin. */
  readonly urls: readonly string[];
  readonly trace: readonly TraceJob[];
  /** Prefix of the job ids, unique per run. */
  readonly idPrefix: string;
}

/** Outcome of one job of a trace. */
export interface JobOutcome {
  readonly state: 'complete' | 'failed' | 'refused';
  /** Time from the scheduled submission to the complete response. */
  readonly responseMs: number;
}

interface JobResponse {
  readonly state?: string;
}

const DEADLINE_MS = 120_000;
const RESPONSE_WAIT_MS = 60_000;

/**
 * Submits the jobs of a trace at their scheduled times (open loop), without
 * regard to outstanding responses, and waits for all responses.
 *
 * @param options - Trace and entries.
 * @returns The outcome of each job, in the order of the trace.
 */
export const replayTrace = async (
  options: ReplayOptions,
): Promise<JobOutcome[]> => {
  const agent = new Agent({ headersTimeout: 0, bodyTimeout: 0 });
  const startMs = performance.now();
  const running = options.trace.map(async (job, index) => {
    await sleep(Math.max(0, startMs + job.atMs - performance.now()));
    const url = options.urls[index % options.urls.length] ?? '';
    const id = `${options.idPrefix}-${String(index)}`;
    const state = await submitJob(url, id, job, agent);
    return { state, responseMs: performance.now() - startMs - job.atMs };
  });
  const outcomes = await Promise.all(running);
  await agent.close();
  return outcomes;
};

const submitJob = async (
  url: string,
  id: string,
  job: TraceJob,
  agent: Agent,
): Promise<JobOutcome['state']> => {
  const body = {
    id,
    desk: 'bench',
    priority: job.isUrgent ? 'urgent' : 'routine',
    deadlineMs: DEADLINE_MS,
    firstAttempt: true,
    tasks: job.taskMs.map((ms) => ({ endpoint: 'levy', payload: { ms } })),
  };
  const path = `/v1/jobs?wait=${String(RESPONSE_WAIT_MS)}`;
  const res = await request(new URL(path, url), {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
    dispatcher: agent,
  });
  const { state } = (await res.body.json()) as JobResponse;
  return state === 'complete' || state === 'failed' ? state : 'refused';
};
