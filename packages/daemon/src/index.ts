/** The daemon of sapphiremux; run it as `sapphiremuxd`. */
export { ExitCode, main } from './lib/process/main.js';
export { openApiDocument } from './lib/request/openapi.js';
