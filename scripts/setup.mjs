// Runs `npm ci` if the installed packages are missing or older than the lock
// file.
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
