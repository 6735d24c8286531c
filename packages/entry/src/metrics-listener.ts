import type {PrometheusMetrics} from '@gentiandoor/plugin-metrics';
import type {RequestHandler} from './caller-limits/server-guard.js';

/** Path of the metrics endpoint. */
export const METRICS_PATH = '/metrics';
/** Port of the metrics endpoint. */
export const METRICS_PORT = 9_464;

/** Serves all metrics in text format. */
export function metricsListener(metrics: PrometheusMetrics): RequestHandler {
  return (request, response) => {
    request.resume();
    if (request.url !== METRICS_PATH) {
      response.writeHead(404).end();
      return;
    }
    return metrics.text().then(
      text =>
        void response
          .writeHead(200, {'content-type': metrics.contentType})
          .end(text),
      (error: unknown) => void response.writeHead(500).end(String(error)),
    );
  };
}
