// Makes a bare clone ready: installs what package-lock.json names, then builds.
// Runs before `npm test` and `npm run demo`; does only what is missing.
import {existsSync} from 'node:fs';
import {spawnSync} from 'node:child_process';

function run(...commandLine) {
  const [command, ...words] = commandLine;
  const result = spawnSync(command, words, {stdio: 'inherit'});
  if (result.status !== 0) process.exit(result.status ?? 1);
}

if (!existsSync('node_modules/.package-lock.json')) run('npm', 'ci');
run('npm', 'run', '--silent', 'build');
