// Bundles the roles that run on the users' platform into target/.
import { rmSync, writeFileSync } from 'node:fs';
import { build } from 'esbuild';

const OUT = 'target';
const sources = (name) => `./packages/${name}/src/index.ts`;

rmSync(OUT, { recursive: true, force: true });
await build({
  entryPoints: { platform: 'platform/src/main.ts' },
  outdir: OUT,
  bundle: true,
  splitting: true,
  format: 'esm',
  platform: 'node',
  target: 'node20',
  // Bundled from source, so that no compiled package has to be there first.
  alias: {
    '@sapphiremux/core': sources('core'),
    '@sapphiremux/wire': sources('wire'),
    '@sapphiremux/daemon/fleet': './packages/daemon/src/fleet.ts',
  },
  // CommonJS packages inside the bundle load Node's modules by require.
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
  logLevel: 'warning',
});
writeFileSync(`${OUT}/package.json`, '{"type":"module"}\n');
