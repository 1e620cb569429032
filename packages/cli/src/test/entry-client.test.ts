import { createServer } from 'node:http';
import type { RequestListener, Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'earl';
import { EntryClient } from '../lib/entry-client.js';
import { ExitCode } from '../lib/exit-codes.js';

const servers: Server[] = [];

const serve = (listener: RequestListener): Promise<string> =>
  new Promise((resolve) => {
    const server = createServer(listener);
    servers.push(server);
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      resolve(`http://127.0.0.1:${String(port)}`);
    });
  });

const closeConnection: RequestListener = (req) => {
  req.socket.destroy();
};

const REFUSING_URL = 'http://127.0.0.1:1';

const submission = {
  method: 'POST',
  path: '/v1/jobs',
  body: { id: 'a', firstAttempt: true },
  retryBody: { id: 'a', firstAttempt: false },
  retryable: true,
} as const;

const recordBodies = (bodies: unknown[]): RequestListener => {
  return (req, res) => {
    let text = '';
    req.on('data', (chunk: Buffer) => {
      text += chunk.toString();
    });
    req.on('end', () => {
      bodies.push(JSON.parse(text));
      res.end('{}');
    });
  };
};

afterEach(() => {
  servers.splice(0).forEach((server) => {
    server.closeAllConnections();
    server.close();
  });
});

it('a retry after a closed connection is not marked as the first attempt', async () => {
  const bodies: unknown[] = [];
  const urls = [
    await serve(closeConnection),
    await serve(recordBodies(bodies)),
  ];
  const answer = await new EntryClient(urls).call(submission);
  expect(answer.isOk()).toEqual(true);
  expect(bodies).toEqual([{ id: 'a', firstAttempt: false }]);
});

it('a retry after a refused connection is still the first attempt', async () => {
  const bodies: unknown[] = [];
  const urls = [REFUSING_URL, await serve(recordBodies(bodies))];
  await new EntryClient(urls).call(submission);
  expect(bodies).toEqual([{ id: 'a', firstAttempt: true }]);
});

it('a request that must run at most once is not retried after a closed connection', async () => {
  const bodies: unknown[] = [];
  const urls = [
    await serve(closeConnection),
    await serve(recordBodies(bodies)),
  ];
  const call = { ...submission, path: '/v1/requests', retryable: false };
  const answer = await new EntryClient(urls).call(call);
  const code = answer.isErr() ? answer.error.exitCode : ExitCode.Ok;
  expect(code).toEqual(ExitCode.MayHaveRun);
  expect(bodies).toEqual([]);
});

it('a refused connection does not prove that an earlier attempt did not run', async () => {
  const urls = [await serve(closeConnection), REFUSING_URL];
  const answer = await new EntryClient(urls).call(submission);
  const code = answer.isErr() ? answer.error.exitCode : ExitCode.Ok;
  expect(code).toEqual(ExitCode.MayHaveRun);
});
