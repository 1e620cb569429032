import {
  Counter,
  Gauge,
  Histogram,
  Registry,
  collectDefaultMetrics,
} from 'prom-client';

const LATENCY_BUCKETS_MS = [
  1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000,
];

/** Sampling period of the event-loop delay; each sample wakes the process. */
const EVENT_LOOP_SAMPLE_MS = 500;

/** @returns A registry with the default metrics of a Node.js process. */
export const createRegistry = (): Registry => {
  const registry = new Registry();
  collectDefaultMetrics({
    register: registry,
    eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLE_MS,
  });
  return registry;
};

/** Options of a {@link Tally}. */
export interface TallyOptions<L extends string> {
  readonly name: string;
  readonly help: string;
  readonly labelNames: readonly L[];
  readonly registry: Registry;
}

/**
 * A counter for events that occur several times per job. Increments are gathered
 * in a map and applied to the metric when it is read, because its own look-up of
 * labels builds a key from names and values at each increment.
 */
export class Tally<L extends string> {
  private readonly _labelNames: readonly L[];
  private readonly _counts = new Map<
    string,
    { readonly values: readonly string[]; count: number }
  >();

  /** @param options - Name, help, labels and registry of the metric. */
  constructor({ name, help, labelNames, registry }: TallyOptions<L>) {
    this._labelNames = labelNames;
    const counter = new Counter({
      name,
      help,
      labelNames: [...labelNames],
      registers: [registry],
      collect: () => {
        this._applyTo(counter);
      },
    });
  }

  /** @param values - Values of the labels, in the order of their names. */
  inc(...values: readonly string[]): void {
    const key = values.join('\0');
    const entry = this._counts.get(key);
    if (entry) {
      entry.count += 1;
    } else {
      this._counts.set(key, { values, count: 1 });
    }
  }

  private _applyTo(counter: Counter<L>): void {
    for (const { values, count } of this._counts.values()) {
      const labels = this._labelNames.map((name, i) => [name, values[i] ?? '']);
      counter.inc(Object.fromEntries(labels) as Record<L, string>, count);
    }
    this._counts.clear();
  }
}

/** @returns A counter of store calls by kind and outcome. */
export const storeCallCounter = (
  registry: Registry,
): Counter<'kind' | 'outcome'> =>
  new Counter({
    name: 'sapphiremux_store_calls_total',
    help: 'Calls to the platform store.',
    labelNames: ['kind', 'outcome'],
    registers: [registry],
  });

/** @returns A gauge of the jobs that have no recorded outcome. */
export const openJobGauge = (registry: Registry): Gauge =>
  new Gauge({
    name: 'sapphiremux_open_jobs',
    help: 'Jobs without a recorded outcome.',
    registers: [registry],
  });

/** Prometheus metrics of an entry. */
export class EntryMetrics {
  readonly registry = createRegistry();
  readonly storeCalls = storeCallCounter(this.registry);
  readonly jobSteps = new Counter({
    name: 'sapphiremux_job_steps_total',
    help: 'Steps in the life of jobs.',
    labelNames: ['step'] as const,
    registers: [this.registry],
  });
  readonly replies = new Counter({
    name: 'sapphiremux_replies_total',
    help: 'Answers to callers by kind and error code.',
    labelNames: ['kind', 'code'] as const,
    registers: [this.registry],
  });
  readonly replyMs = new Histogram({
    name: 'sapphiremux_reply_milliseconds',
    help: 'Time from a call to its answer.',
    labelNames: ['kind'] as const,
    buckets: LATENCY_BUCKETS_MS,
    registers: [this.registry],
  });
  readonly starts = new Counter({
    name: 'sapphiremux_task_starts_total',
    help: 'Task starts sent to runners, resends included.',
    registers: [this.registry],
  });
  readonly wasted = new Counter({
    name: 'sapphiremux_wasted_messages_total',
    help: 'Messages that moved no task on, by kind.',
    labelNames: ['kind'] as const,
    registers: [this.registry],
  });
  readonly waiting = new Gauge({
    name: 'sapphiremux_waiting_tasks',
    help: 'Tasks that wait to be placed.',
    registers: [this.registry],
  });
  readonly openJobs = openJobGauge(this.registry);
  readonly configVersion = new Gauge({
    name: 'sapphiremux_config_version',
    help: 'Number of the last ticket in force.',
    registers: [this.registry],
  });
}

/** Prometheus metrics of a runner. */
export class RunnerMetrics {
  readonly registry = createRegistry();
  readonly storeCalls = storeCallCounter(this.registry);
  readonly calls = new Counter({
    name: 'sapphiremux_endpoint_calls_total',
    help: 'Calls to the endpoint by how they ended.',
    labelNames: ['outcome'] as const,
    registers: [this.registry],
  });
  readonly callMs = new Histogram({
    name: 'sapphiremux_endpoint_call_milliseconds',
    help: 'Time of a call to the endpoint.',
    buckets: LATENCY_BUCKETS_MS,
    registers: [this.registry],
  });
  readonly refusals = new Counter({
    name: 'sapphiremux_refused_starts_total',
    help: 'Starts refused as not run, by reason.',
    labelNames: ['reason'] as const,
    registers: [this.registry],
  });
  readonly running = new Gauge({
    name: 'sapphiremux_running_calls',
    help: 'Calls that the endpoint has not answered.',
    registers: [this.registry],
  });
  readonly workerCores = new Gauge({
    name: 'sapphiremux_worker_used_cores',
    help: 'Cores in use as the worker last reported, with its lag.',
    registers: [this.registry],
  });
  readonly workerMemoryMb = new Gauge({
    name: 'sapphiremux_worker_used_megabytes',
    help: 'Memory in use as the worker last reported, with its lag.',
    registers: [this.registry],
  });
  readonly configVersion = new Gauge({
    name: 'sapphiremux_config_version',
    help: 'Number of the last ticket in force.',
    registers: [this.registry],
  });
}
