// Writes the pages that are made from the code.
import { writeFileSync } from 'node:fs';
import { settingsReference } from '../packages/settings/dist/index.js';

writeFileSync('docs/generated/SETTINGS.md', settingsReference());
