import ModernError from 'modern-errors';
import {ErrorKind, RequestExecution, ERROR_RESPONSES} from './error-kinds.js';

/** Base of all errors of this project. */
export const BaseError = ModernError.subclass('BaseError');

/** Wrong settings; the program exits with 2. */
export const SettingsError = BaseError.subclass('SettingsError');

/** A bundle that cannot be accepted. */
export const BundleError = BaseError.subclass('BundleError');

/** Which part of the platform's log failed, and what is known of the effect. */
export enum PlatformLogFailure {
  /** The log did not take the call; nothing was appended. */
  Refused = 'refused',
  /** No answer came; an append may or may not have taken effect. */
  NoResponse = 'no_answer',
  /** The offset asked for is no longer kept. */
  Gap = 'gap',
}

/** A failed call to the platform's log. */
export class PlatformLogError extends Error {
  constructor(
    readonly failure: PlatformLogFailure,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
    this.name = 'PlatformLogError';
  }
}

/** A request that ends without a target's whole answer. */
export class RequestError extends Error {
  /** Whether the request was run; the table's entry unless known better. */
  readonly run: RequestExecution;

  constructor(
    readonly kind: ErrorKind,
    detail: string,
    options: {
      run?: RequestExecution;
      retryAfterSeconds?: number;
      cause?: unknown;
    } = {},
  ) {
    super(detail, {cause: options.cause});
    this.name = 'RequestError';
    this.run = options.run ?? ERROR_RESPONSES[kind].run;
    this.retryAfterSeconds =
      options.retryAfterSeconds ?? ERROR_RESPONSES[kind].retryAfterSeconds;
  }

  /** Seconds for `Retry-After`; undefined where a retry does not help. */
  readonly retryAfterSeconds: number | undefined;
}

/** Makes an `Error` of whatever was thrown. */
export function toError(thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error(String(thrown));
}
