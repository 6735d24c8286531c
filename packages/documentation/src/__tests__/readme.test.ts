import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';

function readRoot(name: string): string {
  const url = new URL(`../../../../${name}`, import.meta.url);
  return readFileSync(fileURLToPath(url), 'utf8');
}

describe('README commands', () => {
  const {scripts} = JSON.parse(readRoot('package.json')) as {
    scripts: Readonly<Record<string, string>>;
  };
  const commands = [...readRoot('README.md').matchAll(/^npm (?:run )?(\w+)/gm)];

  it('are npm test and npm run demo', () => {
    assert.deepEqual(
      commands.map(([, name]) => name),
      ['test', 'demo'],
    );
  });

  for (const [command, name] of commands) {
    // On a bare clone the command failed with a missing module: npm skips pre-scripts here, so
    // each command must install and build itself.
    it(`${command} installs and builds a bare clone itself`, () => {
      assert.match(scripts[name], /^node scripts\/prepare\.mjs && /);
    });
  }
});
