/** Host name of the queues. */
export const FLEET_HOST = 'desk.example';
/** Service of the workers. */
export const FLEET_SERVICE = 'svc';

/** Ports of each process; all processes have addresses of their own. */
export const FRONT_PORT = 8161;
export const READY_PORT = 8167;
export const CONTROL_PORT = 8166;
export const APP_PORT = 8165;
const FIRST_PEER_PORT = 7710;
const LAST_PEER_PORT = 7725;
const DATA_CENTRES = 4;

/** A process for which settings are written. */
export interface SettingsOptions {
  readonly name: string;
  /** Address of the process. */
  readonly host: string;
  /** Index among the processes of its role. */
  readonly index: number;
  /** Host and port of the table service. */
  readonly store: string;
}

/** @returns Data centre of the process with this index. */
export const dataCentreOf = (index: number): string =>
  `dc-${String(index % DATA_CENTRES)}`;

/**
 * @param options - The process.
 * @returns Its settings file, as the platform writes it.
 */
export const formatSettings = ({
  name,
  host,
  index,
  store,
}: SettingsOptions): string =>
  [
    `node_name = "${name}"`,
    `ip = "${host}"`,
    `zone = "${dataCentreOf(index)}"`,
    `port_range = [${String(FIRST_PEER_PORT)}, ${String(LAST_PEER_PORT)}]`,
    `app = "${host}:${String(APP_PORT)}"`,
    '[listen]',
    `front = "${host}:${String(FRONT_PORT)}"`,
    `ready = "${host}:${String(READY_PORT)}"`,
    `control = "${host}:${String(CONTROL_PORT)}"`,
    '[bounds]',
    'max_hold_ms = 1000',
    'stop_ms = 50',
    '[platform]',
    `address = "${store}"`,
  ].join('\n');

/**
 * @param version - Version of the configuration.
 * @returns A configuration with three queues, as an operator writes it.
 */
export const fleetConfiguration = (version: number): object => {
  const route = (name: string, priority: number): object => ({
    name,
    host: FLEET_HOST,
    path_prefix: `/${name}/`,
    kind: 'non_idempotent',
    timeout_ms: 1500,
    slo_ms: 60,
    priority,
    service: FLEET_SERVICE,
    attempts: 3,
    stretch: 1.6,
  });
  return {
    version,
    routes: [route('short', 0), route('long', 2), route('middle', 1)],
    services: [{ name: FLEET_SERVICE }],
    limits: { max_body_bytes: 262_144 },
  };
};
