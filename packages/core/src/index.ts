/**
 * The processes of sapphiremux as pure state machines, which take events and
 * the current time and return actions, and the data types that they share.
 *
 * There are two pairs of processes. `EntryCore` sends tasks to endpoints, each
 * through its `RunnerCore`, under the configuration that results from numbered
 * tickets (`Configuration`). `BatchEntry` places tasks on workers, each through
 * its `WorkerDriver`, under the routes in the operators' table (`RouteTable`).
 */
export { RunnerPeer, runnerKey } from './lib/connection/runner-peer.js';
export type { RunnerRef } from './lib/connection/runner-peer.js';
export * from './lib/messages.js';
export { ENTRY_DEFAULTS } from './lib/process/entry-context.js';
export type { EntryOptions } from './lib/process/entry-context.js';
export * from './lib/process/entry-events.js';
export { EntryCore } from './lib/process/entry.js';
export type { MemberView } from './lib/process/membership.js';
export type { HeadRow, JobRow, MemberRow } from './lib/process/rows.js';
export * from './lib/process/runner-events.js';
export { RunnerCore } from './lib/process/runner.js';
export type { RunnerOptions } from './lib/process/runner.js';
export { PriorityClass } from './lib/request/job-spec.js';
export type { JobSpec, TaskSpec } from './lib/request/job-spec.js';
export { FailureReason } from './lib/request/outcome.js';
export type { Outcome, TaskAnswer } from './lib/request/outcome.js';
export * from './lib/store.js';
export { Configuration } from './lib/version/configuration.js';
export type { Change, Setting, Ticket } from './lib/version/ticket.js';
export { BatchEntry } from './lib/process/batch-entry.js';
export {
  MAX_COUNT,
  MAX_TASKS,
  countTasks,
  invalidFieldOf,
  isCount,
} from './lib/request/job-content.js';
export { LogLimit } from './lib/process/log-limit.js';
export { LoadShedder } from './lib/process/load-shedder.js';
export type { BatchEntryOptions } from './lib/process/batch-entry.js';
export type { ServiceLoad } from './lib/scheduling/overload-control.js';
export { OVERLOAD_DEFAULTS } from './lib/scheduling/overload-options.js';
export type { OverloadOptions } from './lib/scheduling/overload-options.js';
export * from './lib/process/batch-events.js';
export {
  JOB_PARTS,
  MEMBER_TABLE,
  decodeWorkerRow,
  fleetKeys,
} from './lib/process/fleet-rows.js';
export type { EntryRow, WorkerRow } from './lib/process/fleet-rows.js';
export { OwnedRow, OwnedRowEvent } from './lib/process/owned-row.js';
export {
  DEFAULT_STORE_LIMITS,
  countEntries,
  largestValueBytes,
  transactionBytes,
  valueBytes,
} from './lib/process/store-limits.js';
export type { StoreLimits } from './lib/process/store-limits.js';
export { MEMBER_PART } from './lib/process/part-stores.js';
export {
  DEFAULT_RUN_BOUNDS,
  deriveRunLimits,
} from './lib/process/run-limits.js';
export type { RunBounds, RunLimits } from './lib/process/run-limits.js';
export { WorkerDriver } from './lib/process/worker-driver.js';
export type { WorkerDriverOptions } from './lib/process/worker-driver.js';
export { toDataCentreRead } from './lib/process/data-centre-state.js';
export type { DataCentreRead } from './lib/process/data-centre-state.js';
export * from './lib/process/worker-events.js';
export { BatchState } from './lib/request/batch-job.js';
export { ceilRoom, isSameRoom } from './lib/request/room.js';
export { jobIdOf } from './lib/request/run-key.js';
export type { BatchContent, JobStepContent } from './lib/request/batch-job.js';
export { RouteTable } from './lib/version/route-table.js';
export type {
  OperatorChange,
  QueueRoute,
  RouteConfig,
} from './lib/version/route-table.js';
export { CrashBulkhead } from './lib/process/crash-bulkhead.js';
export { CrashLedger } from './lib/process/crash-ledger.js';
export { chooseWorker, maxSlownessOf } from './lib/process/worker-choice.js';
export type { Candidate } from './lib/process/worker-choice.js';
export { WorkerHealth } from './lib/process/worker-health.js';
export {
  OverdueReason,
  StallDetector,
  longAfterMs,
  stalledAfterMs,
} from './lib/request/stalled-runs.js';
export { WorkerSubset } from './lib/process/worker-subset.js';
