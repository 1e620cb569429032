import { parseArgs } from 'node:util';
import { startStoreServer } from '../lib/store-server.js';

const { values } = parseArgs({ options: { port: { type: 'string' } } });
await startStoreServer(Number(values.port));
