import assert from 'node:assert/strict';
import dgram from 'node:dgram';
import {once} from 'node:events';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {MetricName} from '@gentiandoor/kernel';
import {StatsdMetrics} from '../statsd-metrics.js';

describe('StatsdMetrics', () => {
  let collector: dgram.Socket;

  beforeEach(async () => {
    collector = dgram.createSocket('udp4');
    collector.bind(0, '127.0.0.1');
    await once(collector, 'listening');
  });
  afterEach(() => {
    collector.close();
  });

  function build(): StatsdMetrics {
    const {port} = collector.address();
    return new StatsdMetrics({statsd_address: `127.0.0.1:${port}`});
  }

  it('sends a counter with its tag on stop and keeps it in memory', async () => {
    const metrics = build();
    await metrics.start();
    const message = once(collector, 'message') as Promise<[Buffer]>;
    metrics.increment(MetricName.Refusals, {reason: 'queue_full'}, 2);
    await metrics.stop();
    const [datagram] = await message;
    assert.match(
      datagram.toString(),
      /^gentiandoor\.refusals:2\|c\|#reason:queue_full/,
    );
    const kept = metrics.memory.value(MetricName.Refusals, {
      reason: 'queue_full',
    });
    assert.equal(kept, 2);
  });

  it('counts only in memory without an address', async () => {
    const metrics = new StatsdMetrics({});
    await metrics.start();
    metrics.increment(MetricName.Retries, {reason: 'target_unreachable'});
    await metrics.stop();
    const tags = {reason: 'target_unreachable'};
    assert.equal(metrics.memory.value(MetricName.Retries, tags), 1);
  });

  it('keeps counting if the address is not listening', async () => {
    const metrics = new StatsdMetrics({statsd_address: '127.0.0.1:9'});
    await metrics.start();
    metrics.increment(MetricName.Requests, {service: 'desk'});
    await metrics.stop();
    assert.equal(
      metrics.memory.value(MetricName.Requests, {service: 'desk'}),
      1,
    );
  });
});
