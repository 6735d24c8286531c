import {Agent, type Dispatcher} from 'undici';
import {toError} from '@gentiandoor/kernel';
import type {CallerOutcome} from './guarantee-checker.js';

/** A request that a caller sends. */
export interface CallerRequest {
  /** Unique; the path ends with it. */
  readonly id: string;
  readonly service: string;
  readonly method: 'GET' | 'POST';
  readonly body?: string;
  readonly idempotencyKey?: string;
  /** Key of an authenticated caller. */
  readonly callerKey?: string;
}

const CONNECTIONS = 64;
const CUT: Pick<
  CallerOutcome,
  'status' | 'reason' | 'run' | 'isComplete' | 'mixed'
> = {
  status: 0,
  reason: 'cut',
  run: '',
  isComplete: false,
  mixed: false,
};

/** Sends requests over keep-alive connections and says what it got. */
export class Caller {
  private readonly agent = new Agent({connections: CONNECTIONS, pipelining: 1});

  async send(address: string, request: CallerRequest): Promise<CallerOutcome> {
    const {id, service} = request;
    const idempotent = request.method === 'GET';
    try {
      const answer = await this.agent.request({
        origin: `http://${address}`,
        path: `/${service}/${id}`,
        method: request.method,
        headers: headersOf(request),
        body: request.body,
      });
      return {id, service, idempotent, ...(await judge(answer, request))};
    } catch (error) {
      void toError(error);
      return {id, service, idempotent, ...CUT};
    }
  }

  close(): Promise<void> {
    return this.agent.destroy();
  }
}

async function judge(answer: Dispatcher.ResponseData, request: CallerRequest) {
  const text = await answer.body.text();
  const reason = String(answer.headers['gentiandoor-reason'] ?? '');
  const run = String(answer.headers['gentiandoor-run'] ?? '');
  const path = reason === '' ? pathOf(text) : undefined;
  const own = path === `/${request.service}/${request.id}`;
  return {
    status: answer.statusCode,
    reason,
    run,
    isComplete: own,
    mixed: path !== undefined && !own,
  };
}

function pathOf(text: string): string | undefined {
  try {
    return (JSON.parse(text) as {path?: string}).path;
  } catch {
    return undefined;
  }
}

function headersOf(request: CallerRequest): Record<string, string> {
  const headers: Record<string, string> = {};
  if (request.idempotencyKey)
    headers['idempotency-key'] = request.idempotencyKey;
  if (request.callerKey) headers.authorization = `Bearer ${request.callerKey}`;
  return headers;
}
