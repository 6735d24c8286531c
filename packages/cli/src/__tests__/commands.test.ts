import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualClock} from '@gentiandoor/kernel';
import type {CommandContext} from '../command-context.js';
import {ExitCode} from '../exit-codes.js';
import {runProgram} from '../program.js';

const GOOD_BUNDLE = `
[bundle]
version = 2
base = 1
author = moana
[operator.moana]
public_key = a
[operator.kerry]
public_key = b
[rack.hall-a-r1]
data_centre = hall-a
vms = hall-a-r1-[1-2]
[pool.previews]
vms = hall-a-r1-[1-2]
[service.previews]
pool = previews
`;

class RecordingContext implements CommandContext {
  readonly printed: string[] = [];
  readonly diagnostics: string[] = [];
  readonly environment = {};
  readonly clock = new VirtualClock();

  constructor(private readonly files: Readonly<Record<string, string>>) {}

  readonly print = (line: string) => {
    this.printed.push(line);
  };

  readonly printDiagnostic = (line: string) => {
    this.diagnostics.push(line);
  };

  readonly readFile = (path: string) => {
    const text = this.files[path];
    if (text === undefined) throw new Error('no such file');
    return text;
  };
}

async function run(
  context: RecordingContext,
  ...args: string[]
): Promise<ExitCode> {
  return runProgram(['node', 'gentiandoor', ...args], context);
}

describe('the command line', () => {
  describe('bundle check', () => {
    it('accepts a good bundle', async () => {
      const context = new RecordingContext({'b.ini': GOOD_BUNDLE});
      assert.equal(
        await run(context, 'bundle', 'check', 'b.ini'),
        ExitCode.Done,
      );
      assert.match(
        context.printed[0],
        /version 2 on base 1: 1 pools, 1 services, 2 VMs/,
      );
    });

    const refusals: ReadonlyArray<readonly [string, string, RegExp]> = [
      [
        'a pool that stands twice',
        `${GOOD_BUNDLE}\n[pool.previews]\nvms = hall-a-r1-1\n`,
        /section \[pool\.previews\] stands twice/,
      ],
      [
        'a VM in two pools',
        `${GOOD_BUNDLE}\n[pool.others]\nvms = hall-a-r1-2\n`,
        /pool\.others: VM hall-a-r1-2 is in pool previews too/,
      ],
      [
        'a budget that its pool cannot meet',
        `${GOOD_BUNDLE}\navailable_vms = 2\nsurvive = vm\n`,
        /available_vms 2 cannot be met: pool previews has 2 VMs and keeps 1/,
      ],
      [
        'an unknown key',
        `${GOOD_BUNDLE}\nqueue_length = 3\n`,
        /service\.previews.*queue_length/,
      ],
      [
        'a number out of bounds',
        `${GOOD_BUNDLE}\nqueue_limit = -1\n`,
        /queue_limit: expected a whole number from 0/,
      ],
      [
        'a line without a value',
        `${GOOD_BUNDLE}\nqueue_limit\n`,
        /expected "key = value"/,
      ],
    ];
    for (const [name, text, message] of refusals) {
      it(`refuses ${name}`, async () => {
        const context = new RecordingContext({'b.ini': text});
        assert.equal(
          await run(context, 'bundle', 'check', 'b.ini'),
          ExitCode.BadInput,
        );
        assert.match(context.diagnostics.join('\n'), message);
      });
    }

    it('names a file that cannot be read', async () => {
      const context = new RecordingContext({});
      assert.equal(
        await run(context, 'bundle', 'check', 'x.ini'),
        ExitCode.BadInput,
      );
      assert.match(context.diagnostics[0], /cannot read x\.ini/);
    });
  });

  describe('bundle diff', () => {
    it('shows added, removed and changed keys', async () => {
      const after = GOOD_BUNDLE.replace('version = 2', 'version = 3')
        .replace('[operator.kerry]\npublic_key = b\n', '')
        .concat('queue_limit = 5\n');
      const context = new RecordingContext({
        'a.ini': GOOD_BUNDLE,
        'b.ini': after,
      });
      const code = await run(
        context,
        'bundle',
        'diff',
        'b.ini',
        '--against',
        'a.ini',
      );
      assert.equal(code, ExitCode.Done);
      assert.deepEqual(context.printed, [
        '~ bundle.version: 2 -> 3',
        '- operator.kerry.public_key = b',
        '+ service.previews.queue_limit = 5',
      ]);
    });
  });

  describe('without an admin key', () => {
    it('names the environment variable and sends nothing', async () => {
      const context = new RecordingContext({});
      assert.equal(await run(context, 'status'), ExitCode.BadInput);
      assert.match(context.diagnostics[0], /GENTIANDOOR_ADMIN_KEY/);
    });
  });

  describe('with a daemon that cannot be reached', () => {
    it('reports the address of the daemon', async () => {
      const context = new RecordingContext({});
      const code = await run(
        context,
        'status',
        '--admin',
        '127.0.0.1:1',
        '--key',
        'k',
      );
      assert.equal(code, ExitCode.Unreachable);
      assert.match(
        context.diagnostics[0],
        /cannot reach the daemon at 127\.0\.0\.1:1/,
      );
    });
  });
});
