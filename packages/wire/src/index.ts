/** Messages and services used between the processes of sapphiremux. */
export * from './gen/sapphiremux/v1/dispatch_pb.js';
export * from './gen/sapphiremux/v1/fleet_pb.js';
export * from './fleet-json.js';
export type { PlainMessage } from './lib/plain-message.js';
