import { execFile } from 'node:child_process';
import { fileURLToPath } from 'node:url';

const CLI_FILE = fileURLToPath(
  new URL('../../../cli/dist/bin/sapphiremux.js', import.meta.url),
);
const MAX_OUTPUT_BYTES = 64 * 1024 * 1024;

/** Exit code and output of a finished client process. */
export interface CliResult {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

/**
 * Runs the command-line client as a child process.
 *
 * @param args - Command-line arguments.
 * @param entries - URLs of the entries.
 * @returns The result, also when the exit code is not zero.
 */
export const runCli = (
  args: readonly string[],
  entries: readonly string[],
): Promise<CliResult> =>
  new Promise((resolve) => {
    execFile(
      process.execPath,
      [CLI_FILE, ...args],
      {
        env: { ...process.env, SAPPHIREMUX_ENTRIES: entries.join(',') },
        maxBuffer: MAX_OUTPUT_BYTES,
      },
      (err, stdout, stderr) => {
        const code = typeof err?.code === 'number' ? err.code : err ? 1 : 0;
        resolve({ code, stdout, stderr });
      },
    );
  });
