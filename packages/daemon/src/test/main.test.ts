import { execFile } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect } from 'earl';

const DAEMON = fileURLToPath(
  new URL('../bin/sapphiremuxd.js', import.meta.url),
);

let dir: string;

beforeEach(async () => {
  dir = await mkdtemp(join(tmpdir(), 'sapphiremuxd-'));
});

afterEach(async () => {
  await rm(dir, { recursive: true });
});

const settings = (port: number, extra = ''): string => `
role = "runner"
id = "runner-1"
data_centre = "north"
[listen]
host = "127.0.0.1"
port = ${String(port)}
[store]
url = "http://127.0.0.1:1"
[local]
port = 7102
${extra}`;

const run = async (
  option: string,
  text: string,
): Promise<{ code: unknown; stderr: string }> => {
  const file = join(dir, 'settings.toml');
  await writeFile(file, text);
  return new Promise((resolve) => {
    execFile(process.execPath, [DAEMON, option, file], (err, _out, stderr) => {
      resolve({ code: err?.code ?? 0, stderr });
    });
  });
};

it('--check accepts valid settings', async () => {
  expect((await run('--check', settings(7101))).code).toEqual(0);
});

it('--check names a certificate file that cannot be read', async () => {
  const tls = '[tls]\ncert = "/none"\nkey = "/none"\nca = "/none"';
  const { code, stderr } = await run('--check', settings(7101, tls));
  expect(code).toEqual(2);
  expect(stderr).toInclude('tls.cert: expected a readable file, "/none"');
});

it('a port in use is reported as one log line and exit code 1', async () => {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const { code, stderr } = await run('--config', settings(port));
  server.close();
  expect(code).toEqual(1);
  expect(stderr).toInclude('EADDRINUSE');
  expect(stderr.trim().split('\n').length).toEqual(1);
});
