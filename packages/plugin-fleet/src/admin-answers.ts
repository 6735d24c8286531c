import {z} from 'zod';
import {
  PlatformLogError,
  type AdminAnswer,
  type AdminHandler,
  type AdminRequest,
} from '@gentiandoor/kernel';
import type {AcceptedBody, BadInputBody, RefusedBody} from './admin-shapes.js';
import type {
  PublishResult,
  FleetPublisher,
  UnnamedRecord,
} from './fleet-publisher.js';

const STATUS_OK = 200;
const STATUS_BAD_INPUT = 400;
const STATUS_CONFLICT = 409;
const STATUS_UNAVAILABLE = 503;

/** Thrown for input that no record can be made of. */
export class BadInput extends Error {}

/** A handler that reads. */
export function reading(
  answer: (query: AdminRequest['query']) => unknown,
): AdminHandler {
  return async request => {
    try {
      return {status: STATUS_OK, body: answer(request.query)};
    } catch (error) {
      return badInput(error);
    }
  };
}

/** A handler that checks a body, makes a record of it and says what became of the record. */
export function writing<Schema extends z.ZodType<{requestId?: string}>>(
  publisher: FleetPublisher,
  schema: Schema,
  toRecord: (body: z.output<Schema>) => UnnamedRecord,
): AdminHandler {
  return async request => {
    const parsed = schema.safeParse(request.body);
    if (!parsed.success)
      return badInput(new BadInput(z.prettifyError(parsed.error)));
    try {
      const record = toRecord(parsed.data);
      const {requestId} = parsed.data;
      return answerOf(await publisher.publish(record, requestId));
    } catch (error) {
      if (error instanceof PlatformLogError) return unavailable(error);
      return badInput(error);
    }
  };
}

/** What an operator is told of a judged record. */
export function answerOf(result: PublishResult): AdminAnswer {
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

function unavailable(error: PlatformLogError): AdminAnswer {
  const body: RefusedBody = {
    accepted: false,
    reason: 'log_unavailable',
    error: `${error.message}; it may still take effect: ask again with the same requestId`,
  };
  return {status: STATUS_UNAVAILABLE, body};
}

function badInput(error: unknown): AdminAnswer {
  if (!(error instanceof BadInput)) throw error;
  const body: BadInputBody = {error: error.message};
  return {status: STATUS_BAD_INPUT, body};
}
