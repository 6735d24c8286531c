import {readFileSync} from 'node:fs';
import {SystemClock} from '@gentiandoor/kernel';
import type {CommandContext} from './command-context.js';

/** Path that stands for standard input, by convention. */
const STANDARD_INPUT_PATH = '-';

/** Error code of a write to a pipe whose reader has exited. */
const BROKEN_PIPE_CODE = 'EPIPE';

/** Returns a context that uses the streams, files and environment of this process. */
export function processContext(): CommandContext {
  if (!process.stdout.listeners('error').includes(exitOnBrokenPipe))
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

/**
 * Exits with 0 when the reader of the output has exited, as in
 * `gentiandoor account day.log | head`: this is no failure, and no more output is needed.
 */
function exitOnBrokenPipe(error: NodeJS.ErrnoException): void {
  if (error.code !== BROKEN_PIPE_CODE) throw error;
  process.exit(0);
}
