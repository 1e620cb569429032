import type { EntryAction, JobStep } from './entry-events.js';
import type { ObjectClient } from './object-client.js';
import type { StoreClient } from './store-client.js';
import type { StoreWriter } from './store-writer.js';

/** Options of an entry; times in milliseconds. */
export interface EntryOptions {
  readonly id: string;
  /** Unique to this run of the process. */
  readonly incarnation: string;
  /** Where other processes reach this entry. */
  readonly address: string;
  readonly dataCentre: string;
  /** Uniform random numbers from 0 to 1. */
  readonly random: () => number;
  /** Most transactions a second. */
  readonly writesPerSecond?: number;
  /** Most reads a second; reads above it wait. */
  readonly readsPerSecond?: number;
  /** Longest time without confirmation that the configuration is current. */
  readonly freshnessMs?: number;
  /** How often the head of the configuration is read. */
  readonly headReadMs?: number;
  /** How often the rows of the entries are read. */
  readonly memberScanMs?: number;
  /** Silence after which an entry is replaced. */
  readonly memberLeaseMs?: number;
  /** Silence after which a link is replaced. */
  readonly linkSilenceMs?: number;
  /** Longest time between two messages on a link. */
  readonly heartbeatMs?: number;
  /** Silence after which a runner's tasks are given up as possibly run. */
  readonly runnerLostMs?: number;
  /** How long a submission waits for the store. */
  readonly claimTimeoutMs?: number;
  /** How long a takeover waits for a runner's answer. */
  readonly fenceTimeoutMs?: number;
  /** How long an outcome is kept in memory after it is recorded. */
  readonly outcomeCacheMs?: number;
  /** Least share of the placements that routine work gets while it waits. */
  readonly routineShare?: number;
  /** Submissions and outcomes above this size go to the object store. */
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
  linkSilenceMs: 3000,
  heartbeatMs: 1000,
  runnerLostMs: 10_000,
  claimTimeoutMs: 2000,
  fenceTimeoutMs: 10_000,
  outcomeCacheMs: 5000,
  routineShare: 0.1,
  rowLimitBytes: 65_536,
} as const;

/** Options with every default filled in. */
export type ResolvedEntryOptions = Required<EntryOptions>;

/** What the parts of an entry share. */
export interface EntryContext {
  readonly options: ResolvedEntryOptions;
  readonly store: StoreClient;
  readonly writer: StoreWriter;
  readonly objects: ObjectClient;
  /** @param action - Something that the process is to do. */
  emit(action: EntryAction): void;
  /** Reports a step in the life of a job. */
  logStep(step: JobStep, job: string, detail?: string): void;
  /** Ends this incarnation: it has been replaced. */
  standDown(reason: string): void;
}
