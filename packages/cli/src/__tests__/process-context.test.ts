import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {LogEvent} from '@gentiandoor/kernel';

const PROGRAM = join(
  dirname(fileURLToPath(import.meta.url)),
  '../bin/gentiandoor.js',
);
/** Queues of a day, each a line of its account: more than a pipe holds. */
const QUEUES = 3_000;
const BEGAN = 1_800_000_000_000;

/** Lines of one job of a queue of its own, from its intake to its end. */
function jobLines(index: number): string[] {
  const job = index.toString(16).padStart(16, '0');
  const run = {task: `${job}.0.0.0`, run: 1, worker: 'w-1'};
  return [
    logLine(LogEvent.JobTaken, {job, queue: `queue-${index}`, milliseconds: 9}),
    logLine(LogEvent.RunOrdered, {...run, storedAfterMilliseconds: 9}),
    logLine(LogEvent.RunEnded, {...run, end: 'done'}),
    logLine(LogEvent.JobEnded, {
      job,
      state: 'completed',
      milliseconds: 100,
      objectiveMilliseconds: 200,
    }),
  ];
}

function logLine(event: LogEvent, fields: object): string {
  const row = {level: 30, time: BEGAN, node: 'one', event, ...fields};
  return JSON.stringify({...row, msg: LogEvent[event]});
}

describe('a command whose output goes to a pipe', () => {
  // An operator reads the first lines of a long account with `head`. The rest has no reader, and the
  // command ended with a stack trace over the lines that were asked for.
  it('ends without a word when its reader leaves', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'pipe-'));
    const log = join(folder, 'day.log');
    const lines = Array.from({length: QUEUES}, (_, index) => jobLines(index));
    writeFileSync(log, lines.flat().join('\n'));
    const child = spawn(process.execPath, [PROGRAM, 'account', log], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    let errors = '';
    child.stderr.on('data', part => (errors += String(part)));
    child.stdout.destroy();
    const [code] = (await once(child, 'exit')) as [number | null];
    rmSync(folder, {recursive: true});
    assert.equal(errors, '');
    assert.equal(code, 0);
  });
});
