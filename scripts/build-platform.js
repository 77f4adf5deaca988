// Bundles the platform's program from the sources. It writes only into `target/`.
import path from 'node:path';
import {build} from 'esbuild';
import {bundleOptions} from './undici-plugin.js';

const packages = ['common', 'core', 'daemon'];

await build({
	...bundleOptions,
	entryPoints: ['platform/src/main.ts'],
	outfile: 'target/samphiremill.mjs',
	alias: Object.fromEntries(packages.map(name => [`@samphiremill/${name}`, path.resolve(`packages/${name}/src/index.ts`)])),
	tsconfig: 'tsconfig.base.json',
});
