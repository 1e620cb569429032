import { Counter, Gauge, Histogram } from 'prom-client';
import type { Registry } from 'prom-client';
import type { LogFields, ServiceLoad } from '@sapphiremux/core';
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
  /** Priorities for which a backlog has been shown. */
  private readonly _priorities = new Set<number>();
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
  readonly refusedJobs = new Counter({
    name: 'sapphiremux_refused_jobs_total',
    help: 'Refused jobs by queue and reason.',
    labelNames: ['queue', 'reason'] as const,
    registers: [this.registry],
  });
  /** Any increase needs attention: what the write should record is lost. */
  readonly rejectedWrites = new Counter({
    name: 'sapphiremux_rejected_store_writes_total',
    help: 'Writes that the store rejected for good, by table.',
    labelNames: ['table'] as const,
    registers: [this.registry],
  });
  readonly serviceRate = new Gauge({
    name: 'sapphiremux_service_rate_cores',
    help: 'Work started per millisecond while jobs wait, in cores.',
    labelNames: ['service'] as const,
    registers: [this.registry],
  });
  readonly backlog = new Gauge({
    name: 'sapphiremux_backlog_core_milliseconds',
    help: 'Work that waits to be started.',
    labelNames: ['service', 'priority'] as const,
    registers: [this.registry],
  });
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
  readonly turnMs = new Histogram({
    name: 'sapphiremux_event_loop_turn_milliseconds',
    help: 'Time from the first event of a turn of the event loop to its end.',
    buckets: LATENCY_BUCKETS_MS,
    registers: [this.registry],
  });
  readonly configVersion = new Gauge({
    name: 'sapphiremux_config_version',
    help: 'Version of the configuration in force.',
    registers: [this.registry],
  });

  /**
   * Counts a decision of the entry.
   *
   * @param decision - Message of its log line.
   * @param fields - Fields of the log line.
   */
  onDecision(decision: string, fields: LogFields): void {
    this.decisions.inc(decision);
    if (decision === 'store write rejected') {
      const table = String(fields.key).split('/', 1)[0] ?? '';
      this.rejectedWrites.inc({ table });
    } else if (decision === 'job refused') {
      const { queue = '', reason = '' } = fields;
      this.refusedJobs.inc({ queue: String(queue), reason: String(reason) });
    }
  }

  /** @param loads - Load of each service that is treated by priority. */
  setLoads(loads: ReadonlyMap<string, ServiceLoad>): void {
    for (const [service, { byPriority, serviceRate }] of loads) {
      if (serviceRate === undefined) {
        this.serviceRate.remove({ service });
      } else {
        this.serviceRate.set({ service }, serviceRate);
      }
      for (const priority of this._priorities) {
        this.backlog.set({ service, priority }, byPriority.get(priority) ?? 0);
      }
      for (const [priority, work] of byPriority) {
        this._priorities.add(priority);
        this.backlog.set({ service, priority }, work);
      }
    }
  }
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
