import {request} from 'undici';
import {toError} from '@gentiandoor/kernel';
import {CommandError} from './command-error.js';
import {ExitCode} from './exit-codes.js';

/**
 * Longer than the 5 s for which a daemon waits for the log, so that its response with the
 * record's outcome arrives.
 */
const TIMEOUT_MILLISECONDS = 10_000;

/** HTTP client of a daemon's admin port. */
export class AdminClient {
  constructor(
    private readonly address: string,
    private readonly key: string,
  ) {}

  /** Returns the JSON response at `path`; throws `CommandError` on failure. */
  async get(path: string): Promise<unknown> {
    return this.call('GET', path);
  }

  /** Sends `body` as JSON and returns the response; throws `CommandError` on failure. */
  async post(path: string, body: unknown): Promise<unknown> {
    return this.call('POST', path, body);
  }

  private async call(
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<unknown> {
    const response = await this.send(method, path, body);
    const text = await response.body.text();
    if (response.statusCode === 200) return JSON.parse(text);
    throw new CommandError(
      exitCodeOf(response.statusCode),
      errorText(text, response.statusCode),
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

function exitCodeOf(status: number): ExitCode {
  if (status === 400 || status === 401) return ExitCode.BadInput;
  if (status === 409) return ExitCode.Refused;
  return status === 503 ? ExitCode.Unreachable : ExitCode.Failed;
}

function errorText(text: string, status: number): string {
  try {
    const {error, reason} = JSON.parse(text) as {
      error?: string;
      reason?: string;
    };
    if (error === undefined) return `the daemon answered ${status}`;
    return reason === undefined ? error : `refused (${reason}): ${error}`;
  } catch {
    return `the daemon answered ${status}: ${text}`;
  }
}
