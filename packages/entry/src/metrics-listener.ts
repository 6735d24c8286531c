import type {RequestListener} from 'node:http';
import type {PrometheusMetrics} from '@gentiandoor/plugin-metrics';

/** Path of the metrics endpoint. */
export const METRICS_PATH = '/metrics';
/** Port of the metrics endpoint. */
export const METRICS_PORT = 9_464;

/** Serves all metrics in text format. */
export function metricsListener(metrics: PrometheusMetrics): RequestListener {
  return (request, response) => {
    request.resume();
    if (request.url !== METRICS_PATH) {
      response.writeHead(404).end();
      return;
    }
    metrics.text().then(
      text =>
        response
          .writeHead(200, {'content-type': metrics.contentType})
          .end(text),
      (error: unknown) => response.writeHead(500).end(String(error)),
    );
  };
}
