/** Fakes of the platform, endpoints and workers, and a local cluster. */
export { runCli } from './lib/cli.js';
export type { CliResult } from './lib/cli.js';
export type { EndpointUsage } from './lib/fake-worker.js';
export { freePorts } from './lib/free-ports.js';
export { LocalCluster, call, waitUntil } from './lib/local-cluster.js';
export { MemoryStore } from './lib/memory-store.js';
