// Prepares a fresh clone: installs the packages of package-lock.json, then builds.
// Runs before `npm test` and `npm run demo`; does only what is missing.
import {existsSync} from 'node:fs';
import {spawnSync} from 'node:child_process';

function run(...commandLine) {
  const [command, ...args] = commandLine;
  const result = spawnSync(command, args, {stdio: 'inherit'});
  if (result.status !== 0) process.exit(result.status ?? 1);
}

if (!existsSync('node_modules/.package-lock.json')) run('npm', 'ci');
run('npm', 'run', '--silent', 'build');
