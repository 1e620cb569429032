/** Schema, parser and reference page of the daemon's settings in TOML. */
export { formatProblem, parseSettings } from './lib/parse.js';
export type { SettingsProblem } from './lib/parse.js';
export { entrySchema, runnerSchema, settingsSchema } from './lib/schema.js';
export type { EntrySettings, RunnerSettings, Settings } from './lib/schema.js';
export { advertisedAddress } from './lib/address.js';
export { settingsReference } from './lib/reference.js';
