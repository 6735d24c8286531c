import {describe, it} from 'node:test';
import {QUEUE_HOST} from '@gentiandoor/platform/stand-ins';
import {repeated} from './crowd/crowd.js';
import {
  COMPLETED,
  assertServesBeside,
  CrowdedServer,
  QUEUE_PATH,
} from './crowd/crowded-daemon.js';

const CROWDED = {
  limits: {memoryMegabytes: 250, descriptors: 600},
  connections: 700,
  state: COMPLETED,
};
const TRICKLED_BYTES = 25;
const TRICKLE_MILLISECONDS = 200;
const HALF_REQUEST_LINE = `GET ${QUEUE_PATH}`;

function submissionHead(headers: string): string {
  return `POST ${QUEUE_PATH}${'d'.repeat(16)} HTTP/1.1\r\nHost: ${QUEUE_HOST}\r\nContent-Length: 100000\r\n${headers}\r\n`;
}

function* trickledBody(): Iterable<Buffer> {
  yield Buffer.from(submissionHead(''));
  yield* repeated('x', TRICKLED_BYTES);
}

// Connections without a complete request took the descriptors for the store and the workers.
describe('a daemon with more connections of callers than descriptors', () => {
  for (const server of Object.values(CrowdedServer))
    it(`keeps descriptors free of half request lines at the server for ${server}`, context =>
      assertServesBeside(context, {
        ...CROWDED,
        server,
        pieces: () => repeated(HALF_REQUEST_LINE, 1),
      }));

  it('keeps descriptors free of bodies that trickle', context =>
    assertServesBeside(context, {
      ...CROWDED,
      server: CrowdedServer.Callers,
      pieces: trickledBody,
      pauseMilliseconds: TRICKLE_MILLISECONDS,
    }));

  it('keeps descriptors free of bodies that are announced and never sent', context =>
    assertServesBeside(context, {
      ...CROWDED,
      server: CrowdedServer.Callers,
      pieces: () => repeated(submissionHead('Expect: 100-continue\r\n'), 1),
    }));
});
