// The store as one machine reaches it. An entry reaches a relayed worker machine
// by the address of the relay, which stands for the link between the two.
import { Buffer } from 'node:buffer';
import http from 'node:http';

export class StoreFront {
  /** `mode` is `pass`, `busy` (503), `silent`, `reset` or `lost` (done, not answered). */
  mode = 'pass';

  constructor(deployment, host, entry) {
    Object.assign(this, { deployment, host, entry });
  }

  get address() {
    return `${this.host}:${this.server.address().port}`;
  }

  async start() {
    const agent = new http.Agent({ keepAlive: true });
    const [host, port] = this.deployment.store.address.split(':');
    this.server = http.createServer((req, res) => {
      const { mode } = this;
      if (mode === 'busy') {
        req.resume();
        res.writeHead(503, { 'content-type': 'application/json' });
        res.end('{}');
        return;
      }
      if (mode === 'silent') {
        return;
      }
      if (mode === 'reset') {
        req.socket.resetAndDestroy();
        return;
      }
      const { method, url: path, headers } = req;
      const target = http.request(
        { host, port, method, path, headers, agent },
        (reply) => {
          const chunks = [];
          reply.on('data', (chunk) => chunks.push(chunk));
          reply.on('end', () => {
            if (
              this.mode === 'silent' ||
              (mode === 'lost' && method === 'POST')
            ) {
              return;
            }
            const text = this.throughRelays(Buffer.concat(chunks).toString());
            res.writeHead(reply.statusCode, {
              'content-type': 'application/json',
            });
            res.end(text);
          });
        },
      );
      target.on('error', () => res.destroy());
      req.pipe(target);
    });
    await new Promise((resolve) => this.server.listen(0, this.host, resolve));
    return this;
  }

  throughRelays(text) {
    const { deployment, entry } = this;
    if (entry === undefined || deployment.relayed.size === 0) {
      return text;
    }
    const body = JSON.parse(text);
    for (const row of body.rows ?? []) {
      if (
        row.table === 'member' &&
        row.key.startsWith('worker/') &&
        row.value
      ) {
        let value = Buffer.from(row.value, 'base64').toString('utf8');
        for (const worker of deployment.relayed) {
          const host = deployment.hostOf('worker', worker);
          value = value.replaceAll(
            `"${host}:`,
            `"${deployment.relayHost(entry, worker)}:`,
          );
        }
        row.value = Buffer.from(value, 'utf8').toString('base64');
      }
    }
    return JSON.stringify(body);
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }
}
