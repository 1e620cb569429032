// Bundles each role of platform/ (entry and worker driver) into target/, and
// rehearses some jobs to store the code that they use in a code cache.
import { spawnSync } from 'node:child_process';
import { copyFileSync, readFileSync, rmSync } from 'node:fs';
import { build } from 'esbuild';
import { parse } from 'smol-toml';

const OUT = 'target';
const ROLES = ['entry', 'worker'];
const sources = (name) => `./packages/${name}/src/index.ts`;

rmSync(OUT, { recursive: true, force: true });
await build({
  entryPoints: Object.fromEntries(
    ROLES.map((role) => [role, `platform/src/run-${role}.ts`]),
  ),
  outdir: OUT,
  outExtension: { '.js': '.cjs' },
  bundle: true,
  minify: true,
  format: 'cjs',
  platform: 'node',
  target: 'node20',
  // Bundles from source, so that the packages need not be built first.
  alias: {
    '@sapphiremux/core': sources('core'),
    '@sapphiremux/wire': sources('wire'),
    '@sapphiremux/daemon/fleet': './packages/daemon/src/fleet.ts',
  },
  logLevel: 'warning',
});
copyFileSync('platform/launch.cjs', `${OUT}/sapphiremux.cjs`);
await build({
  entryPoints: ['packages/standins/src/bin/rehearsal.ts'],
  outfile: `${OUT}/rehearsal.mjs`,
  bundle: true,
  format: 'esm',
  platform: 'node',
  target: 'node20',
  banner: {
    js: "import { createRequire as banner } from 'node:module'; const require = banner(import.meta.url);",
  },
  logLevel: 'warning',
});
const { roles } = parse(readFileSync('deploy/system.toml', 'utf8'));
for (const role of ROLES) {
  // A code cache is only accepted under the node flags it was created with.
  const [, ...words] = roles[role].run.split(' ');
  const flags = words.filter((word) => word.startsWith('--'));
  const args = [...flags, `${OUT}/rehearsal.mjs`, OUT, role];
  const { status } = spawnSync(process.execPath, args, { stdio: 'inherit' });
  if (status !== 0) {
    console.warn(`no code cache for ${role}: its processes compile at start`);
  }
}
