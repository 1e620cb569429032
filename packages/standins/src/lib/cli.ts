import { execFile } from 'node:child_process';
import { fileURLToPath } from 'node:url';

const CLI = fileURLToPath(
  new URL('../../../cli/dist/bin/sapphiremux.js', import.meta.url),
);
const MAX_OUTPUT_BYTES = 64 * 1024 * 1024;

/** What a run of the client left. */
export interface CliRun {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

/**
 * Runs the command-line client.
 *
 * @param args - Its arguments.
 * @param entries - Addresses of the entries.
 * @returns Exit code and output.
 */
export const runCli = (
  args: readonly string[],
  entries: readonly string[],
): Promise<CliRun> =>
  new Promise((resolve) => {
    execFile(
      process.execPath,
      [CLI, ...args],
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
