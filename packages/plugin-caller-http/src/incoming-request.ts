import type {IncomingMessage} from 'node:http';
import {
  ErrorKind,
  RequestError,
  resolveDependencies,
} from '@gentiandoor/kernel';
import {
  KeyRule,
  type ServiceEntry,
  type SharedState,
} from '@gentiandoor/shared-state';
import type {CallerDirectory, AuthenticatedCaller} from './caller-directory.js';
import type {CallerHttpOptions} from './caller-http-options.js';
import {
  addForwardingHeaders,
  endToEndHeaders,
  headerValues,
} from './headers.js';
import type {ServiceRouter} from './service-router.js';

const IDEMPOTENT_METHODS = new Set([
  'GET',
  'HEAD',
  'OPTIONS',
  'PUT',
  'DELETE',
  'TRACE',
]);
const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x2b\x2d-\x7e]{1,200}$/;
/** Request header that tells the target which caller of the bundle sent the request. */
const CALLER_HEADER = 'gentiandoor-caller';
const DOT_SEGMENT = /(^|\/)(\.|%2e){1,2}(\/|$)/i;
const ABSOLUTE_FORM_PREFIX = /^https?:\/\/[^/?#]*/i;

/** A request whose head has been checked. */
export interface IncomingRequest {
  readonly service: string;
  readonly serviceEntry: ServiceEntry;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values, as sent to the target. */
  readonly headers: string[];
  readonly idempotent: boolean;
  readonly caller: AuthenticatedCaller | undefined;
  /** Undefined when the request has none, and for idempotent methods, which need none. */
  readonly idempotencyKey: string | undefined;
}

/** Services that `HeadCheck` depends on. */
export interface HeadCheckDependencies {
  readonly callerHttpOptions: CallerHttpOptions;
  readonly callerDirectory: CallerDirectory;
  readonly serviceRouter: Pick<ServiceRouter, 'service'>;
  readonly sharedState: SharedState;
}

/** Checks the head of a request before any of its body is read. */
export class HeadCheck {
  private readonly dependencies: HeadCheckDependencies;

  constructor(dependencies: HeadCheckDependencies) {
    this.dependencies = resolveDependencies(
      dependencies,
      'callerHttpOptions',
      'callerDirectory',
      'serviceRouter',
      'sharedState',
    );
  }

  /** Returns the checked request; throws a `RequestError` that refuses it. */
  check(request: IncomingMessage): IncomingRequest {
    checkHostAndUpgrade(request);
    this.checkContentLength(request);
    const method = request.method ?? 'GET';
    const path = parsePath(request.url ?? '/');
    const service = serviceName(path);
    const serviceEntry = this.serviceEntryOf(service);
    const caller = this.authenticateCaller(request, service, serviceEntry);
    const idempotent = IDEMPOTENT_METHODS.has(method);
    return {
      service,
      serviceEntry,
      method,
      path,
      headers: outgoingHeaders(request, caller),
      idempotent,
      caller,
      idempotencyKey: idempotent
        ? undefined
        : parseIdempotencyKey(request, serviceEntry),
    };
  }

  private checkContentLength(request: IncomingMessage): void {
    const limit = this.dependencies.callerHttpOptions.body_bytes;
    const length = request.headers['content-length'];
    if (length !== undefined && Number(length) > limit) {
      throw new RequestError(
        ErrorKind.BodyTooLarge,
        `the content-length is ${length} bytes, the maximum is ${limit}`,
      );
    }
  }

  private serviceEntryOf(service: string): ServiceEntry {
    const {inForce} = this.dependencies.sharedState.state;
    // The name comes from the caller: `constructor` must not find an inherited property.
    if (inForce && !Object.hasOwn(inForce.bundle.services, service)) {
      throw new RequestError(
        ErrorKind.UnknownService,
        `the bundle in force has no service "${service}"`,
      );
    }
    return this.dependencies.serviceRouter.service(service);
  }

  private authenticateCaller(
    request: IncomingMessage,
    service: string,
    entry: ServiceEntry,
  ): AuthenticatedCaller | undefined {
    const caller = this.dependencies.callerDirectory.findByAuthorization(
      request.headers.authorization,
    );
    if (caller || !entry.callersOnly) return caller;
    throw new RequestError(
      ErrorKind.UnknownCaller,
      `${service} serves only callers named in the bundle`,
    );
  }
}

/** Rejects what the parser accepts although two readers could interpret it differently. */
function checkHostAndUpgrade(request: IncomingMessage): void {
  const hosts = headerValues(request.rawHeaders, 'host');
  if (hosts.length > 1) throw badRequest('more than one Host header');
  if (hosts.length === 0 && request.httpVersion === '1.1')
    throw badRequest('no Host header');
  if (request.headers.upgrade !== undefined && !offersOnlyH2c(request)) {
    throw new RequestError(
      ErrorKind.UpgradeRefused,
      `no upgrade to ${request.headers.upgrade}`,
    );
  }
}

/** Some clients offer HTTP/2 with every request and continue without it: they are not refused. */
function offersOnlyH2c(request: IncomingMessage): boolean {
  return request.headers.upgrade?.trim().toLowerCase() === 'h2c';
}

function parsePath(url: string): string {
  const path = url.replace(ABSOLUTE_FORM_PREFIX, '');
  if (path === '') return '/';
  if (path.startsWith('?')) return `/${path}`;
  if (!path.startsWith('/')) throw badRequest('the path must start with /');
  if (DOT_SEGMENT.test(path.split('?', 1)[0])) {
    // A target that resolves them could serve a path that this daemon took for another service's.
    throw badRequest('the path must not have . or .. segments');
  }
  return path;
}

/** Returns the service's name, which is the first segment of the path. */
function serviceName(path: string): string {
  return /^\/([^/?#]*)/.exec(path)?.[1] ?? '';
}

function outgoingHeaders(
  request: IncomingMessage,
  caller: AuthenticatedCaller | undefined,
): string[] {
  const headers = endToEndHeaders(request.rawHeaders);
  addForwardingHeaders(headers, request.socket.remoteAddress);
  if (!caller) return headers;
  // The key is meant for this daemon; a target needs only the caller's name.
  const kept: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index].toLowerCase() === 'authorization') continue;
    kept.push(headers[index], headers[index + 1]);
  }
  kept.push(CALLER_HEADER, caller.name);
  return kept;
}

function parseIdempotencyKey(
  request: IncomingMessage,
  entry: ServiceEntry,
): string | undefined {
  const values = headerValues(request.rawHeaders, IDEMPOTENCY_KEY_HEADER);
  if (values.length === 0) {
    if (entry.keyRule !== KeyRule.Required) return undefined;
    throw new RequestError(ErrorKind.KeyRequired, 'no Idempotency-Key header');
  }
  if (values.length > 1)
    throw new RequestError(
      ErrorKind.KeyInvalid,
      'more than one Idempotency-Key header',
    );
  if (!IDEMPOTENCY_KEY_PATTERN.test(values[0])) {
    throw new RequestError(
      ErrorKind.KeyInvalid,
      'expected 1 to 200 visible ASCII characters without a comma',
    );
  }
  return values[0];
}

function badRequest(detail: string): RequestError {
  return new RequestError(ErrorKind.BadRequest, detail);
}

/** Returns whether the request is to be run at most once under its key. */
export function isKeyed(request: IncomingMessage): boolean {
  if (IDEMPOTENT_METHODS.has(request.method ?? '')) return false;
  return request.headers[IDEMPOTENCY_KEY_HEADER] !== undefined;
}
