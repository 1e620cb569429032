import { z } from 'zod';
import { durationMs, sizeBytes } from './units.js';

const name = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9.-]{0,62}$/,
    'expected a name of lower-case letters, digits, dots and dashes',
  );

const port = z.int().min(1).max(65535);

const log = z
  .strictObject({
    level: z
      .enum(['debug', 'info', 'warn', 'error'])
      .default('info')
      .describe('Minimum level of the lines that are written.'),
    format: z
      .enum(['json', 'pretty'])
      .default('json')
      .describe('One JSON object per line, or human-readable text.'),
  })
  .prefault({});

const store = z.strictObject({
  url: z.url().describe('Address of the table service of the platform.'),
  timeout: durationMs
    .prefault('1s')
    .describe('Timeout of a call to the store.'),
});

const rateLimitedStore = store.extend({
  writes_per_second: z
    .int()
    .positive()
    .default(40)
    .describe('Maximum number of transactions per second of this process.'),
  reads_per_second: z
    .int()
    .positive()
    .default(100)
    .describe(
      'Maximum number of reads per second of this process; further reads wait.',
    ),
});

const listen = z.strictObject({
  host: z
    .string()
    .describe('Address on which this process listens for other processes.'),
  port: port.describe(
    'Port on which this process listens for other processes.',
  ),
  advertise: z
    .string()
    .regex(/^.+:\d+$/, 'expected an address with a port, as in "10.0.0.7:7100"')
    .optional()
    .describe(
      'Address with port to advertise instead, if others reach this process through a forwarder.',
    ),
});

const tls = z
  .strictObject({
    cert: z.string().describe('File with the certificate chain in PEM.'),
    key: z.string().describe('File with the private key in PEM.'),
    ca: z.string().describe('File with the trusted certificates in PEM.'),
  })
  .optional()
  .describe('Certificates for all connections; absent means no encryption.');

const common = {
  id: name.describe('Name of this process, unique in its role.'),
  data_centre: name.describe('Data centre in which this process runs.'),
  listen,
  log,
  tls,
};

/** Settings of the entry role. */
export const entrySchema = z.strictObject({
  role: z.literal('entry').describe('What this process does.'),
  ...common,
  store: rateLimitedStore,
  http: z.strictObject({
    host: z.string().default('127.0.0.1').describe('Address for callers.'),
    port: port.describe('Port for callers, operators, metrics and health.'),
    max_body: sizeBytes
      .prefault('4MiB')
      .describe('Maximum size of a request body.'),
    max_wait: durationMs
      .prefault('60s')
      .describe('Maximum time that a caller may wait in one call.'),
  }),
  limits: z
    .strictObject({
      freshness: durationMs
        .prefault('4s')
        .describe(
          'Maximum time since the last confirmation of the configuration; after it, no task starts.',
        ),
      member_lease: durationMs
        .prefault('6s')
        .describe('Time without contact after which an entry is replaced.'),
      link_silence: durationMs
        .prefault('3s')
        .describe(
          'Time without a message after which a connection to a runner is replaced.',
        ),
      runner_lost: durationMs
        .prefault('10s')
        .describe('Time without contact after which a runner counts as lost.'),
      claim_timeout: durationMs
        .prefault('2s')
        .describe('Maximum time that a submission waits for the store.'),
      routine_share: z
        .number()
        .min(0)
        .max(1)
        .default(0.1)
        .describe('Minimum share of the placements that routine work gets.'),
    })
    .prefault({}),
});

/** Settings of the runner role. */
export const runnerSchema = z.strictObject({
  role: z.literal('runner').describe('What this process does.'),
  ...common,
  store,
  local: z.strictObject({
    port: port.describe(
      'Port on the local host for announcements, metrics and health.',
    ),
  }),
  limits: z
    .strictObject({
      freshness: durationMs
        .prefault('4s')
        .describe(
          'Maximum time since the last confirmation of the configuration; after it, no task starts.',
        ),
      announcement_lease: durationMs
        .prefault('3s')
        .describe('Time after which an announcement expires.'),
      prefetch: z
        .int()
        .min(0)
        .max(64)
        .default(0)
        .describe(
          'Starts accepted beyond the number of slots while work waits.',
        ),
      retention: durationMs
        .prefault('1h')
        .describe('Time for which a result is kept if it is not released.'),
    })
    .prefault({}),
});

/** Settings of either role, discriminated by `role`. */
export const settingsSchema = z.discriminatedUnion('role', [
  entrySchema,
  runnerSchema,
]);

/** Validated settings of an entry. */
export type EntrySettings = z.infer<typeof entrySchema>;
/** Validated settings of a runner. */
export type RunnerSettings = z.infer<typeof runnerSchema>;
/** Validated settings of a process of either role. */
export type Settings = z.infer<typeof settingsSchema>;
