import { parseArgs } from 'node:util';
import { startStoreServer } from '../lib/store-server.js';

/** Runs the fake table service as a process. */
const { values } = parseArgs({ options: { port: { type: 'string' } } });
await startStoreServer(Number(values.port));
