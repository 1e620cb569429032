/**
 * Entry point of the daemon, which is started as `sapphiremuxd`, and the
 * OpenAPI description of its HTTP interface.
 */
export { ExitCode, main } from './lib/process/main.js';
export { openApiDocument } from './lib/request/openapi.js';
