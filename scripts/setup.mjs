// Installs the declared packages when they are missing or out of date.
import { spawnSync } from 'node:child_process';
import { existsSync, statSync } from 'node:fs';

const MARKER = 'node_modules/.package-lock.json';
const LOCK = 'package-lock.json';

const isCurrent =
  existsSync(MARKER) && statSync(MARKER).mtimeMs >= statSync(LOCK).mtimeMs;

if (!isCurrent) {
  const { status } = spawnSync('npm', ['ci', '--no-fund', '--no-audit'], {
    stdio: 'inherit',
  });
  process.exitCode = status ?? 1;
}
