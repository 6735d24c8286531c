import {describe, it} from 'node:test';
import {QUEUE_HOST} from '@gentiandoor/platform/stand-ins';
import {repeated} from './crowd/crowd.js';
import {
  assertServesBeside,
  CrowdedServer,
  QUEUE_PATH,
} from './crowd/crowded-daemon.js';

const CROWDED = {
  server: CrowdedServer.Callers,
  limits: {memoryMegabytes: 250, descriptors: 4_100},
  connections: 20,
};
const HOST_HEADER = `Host: ${QUEUE_HOST}\r\n`;
const SPEC_BYTES = 4_000;

function requestAhead(method: string, path: string, headers: string): string {
  return `${method} ${path} HTTP/1.1\r\n${headers}\r\n`;
}

function* submissions(count: number): Iterable<Buffer> {
  const body = JSON.stringify({
    spec: 'x'.repeat(SPEC_BYTES),
    steps: [{count: 1, cpu: 100}],
  });
  const headers = `${HOST_HEADER}Content-Length: ${body.length}\r\n`;
  for (let index = 0; index < count; index++) {
    const id = index.toString(16).padStart(16, 'a');
    yield Buffer.from(
      `${requestAhead('POST', `${QUEUE_PATH}${id}`, headers)}${body}`,
    );
  }
}

// Requests sent ahead on a connection whose answers nobody reads made a process run out of memory.
describe('a daemon whose callers send requests ahead and read no answer', () => {
  it('lives through questions for the number of pending jobs', context =>
    assertServesBeside(context, {
      ...CROWDED,
      pieces: () =>
        repeated(requestAhead('GET', QUEUE_PATH, HOST_HEADER), 20_000),
    }));

  it('lives through requests without a host', context =>
    assertServesBeside(context, {
      ...CROWDED,
      pieces: () => repeated(requestAhead('GET', QUEUE_PATH, ''), 20_000),
    }));

  it('lives through questions for jobs that do not exist', context =>
    assertServesBeside(context, {
      ...CROWDED,
      pieces: () =>
        repeated(
          requestAhead('GET', `${QUEUE_PATH}${'b'.repeat(16)}`, HOST_HEADER),
          10_000,
        ),
    }));

  it('lives through submissions', context =>
    assertServesBeside(context, {
      ...CROWDED,
      pieces: () => submissions(2_000),
    }));
});
