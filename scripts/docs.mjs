// Generates docs/generated/SETTINGS.md from the built settings schema.
import { writeFileSync } from 'node:fs';
import { settingsReference } from '../packages/settings/dist/index.js';

writeFileSync('docs/generated/SETTINGS.md', settingsReference());
