import { Logger } from 'tslog';

/** Log settings of a process. */
export interface LogOptions {
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  readonly format: 'json' | 'pretty';
  /** Name of the process, part of each line. */
  readonly name: string;
  /** Receives each line; the default writes to standard error. */
  readonly write?: (line: string) => void;
}

/** Fields of a log line besides its message. */
export type LogFields = Readonly<Record<string, string | number | boolean>>;

/** The structured log of a process. */
export type Log = Logger<unknown>;

const MIN_LEVEL = { debug: 2, info: 3, warn: 4, error: 5 } as const;

/**
 * Creates the log of a process, with lines in JSON or in plain text.
 *
 * @param options - Level, format, name and destination.
 * @returns The log.
 */
export const createLogger = (options: LogOptions): Log => {
  const logger = new Logger<unknown>({
    name: options.name,
    type: 'hidden',
    minLevel: MIN_LEVEL[options.level],
    hideLogPositionForProduction: true,
    // Masking copies every line and is not needed: no secrets are logged.
    maskValuesOfKeys: [],
  });
  const write =
    options.write ??
    ((text: string): void => {
      process.stderr.write(text);
    });
  logger.attachTransport((line) => {
    const text =
      options.format === 'json' ? toJson(line) : toPretty(options.name, line);
    write(`${text}\n`);
  });
  return logger;
};

interface LogLine {
  readonly time: string;
  readonly level: string;
  readonly name: string;
  readonly message: string;
  readonly fields: LogFields;
}

const toLogLine = (line: Record<string, unknown>): LogLine => {
  const meta = line._meta as {
    date: Date;
    logLevelName: string;
    name: string;
  };
  return {
    time: meta.date.toISOString(),
    level: meta.logLevelName.toLowerCase(),
    name: meta.name,
    message: String(line['0']),
    fields: (line['1'] ?? {}) as LogFields,
  };
};

const toJson = (line: Record<string, unknown>): string => {
  const { time, level, name, message, fields } = toLogLine(line);
  return JSON.stringify({ time, level, name, message, ...fields });
};

const toPretty = (name: string, line: Record<string, unknown>): string => {
  const { time, level, message, fields } = toLogLine(line);
  const details = Object.entries(fields).map(
    ([key, value]) => `${key}=${String(value)}`,
  );
  return [time, level.padEnd(5), name, message, ...details].join(' ');
};
