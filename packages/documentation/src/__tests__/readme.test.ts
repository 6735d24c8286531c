import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';

function readRoot(name: string): string {
  const url = new URL(`../../../../${name}`, import.meta.url);
  return readFileSync(fileURLToPath(url), 'utf8');
}

describe('the commands of the README', () => {
  const {scripts} = JSON.parse(readRoot('package.json')) as {
    scripts: Readonly<Record<string, string>>;
  };
  const commands = [...readRoot('README.md').matchAll(/^npm (?:run )?(\w+)/gm)];

  it('are there', () => {
    assert.deepEqual(
      commands.map(([, name]) => name),
      ['test', 'demo'],
    );
  });

  for (const [command, name] of commands) {
    // On a bare clone the command failed with a missing module: npm skips pre-scripts here,
    // so each command has to install and build by itself.
    it(`${command} makes a bare clone ready itself`, () => {
      assert.match(scripts[name], /^node scripts\/prepare\.mjs && /);
    });
  }
});
