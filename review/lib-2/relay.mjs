// A relay between two machines. While it is cut, no byte passes; bytes on open
// connections wait, as those of a partitioned link do.
import net from 'node:net';

export class Relay {
  constructor({ host, port, target }) {
    Object.assign(this, { host, port, target });
    this.pairs = new Set();
    this.isCut = false;
  }

  async start() {
    this.server = net.createServer((socket) => this.accept(socket));
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.port, this.host, resolve);
    });
    return this;
  }

  accept(from) {
    const [host, port] = this.target.split(':');
    const to = net.connect({ host, port: Number(port), noDelay: true });
    from.setNoDelay(true);
    const pair = [from, to];
    this.pairs.add(pair);
    const close = () => {
      this.pairs.delete(pair);
      from.destroy();
      to.destroy();
    };
    for (const [a, b] of [
      [from, to],
      [to, from],
    ]) {
      a.on('error', () => undefined);
      a.on('data', (chunk) => b.write(chunk));
      a.on('end', () => b.end());
      a.on('close', () => {
        // The other side of a cut does not learn that this one has closed.
        if (this.isCut) {
          pair.isHalfClosed = true;
        } else {
          close();
        }
      });
      if (this.isCut) {
        a.pause();
      }
    }
    pair.close = close;
  }

  cut() {
    this.isCut = true;
    for (const pair of this.pairs) {
      pair.forEach((socket) => socket.pause());
    }
  }

  heal() {
    this.isCut = false;
    for (const pair of [...this.pairs]) {
      if (pair.isHalfClosed) {
        pair.close();
      } else {
        pair.forEach((socket) => socket.resume());
      }
    }
  }

  close() {
    this.server.close();
    for (const pair of this.pairs) {
      pair.forEach((socket) => socket.destroy());
    }
  }
}
