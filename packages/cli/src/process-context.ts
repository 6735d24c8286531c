import {readFileSync} from 'node:fs';
import {SystemClock} from '@gentiandoor/kernel';
import type {CommandContext} from './command-context.js';

/** Path that names standard input, as usual on a command line. */
const STANDARD_INPUT_PATH = '-';

/** What a write to a pipe fails with whose reader has gone. */
const BROKEN_PIPE_CODE = 'EPIPE';

/** The world of the process. */
export function processContext(): CommandContext {
  process.stdout.on('error', exitOnBrokenPipe);
  return {
    print: line => process.stdout.write(`${line}\n`),
    printDiagnostic: line => process.stderr.write(`${line}\n`),
    readFile: path =>
      readFileSync(path === STANDARD_INPUT_PATH ? 0 : path, 'utf8'),
    environment: process.env,
    clock: new SystemClock(),
  };
}

/** `gentiandoor account day.log | head` reads the first lines and leaves: no failure, and nothing more to say. */
function exitOnBrokenPipe(error: NodeJS.ErrnoException): void {
  if (error.code !== BROKEN_PIPE_CODE) throw error;
  process.exit(0);
}
