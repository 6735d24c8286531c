import assert from 'node:assert/strict';
import {readFileSync, readdirSync} from 'node:fs';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {Daemon} from '@gentiandoor/daemon';
import {SilentLogger, parseSettings} from '@gentiandoor/kernel';
import {parseBundle, type Bundle} from '@gentiandoor/shared-state';

function readExample(path: string): string {
  const url = new URL(`../../../../examples/${path}`, import.meta.url);
  return readFileSync(fileURLToPath(url), 'utf8');
}

function poolSizes(bundle: Bundle): Record<string, number> {
  return Object.fromEntries(
    Object.entries(bundle.pools).map(([name, pool]) => [name, pool.vms.length]),
  );
}

describe('sample bundles', () => {
  it('define five Kingston services on 35 workers in three data centres', () => {
    const bundle = parseBundle(readExample('kingston/bundle.ini'));
    assert.deepEqual(poolSizes(bundle), {
      'counter-preview': 6,
      'crest-works': 6,
      'logo-desk': 8,
      'school-emblems': 9,
      'ledger-room': 6,
    });
    const centres = Object.values(bundle.racks).map(rack => rack.dataCentre);
    assert.deepEqual([...new Set(centres)], ['hall-a', 'hall-b', 'hall-c']);
    assert.ok(bundle.weights.move > bundle.weights.buffer);
  });

  it('define five Swan Coast services of eight workers each in four data centres', () => {
    const bundle = parseBundle(readExample('swan-coast/bundle.ini'));
    assert.deepEqual(poolSizes(bundle), {
      eligibility: 8,
      valuation: 8,
      repayment: 8,
      statements: 8,
      admin: 8,
    });
    const centres = Object.values(bundle.racks).map(rack => rack.dataCentre);
    assert.deepEqual(
      [...new Set(centres)],
      ['perth-a', 'perth-b', 'bunbury', 'mandurah'],
    );
    assert.ok(bundle.weights.buffer > bundle.weights.move);
  });
});

describe('sample settings', () => {
  for (const [deployment, count] of [
    ['kingston', 7],
    ['swan-coast', 6],
  ] as const) {
    const directory = fileURLToPath(
      new URL(`../../../../examples/${deployment}`, import.meta.url),
    );
    const files = readdirSync(directory).filter(name =>
      name.startsWith('entry-'),
    );

    it(`${deployment} has ${count} entry VMs`, () => {
      assert.equal(files.length, count);
    });

    for (const file of files) {
      it(`${deployment}/${file} is accepted by the daemon`, () => {
        const text = readExample(`${deployment}/${file}`);
        const daemon = new Daemon(parseSettings(text, file), {
          logger: new SilentLogger(),
        });
        assert.ok(daemon);
      });
    }
  }
});
