import { Logger } from 'tslog';

/** Log settings of a process. */
export interface LogOptions {
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  readonly format: 'json' | 'pretty';
  /** Name of the process in each line. */
  readonly name: string;
  /** Receives each line; standard error when not given. */
  readonly write?: (line: string) => void;
}

/** What a log line carries besides its message. */
export type LogFields = Readonly<Record<string, string | number | boolean>>;

/** Structured log of a process. */
export type Log = Logger<unknown>;

const MIN_LEVEL = { debug: 2, info: 3, warn: 4, error: 5 } as const;

/**
 * @param options - Level, format and name.
 * @returns A log.
 */
export const createLogger = (options: LogOptions): Log => {
  const logger = new Logger<unknown>({
    name: options.name,
    type: 'hidden',
    minLevel: MIN_LEVEL[options.level],
    hideLogPositionForProduction: true,
    // Nothing secret is logged, and masking would copy every line.
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

interface Parts {
  readonly time: string;
  readonly level: string;
  readonly name: string;
  readonly message: string;
  readonly fields: LogFields;
}

const partsOf = (line: Record<string, unknown>): Parts => {
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
  const { fields, ...head } = partsOf(line);
  return JSON.stringify({ ...head, ...fields });
};

const toPretty = (name: string, line: Record<string, unknown>): string => {
  const { time, level, message, fields } = partsOf(line);
  const details = Object.entries(fields).map(
    ([key, value]) => `${key}=${String(value)}`,
  );
  return [time, level.padEnd(5), name, message, ...details].join(' ');
};
