import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {MetricName} from '@gentiandoor/kernel';
import {PrometheusMetrics} from '../prometheus-metrics.js';

describe('PrometheusMetrics', () => {
  it('renders counters with their reason label and timings as histograms', async () => {
    const metrics = new PrometheusMetrics();
    metrics.increment(MetricName.RunRefusals, {reason: 'no_room'}, 2);
    metrics.timing(MetricName.JobIntakeDuration, 12);
    const text = await metrics.text();
    assert.match(text, /gentiandoor_run_refusals\{reason="no_room"\} 2/);
    assert.match(text, /gentiandoor_job_intake_duration_bucket\{le="20"\} 1/);
  });
});
