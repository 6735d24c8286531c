import {z} from 'zod';
import {
  PlatformLogError,
  type AdminResponse,
  type AdminHandler,
  type AdminRequest,
} from '@gentiandoor/kernel';
import type {AcceptedBody, BadInputBody, RefusedBody} from './admin-shapes.js';
import type {
  PublishResult,
  FleetPublisher,
  RecordWithoutId,
} from './fleet-publisher.js';

const STATUS_OK = 200;
const STATUS_BAD_INPUT = 400;
const STATUS_CONFLICT = 409;
const STATUS_UNAVAILABLE = 503;

/** Thrown for input from which no record can be built. */
export class BadInputError extends Error {}

/** Creates a handler that responds with what it reads from the query. */
export function readHandler(
  read: (query: AdminRequest['query']) => unknown,
): AdminHandler {
  return async request => {
    try {
      return {status: STATUS_OK, body: read(request.query)};
    } catch (error) {
      return badInputResponse(error);
    }
  };
}

/**
 * Creates a handler that validates a body, publishes it as a record and responds with its
 * outcome.
 */
export function recordHandler<Schema extends z.ZodType<{requestId?: string}>>(
  publisher: FleetPublisher,
  schema: Schema,
  toRecord: (body: z.output<Schema>) => RecordWithoutId,
): AdminHandler {
  return async request => {
    const parsed = schema.safeParse(request.body);
    if (!parsed.success)
      return badInputResponse(new BadInputError(z.prettifyError(parsed.error)));
    try {
      const record = toRecord(parsed.data);
      const {requestId} = parsed.data;
      return toAdminResponse(await publisher.publish(record, requestId));
    } catch (error) {
      if (error instanceof PlatformLogError) return unavailableResponse(error);
      return badInputResponse(error);
    }
  };
}

/** Converts the outcome of a record to the response for the operator. */
export function toAdminResponse(result: PublishResult): AdminResponse {
  const {offset, rejection} = result;
  if (!rejection) {
    const body: AcceptedBody = {accepted: true, offset};
    return {status: STATUS_OK, body};
  }
  const body: RefusedBody = {
    accepted: false,
    reason: rejection.reason,
    error: rejection.detail,
  };
  return {status: STATUS_CONFLICT, body};
}

function unavailableResponse(error: PlatformLogError): AdminResponse {
  const body: RefusedBody = {
    accepted: false,
    reason: 'log_unavailable',
    error: `${error.message}; it may still take effect: send the request again with the same requestId`,
  };
  return {status: STATUS_UNAVAILABLE, body};
}

function badInputResponse(error: unknown): AdminResponse {
  if (!(error instanceof BadInputError)) throw error;
  const body: BadInputBody = {error: error.message};
  return {status: STATUS_BAD_INPUT, body};
}
