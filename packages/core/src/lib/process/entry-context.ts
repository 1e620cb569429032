import type { EntryAction, JobLogStep } from './entry-events.js';
import type { ObjectClient } from './object-client.js';
import type { StoreClient } from './store-client.js';
import type { StoreWriter } from './store-writer.js';

/** Options of an entry; times in milliseconds. */
export interface EntryOptions {
  /** Name of the entry, the same in all its incarnations. */
  readonly id: string;
  /** Unique to this incarnation of the entry. */
  readonly incarnation: string;
  /** Address at which other processes reach this entry. */
  readonly address: string;
  readonly dataCentre: string;
  /** Uniform random numbers from 0 to 1. */
  readonly random: () => number;
  /** Maximum number of transactions per second. */
  readonly writesPerSecond?: number;
  /** Maximum number of reads per second; further reads are queued. */
  readonly readsPerSecond?: number;
  /**
   * Maximum time since the configuration was confirmed as current; beyond it
   * no task is started.
   */
  readonly freshnessMs?: number;
  /** Interval between reads of the head row of the configuration. */
  readonly headReadMs?: number;
  /** Interval between scans of the member rows. */
  readonly memberScanMs?: number;
  /** Time without a lease renewal after which an entry is replaced. */
  readonly memberLeaseMs?: number;
  /** Time without a message after which a link is replaced. */
  readonly linkTimeoutMs?: number;
  /** Maximum interval between two messages on a link. */
  readonly heartbeatMs?: number;
  /** Time without contact after which a runner's tasks count as lost. */
  readonly runnerLostMs?: number;
  /** How long a submission waits for its claim to be stored. */
  readonly claimTimeoutMs?: number;
  /** How long a takeover waits for a runner to answer the fence call. */
  readonly fenceTimeoutMs?: number;
  /** How long an outcome is kept in memory after it is recorded. */
  readonly outcomeCacheMs?: number;
  /** Minimum share of the placements for routine work while any waits. */
  readonly routineShare?: number;
  /** Submissions and outcomes with a longer JSON text are stored as objects. */
  readonly rowLimitBytes?: number;
}

/** Defaults of {@link EntryOptions}. */
export const ENTRY_DEFAULTS = {
  writesPerSecond: 40,
  readsPerSecond: 100,
  freshnessMs: 4000,
  headReadMs: 1000,
  memberScanMs: 2000,
  memberLeaseMs: 6000,
  linkTimeoutMs: 3000,
  heartbeatMs: 1000,
  runnerLostMs: 10_000,
  claimTimeoutMs: 2000,
  fenceTimeoutMs: 10_000,
  outcomeCacheMs: 5000,
  routineShare: 0.1,
  rowLimitBytes: 65_536,
} as const;

/** Entry options with all defaults applied. */
export type ResolvedEntryOptions = Required<EntryOptions>;

/** Options and services that the components of an entry share. */
export interface EntryContext {
  readonly options: ResolvedEntryOptions;
  readonly store: StoreClient;
  readonly writer: StoreWriter;
  readonly objects: ObjectClient;
  /** @param action - An action for the host process to carry out. */
  emit(action: EntryAction): void;
  /** Logs a step in the processing of a job. */
  logStep(step: JobLogStep, job: string, detail?: string): void;
  /** Retires this incarnation because it has been replaced. */
  retire(reason: string): void;
}
