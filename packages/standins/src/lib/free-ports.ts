import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';

const listen = (): Promise<Server> =>
  new Promise((resolve) => {
    const server = createServer();
    server.listen(0, '127.0.0.1', () => {
      resolve(server);
    });
  });

/**
 * Finds unused ports by letting the operating system assign them. The ports
 * are not reserved: another process can take one before it is used.
 *
 * @param count - Number of ports.
 * @returns Distinct ports of the local host that nothing listens on.
 */
export const freePorts = async (count: number): Promise<number[]> => {
  const servers = await Promise.all(Array.from({ length: count }, listen));
  const ports = servers.map((s) => (s.address() as AddressInfo).port);
  await Promise.all(
    servers.map((s) => new Promise((resolve) => s.close(resolve))),
  );
  return ports;
};
