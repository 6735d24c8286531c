import {Agent, type Dispatcher} from 'undici';
import {toError} from '@gentiandoor/kernel';
import type {CallerOutcome} from './guarantee-checker.js';

/** A request that a caller sends. */
export interface CallerRequest {
  /** Unique id, the last segment of the path. */
  readonly id: string;
  readonly service: string;
  readonly method: 'GET' | 'POST';
  readonly body?: string;
  readonly idempotencyKey?: string;
  /** Bearer key of an authenticated caller. */
  readonly callerKey?: string;
}

const CONNECTIONS = 64;
const LOST_RESPONSE: Pick<
  CallerOutcome,
  'status' | 'reason' | 'run' | 'isComplete' | 'mixed'
> = {
  status: 0,
  reason: 'cut',
  run: '',
  isComplete: false,
  mixed: false,
};

/** Sends requests over keep-alive connections and returns their outcomes. */
export class Caller {
  private readonly agent = new Agent({connections: CONNECTIONS, pipelining: 1});

  async send(address: string, request: CallerRequest): Promise<CallerOutcome> {
    const {id, service} = request;
    const idempotent = request.method === 'GET';
    try {
      const response = await this.agent.request({
        origin: `http://${address}`,
        path: `/${service}/${id}`,
        method: request.method,
        headers: requestHeaders(request),
        body: request.body,
      });
      return {
        id,
        service,
        idempotent,
        ...(await parseOutcome(response, request)),
      };
    } catch (error) {
      void toError(error);
      return {id, service, idempotent, ...LOST_RESPONSE};
    }
  }

  close(): Promise<void> {
    return this.agent.destroy();
  }
}

async function parseOutcome(
  response: Dispatcher.ResponseData,
  request: CallerRequest,
) {
  const text = await response.body.text();
  const reason = String(response.headers['gentiandoor-reason'] ?? '');
  const run = String(response.headers['gentiandoor-run'] ?? '');
  const path = reason === '' ? parsePath(text) : undefined;
  const isOwnResponse = path === `/${request.service}/${request.id}`;
  return {
    status: response.statusCode,
    reason,
    run,
    isComplete: isOwnResponse,
    mixed: path !== undefined && !isOwnResponse,
  };
}

function parsePath(text: string): string | undefined {
  try {
    return (JSON.parse(text) as {path?: string}).path;
  } catch {
    return undefined;
  }
}

function requestHeaders(request: CallerRequest): Record<string, string> {
  const headers: Record<string, string> = {};
  if (request.idempotencyKey)
    headers['idempotency-key'] = request.idempotencyKey;
  if (request.callerKey) headers.authorization = `Bearer ${request.callerKey}`;
  return headers;
}
