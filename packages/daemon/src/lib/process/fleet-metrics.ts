import { Counter, Gauge, Histogram } from 'prom-client';
import type { Registry } from 'prom-client';
import {
  Tally,
  createRegistry,
  openJobGauge,
  storeCallCounter,
} from './metrics.js';

const LATENCY_BUCKETS_MS = [
  1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000,
];

const decisionTally = (registry: Registry): Tally<'decision'> =>
  new Tally({
    name: 'sapphiremux_decisions_total',
    help: 'Decisions by kind, as in the log.',
    labelNames: ['decision'],
    registry,
  });

/** Prometheus metrics of an entry on the platform. */
export class BatchEntryMetrics {
  readonly registry = createRegistry();
  readonly storeCalls = storeCallCounter(this.registry);
  readonly replies = new Tally({
    name: 'sapphiremux_replies_total',
    help: 'Answers to callers by what they asked and got.',
    labelNames: ['call', 'reply'] as const,
    registry: this.registry,
  });
  readonly replyMs = new Histogram({
    name: 'sapphiremux_reply_milliseconds',
    help: 'Time from a call to its answer.',
    labelNames: ['call'] as const,
    buckets: LATENCY_BUCKETS_MS,
    registers: [this.registry],
  });
  readonly decisions = decisionTally(this.registry);
  readonly openJobs = openJobGauge(this.registry);
  readonly waitingJobs = new Gauge({
    name: 'sapphiremux_waiting_jobs',
    help: 'Jobs with tasks that wait for room.',
    registers: [this.registry],
  });
  readonly loopDelayMs = new Gauge({
    name: 'sapphiremux_event_loop_delay_milliseconds',
    help: 'Delay of the event loop at the last tick.',
    registers: [this.registry],
  });
  readonly configVersion = new Gauge({
    name: 'sapphiremux_config_version',
    help: 'Version of the configuration in force.',
    registers: [this.registry],
  });
}

/** Prometheus metrics of a worker driver process. */
export class WorkerMetrics {
  readonly registry = createRegistry();
  readonly calls = new Counter({
    name: 'sapphiremux_worker_calls_total',
    help: 'Calls to the worker by kind and what became of them.',
    labelNames: ['kind', 'reply'] as const,
    registers: [this.registry],
  });
  readonly callMs = new Histogram({
    name: 'sapphiremux_worker_call_milliseconds',
    help: 'Time of a call to the worker.',
    labelNames: ['kind'] as const,
    buckets: LATENCY_BUCKETS_MS,
    registers: [this.registry],
  });
  readonly activeRuns = new Gauge({
    name: 'sapphiremux_active_runs',
    help: 'Runs that may be active.',
    registers: [this.registry],
  });
  readonly decisions = decisionTally(this.registry);
}
