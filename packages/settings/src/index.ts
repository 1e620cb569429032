/** Schema, parser and reference page of the daemon's settings in TOML. */
export { formatProblem, parseSettings } from './lib/load.js';
export type { SettingsProblem } from './lib/load.js';
export { entrySchema, runnerSchema, settingsSchema } from './lib/schema.js';
export type { EntrySettings, RunnerSettings, Settings } from './lib/schema.js';
export { advertisedAddress } from './lib/address.js';
export { settingsReference } from './lib/reference.js';
