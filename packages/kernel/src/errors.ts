import ModernError from 'modern-errors';
import {ErrorKind, RequestExecution, ERROR_RESPONSES} from './error-kinds.js';

/** Base class of this project's errors. */
export const BaseError = ModernError.subclass('BaseError');

/** Invalid settings; the program exits with code 2. */
export const SettingsError = BaseError.subclass('SettingsError');

/** A bundle that is invalid and cannot be accepted. */
export const BundleError = BaseError.subclass('BundleError');

/** How a call to the platform's log failed, and whether it may have taken effect. */
export enum PlatformLogFailure {
  /** The log rejected the call; nothing was appended. */
  Refused = 'refused',
  /** No response arrived; an append may or may not have taken effect. */
  NoResponse = 'no_answer',
  /** The requested offset is no longer retained. */
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

/** A request that ends without a complete response from a target. */
export class RequestError extends Error {
  /** Whether the request was run; defaults to the entry in `ERROR_RESPONSES`. */
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

/** Converts a thrown value to an `Error`. */
export function toError(thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error(String(thrown));
}
