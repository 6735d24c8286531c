import type {RequestListener} from 'node:http';
import type {DaemonReadiness} from '@gentiandoor/coordinator';

/** Answers the load balancer's readiness probe: 200 when the daemon is ready, else 503. */
export function readinessListener(readiness: DaemonReadiness): RequestListener {
  return (request, response) => {
    request.resume();
    response.writeHead(readiness.isReady ? 200 : 503).end();
  };
}
