import {readFileSync} from 'node:fs';
import {SystemClock} from '@gentiandoor/kernel';
import type {CommandContext} from './command-context.js';

/** Path that names standard input, as usual on a command line. */
const STANDARD_INPUT = '-';

/** What a write to a pipe fails with whose reader has gone. */
const READER_GONE = 'EPIPE';

/** The world of the process. */
export function processContext(): CommandContext {
  process.stdout.on('error', endQuietly);
  return {
    print: line => process.stdout.write(`${line}\n`),
    note: line => process.stderr.write(`${line}\n`),
    readFile: path => readFileSync(path === STANDARD_INPUT ? 0 : path, 'utf8'),
    environment: process.env,
    clock: new SystemClock(),
  };
}

/** `gentiandoor account day.log | head` reads the first lines and leaves: no failure, and nothing more to say. */
function endQuietly(error: NodeJS.ErrnoException): void {
  if (error.code !== READER_GONE) throw error;
  process.exit(0);
}
