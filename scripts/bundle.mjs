// Bundles the entry daemon into one file; unbundled, its start reads several hundred files.
import {build} from 'esbuild-wasm';

await build({
  entryPoints: ['packages/entry/lib/bin/gentiandoor-entry.js'],
  outfile: 'target/gentiandoor-entry.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  banner: {
    js: "import {createRequire as requireForBundle} from 'node:module';const require = requireForBundle(import.meta.url);",
  },
});
