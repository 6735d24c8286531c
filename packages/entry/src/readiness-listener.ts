import type {DaemonReadiness} from '@gentiandoor/coordinator';
import type {RequestHandler} from './caller-limits/server-guard.js';

/** Answers the load balancer's readiness probe: 200 when the daemon is ready, else 503. */
export function readinessListener(readiness: DaemonReadiness): RequestHandler {
  return (request, response) => {
    request.resume();
    response.writeHead(readiness.isReady ? 200 : 503).end();
  };
}
