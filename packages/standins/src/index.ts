/** Fakes of the platform, endpoints and workers, and a local cluster. */
export { runCli } from './lib/cli.js';
export type { CliResult } from './lib/cli.js';
export type { EndpointUsage } from './lib/stand-in-worker.js';
export { Estate, call, waitUntil } from './lib/estate.js';
export { MemoryStore } from './lib/memory-store.js';
export { freePorts } from './lib/free-ports.js';
