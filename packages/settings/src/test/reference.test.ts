import { readFileSync } from 'node:fs';
import { expect } from 'earl';
import { settingsReference } from '../index.js';

const PAGE = new URL('../../../../docs/generated/SETTINGS.md', import.meta.url);

it('settings reference is up to date: npm run docs', () => {
  expect(readFileSync(PAGE, 'utf8')).toEqual(settingsReference());
});
