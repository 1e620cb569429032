/**
 * Hosts and shared parts of the processes that run on the users' platform: the
 * entry ({@link BatchHost}) and the worker driver ({@link WorkerHost}). The
 * roles of `sapphiremuxd`, an entry of another kind and the runner, are not part
 * of it.
 */
export { callerOf } from './lib/connection/caller.js';
export type { Caller } from './lib/connection/caller.js';
export { BatchHost } from './lib/process/batch-host.js';
export type { BatchHostOptions } from './lib/process/batch-host.js';
export { BoundedOutput } from './lib/process/bounded-output.js';
export { now } from './lib/process/clock.js';
export type { StorePort, WorkerPort } from './lib/process/fleet-ports.js';
export {
  isRefusedConnection,
  isUnsentRequestError,
} from './lib/connection/unsent-request-error.js';
export { IoTimeout } from './lib/process/io-timeout.js';
export { createLogger } from './lib/process/logger.js';
export type { Log } from './lib/process/logger.js';
export { PlannedStop } from './lib/process/planned-stop.js';
export type { PlannedStopOptions } from './lib/process/planned-stop.js';
export { WorkerHost } from './lib/process/worker-host.js';
export type { WorkerHostOptions } from './lib/process/worker-host.js';
export { WorkerRegistration } from './lib/process/worker-registration.js';
export type { WorkerRegistrationOptions } from './lib/process/worker-registration.js';
