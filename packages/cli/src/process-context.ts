import {readFileSync} from 'node:fs';
import {SystemClock} from '@gentiandoor/kernel';
import type {CommandContext} from './command-context.js';

/** Path that names standard input, as usual on a command line. */
const STANDARD_INPUT = '-';

/** The world of the process. */
export function processContext(): CommandContext {
  return {
    print: line => process.stdout.write(`${line}\n`),
    note: line => process.stderr.write(`${line}\n`),
    readFile: path => readFileSync(path === STANDARD_INPUT ? 0 : path, 'utf8'),
    environment: process.env,
    clock: new SystemClock(),
  };
}
