import {describe, it} from 'node:test';
import {QUEUE_HOST} from '@gentiandoor/platform/stand-ins';
import {repeated} from './crowd/crowd.js';
import {
  assertServesBeside,
  CrowdedServer,
  QUEUE_PATH,
} from './crowd/crowded-daemon.js';

const CROWDED = {
  limits: {memoryMegabytes: 250, descriptors: 4_100},
  connections: 20,
};

function requestAhead(path: string): string {
  return `GET ${path} HTTP/1.1\r\nHost: ${QUEUE_HOST}\r\n\r\n`;
}

// The servers for metrics and readiness held every answer that a client did not read.
describe('a daemon whose other servers are asked ahead', () => {
  it('lives through unread metrics', context =>
    assertServesBeside(context, {
      ...CROWDED,
      server: CrowdedServer.Metrics,
      pieces: () => repeated(requestAhead('/metrics'), 20_000),
    }));

  it('lives through unread readiness', context =>
    assertServesBeside(context, {
      ...CROWDED,
      server: CrowdedServer.Readiness,
      pieces: () => repeated(requestAhead('/ready'), 20_000),
    }));

  it('lives through answers to callers that are read slowly', context =>
    assertServesBeside(context, {
      ...CROWDED,
      server: CrowdedServer.Callers,
      pieces: () => repeated(requestAhead(QUEUE_PATH).repeat(1_000), 20),
      pauseMilliseconds: 200,
      bytesReadPerPause: 100,
    }));
});
