import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {LogEvent} from '@gentiandoor/kernel';
import {processContext} from '../process-context.js';

const PROGRAM = join(
  dirname(fileURLToPath(import.meta.url)),
  '../bin/gentiandoor.js',
);
/** Number of queues; each gives a line of output, together more than a pipe buffers. */
const QUEUES = 3_000;
const COMMANDS = 20;
const STARTED_AT = 1_800_000_000_000;

/** Returns the log lines of a job from intake to end, in a queue of its own. */
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
  const row = {level: 30, time: STARTED_AT, node: 'one', event, ...fields};
  return JSON.stringify({...row, msg: LogEvent[event]});
}

describe('a command that writes to a pipe', () => {
  // Guards against a stack trace when an operator pipes a long output into `head`, which exits
  // after the first lines: the stack trace covered the requested lines.
  it('exits with 0 and without an error message when the reader exits', async () => {
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

// Each command of one process added a listener to standard output, until Node.js warned of a leak.
describe('processContext', () => {
  it('listens once, however many commands a process runs', () => {
    processContext();
    const before = process.stdout.listenerCount('error');
    for (let command = 0; command < COMMANDS; command++) processContext();
    assert.equal(process.stdout.listenerCount('error'), before);
  });
});
