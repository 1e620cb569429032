import { accessSync, constants, readFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { formatProblem, parseSettings } from '@sapphiremux/settings';
import type { Settings, SettingsProblem } from '@sapphiremux/settings';
import { createLogger } from './logger.js';
import type { Log } from './logger.js';
import { PlannedStop } from './planned-stop.js';
import type { RunningRole } from './run-entry.js';

/** Exit codes of the daemon. */
export enum ExitCode {
  Ok = 0,
  Failed = 1,
  BadSettings = 2,
}

const USAGE = `Usage: sapphiremuxd --config FILE    run the role of the settings file
       sapphiremuxd --check FILE     check a settings file and exit

Exit codes: 0 stopped as planned, 1 failed, 2 bad settings or arguments.
`;

/**
 * Runs the command line of the daemon: checks a settings file, or runs the role
 * that the file names until SIGTERM or SIGINT begins a planned stop. Sets the
 * exit code of the process.
 *
 * @param args - Command-line arguments, without the program.
 */
export const main = async (args: readonly string[]): Promise<void> => {
  const options = parseOptions(args);
  if (!options) {
    process.stderr.write(USAGE);
    process.exitCode = ExitCode.BadSettings;
    return;
  }
  const settings = readSettings(options.file);
  if (!settings) {
    process.exitCode = ExitCode.BadSettings;
    return;
  }
  if (options.check) {
    process.stdout.write(`${options.file}: settings are valid\n`);
    return;
  }
  const log = createLogger({ ...settings.log, name: settings.id });
  const plannedStop = new PlannedStop({
    log,
    onStartTimeout: () => {
      process.exit(ExitCode.Ok);
    },
  });
  const stop = (): void => {
    plannedStop.begin();
  };
  // Without a listener, a signal ends the process at once. A second SIGINT does,
  // for whoever runs the daemon in a terminal.
  process.on('SIGTERM', stop);
  process.once('SIGINT', stop);
  try {
    const role = await start(settings, log);
    plannedStop.onStarted(() => {
      role.stop();
    });
  } catch (err) {
    log.error('start failed', { detail: (err as Error).message });
    process.exit(ExitCode.Failed);
  }
};

interface Options {
  readonly file: string;
  readonly check: boolean;
}

const parseOptions = (args: readonly string[]): Options | undefined => {
  try {
    const { values } = parseArgs({
      args: [...args],
      options: { config: { type: 'string' }, check: { type: 'string' } },
    });
    const file = values.check ?? values.config;
    return file === undefined
      ? undefined
      : { file, check: values.check !== undefined };
  } catch (err) {
    process.stderr.write(`${(err as Error).message}\n`);
    return undefined;
  }
};

const readSettings = (file: string): Settings | undefined => {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (err) {
    process.stderr.write(`${file}: ${(err as Error).message}\n`);
    return undefined;
  }
  const parsed = parseSettings(file, text);
  const problems = parsed.isOk()
    ? unreadableFiles(file, parsed.value)
    : parsed.error;
  for (const problem of problems) {
    process.stderr.write(`${formatProblem(problem)}\n`);
  }
  return parsed.isOk() && problems.length === 0 ? parsed.value : undefined;
};

const unreadableFiles = (
  file: string,
  settings: Settings,
): SettingsProblem[] => {
  const problems: SettingsProblem[] = [];
  for (const [key, path] of Object.entries(settings.tls ?? {})) {
    try {
      accessSync(path, constants.R_OK);
    } catch {
      const expected = `expected a readable file, "${path}" is not`;
      problems.push({ file, key: `tls.${key}`, expected });
    }
  }
  return problems;
};

const start = async (settings: Settings, log: Log): Promise<RunningRole> => {
  const onClosed = (): void => {
    log.info('stopped');
    process.exit(ExitCode.Ok);
  };
  // Each role loads only the modules that it needs, to keep a runner small.
  switch (settings.role) {
    case 'entry': {
      const { runEntry } = await import('./run-entry.js');
      return runEntry(settings, log, onClosed);
    }
    case 'runner': {
      const { runRunner } = await import('./run-runner.js');
      return runRunner(settings, log, onClosed);
    }
  }
};
