import type {ExitCode} from './exit-codes.js';

/** Ends a command with a message and an exit code. */
export class CommandError extends Error {
  constructor(
    readonly exitCode: ExitCode,
    message: string,
  ) {
    super(message);
    this.name = 'CommandError';
  }
}
