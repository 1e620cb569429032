import { parseArgs } from 'node:util';
import { startEndpointServer } from '../lib/endpoint-server.js';

/** Runs the fake endpoint and its worker as a process. */
const { values } = parseArgs({
  options: {
    name: { type: 'string', default: 'levy' },
    port: { type: 'string' },
    'runner-port': { type: 'string' },
    slots: { type: 'string', default: '8' },
    connections: { type: 'string', default: '64' },
    cores: { type: 'string', default: '16' },
    'memory-mb': { type: 'string', default: '32768' },
    rack: { type: 'string', default: 'rack-1' },
  },
});

await startEndpointServer({
  name: values.name,
  port: Number(values.port),
  runnerPort: Number(values['runner-port']),
  slots: Number(values.slots),
  connections: Number(values.connections),
  cores: Number(values.cores),
  memoryMb: Number(values['memory-mb']),
  rack: values.rack,
});
