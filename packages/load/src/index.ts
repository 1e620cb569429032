/** Load generator and benchmarks of sapphiremux. */
export { referenceResponses } from './lib/reference.js';
export { MEAN_TASK_MS, generateTrace } from './lib/trace.js';
export type { TraceJob, TraceOptions } from './lib/trace.js';
