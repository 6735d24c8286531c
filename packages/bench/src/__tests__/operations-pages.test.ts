import assert from 'node:assert/strict';
import {readFileSync, readdirSync} from 'node:fs';
import {after, before, describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {RecordKind, parseBundle} from '@gentiandoor/shared-state';
import {ExitCode, processContext, runProgram} from '@gentiandoor/cli';
import {kingstonBundle, nextVersion, racksOf} from '../demo/kingston.js';
import {ADMIN_KEY, Deployment} from '../deployment.js';
import {SilentLogger} from '@gentiandoor/kernel';

const PAGES_URL = new URL('../../../../docs/operations/', import.meta.url);
/** Pages to run before all others, since the install page rolls out the first bundle. */
const INITIAL_PAGES = ['install.md', 'bundle-roll-out.md'];

/** Returns the commands in a page's shell blocks, split into words. */
function commandsOf(page: string): string[][] {
  const text = readFileSync(new URL(page, PAGES_URL), 'utf8');
  const blocks = [...text.matchAll(/```sh\n([\s\S]*?)```/g)].map(
    match => match[1],
  );
  return blocks
    .join('\n')
    .split('\n')
    .map(line => line.trim())
    .filter(line => line.startsWith('gentiandoor '))
    .map(line =>
      [...line.matchAll(/"([^"]*)"|(\S+)/g)].map(
        ([, quoted, word]) => quoted ?? word,
      ),
    );
}

function allPages(): string[] {
  const pages = readdirSync(fileURLToPath(PAGES_URL)).filter(
    name => name !== 'README.md',
  );
  return [
    ...INITIAL_PAGES,
    ...pages.filter(name => !INITIAL_PAGES.includes(name)).sort(),
  ];
}

describe('commands in the operations pages', () => {
  const deployment = new Deployment(new SilentLogger(), 'keisha');
  const files = new Map<string, string>();

  before(async () => {
    const first = kingstonBundle(deployment.operator.publicKey);
    const next = nextVersion(
      first,
      'service.counter-preview',
      'queue_limit',
      '96',
    );
    files.set('first.ini', first);
    files.set('next.ini', next);
    files.set(
      'rollback.ini',
      nextVersion(next, 'service.counter-preview', 'queue_limit', '64'),
    );
    // The same file as `gentiandoor keys make > keisha.key` writes.
    const {publicKey, privateKey} = deployment.operator;
    files.set(
      'keisha.key',
      `public_key = ${publicKey}\nprivate_key = ${privateKey}\n`,
    );
    await deployment.startPlatform();
    for (const rack of racksOf(parseBundle(first)))
      await deployment.startRack(rack);
    await deployment.startDaemon('entry-hall-a-1', 'hall-a');
    await deployment.startDaemon('entry-hall-b-1', 'hall-b');
    await deployment.untilMembers();
    // A crashed daemon, which stays a member until an operator removes it.
    await deployment.append({
      kind: RecordKind.MemberJoined,
      id: 'joined-and-crashed',
      writer: 'crashed',
      name: 'entry-hall-b-2',
      incarnation: 'crashed',
      dataCentre: 'hall-b',
      peerAddress: '127.0.0.1:1',
    });
  });

  after(() => deployment.stop());

  async function run(words: readonly string[]): Promise<void> {
    const notes: string[] = [];
    const context = {
      ...processContext(),
      print: () => undefined,
      printDiagnostic: (line: string) => notes.push(line),
      readFile: (path: string) =>
        files.get(path) ?? assert.fail(`no file ${path}`),
    };
    const {adminAddress} = deployment.daemons[0];
    const common = ['--admin', adminAddress, '--key', ADMIN_KEY];
    const code = await runProgram(['node', ...words, ...common], context);
    assert.equal(
      code,
      ExitCode.Done,
      `${words.join(' ')}: ${notes.join('\n')}`,
    );
  }

  for (const page of allPages()) {
    it(`${page}`, async () => {
      for (const words of commandsOf(page)) await run(words);
    });
  }
});
