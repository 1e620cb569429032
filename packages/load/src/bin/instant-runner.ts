// Starts one instant runner as a process of its own.
import { parseArgs } from 'node:util';
import { startInstantRunner } from '../lib/instant-runner.js';

const { values } = parseArgs({
  options: {
    id: { type: 'string', default: 'instant-1' },
    port: { type: 'string' },
    slots: { type: 'string', default: '64' },
  },
});

await startInstantRunner({
  id: values.id,
  port: Number(values.port),
  slots: Number(values.slots),
});
