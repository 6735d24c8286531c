import {request} from 'undici';
import {toError} from '@gentiandoor/kernel';
import {CommandError} from './command-error.js';
import {ExitCode} from './exit-codes.js';

const TIMEOUT_MILLISECONDS = 5000;

/** Asks a daemon's admin port. */
export class AdminClient {
  constructor(
    private readonly address: string,
    private readonly key: string,
  ) {}

  /** The JSON answer at `path`; throws `CommandError`. */
  async get(path: string): Promise<unknown> {
    return this.call('GET', path);
  }

  private async call(
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<unknown> {
    const answer = await this.send(method, path, body);
    const text = await answer.body.text();
    if (answer.statusCode === 200) return JSON.parse(text);
    throw new CommandError(
      ExitCode.Failed,
      `${this.address}${path} answered ${answer.statusCode}: ${text}`,
    );
  }

  private async send(method: 'GET' | 'POST', path: string, body?: unknown) {
    try {
      return await request(`http://${this.address}${path}`, {
        method,
        headers: {
          authorization: `Bearer ${this.key}`,
          'content-type': 'application/json',
        },
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
      });
    } catch (error) {
      throw new CommandError(
        ExitCode.Unreachable,
        `cannot reach the daemon at ${this.address}: ${toError(error).message}; check --admin and that the daemon runs`,
      );
    }
  }
}
