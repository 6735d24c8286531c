import {describe, it} from 'node:test';
import {QUEUE_HOST} from '@gentiandoor/platform/stand-ins';
import {
  assertServesBeside,
  CrowdedServer,
  QUEUE_PATH,
} from './crowd/crowded-daemon.js';

const CROWDED = {
  server: CrowdedServer.Callers,
  limits: {memoryMegabytes: 250, descriptors: 4_100},
};
const BODY_BYTES = 260_000;

/** Pieces of a chunked body that lacks its last chunk. */
function* unfinishedBody(chunkBytes: number): Iterable<Buffer> {
  yield Buffer.from(
    `POST ${QUEUE_PATH}${'c'.repeat(16)} HTTP/1.1\r\nHost: ${QUEUE_HOST}\r\nTransfer-Encoding: chunked\r\n\r\n`,
  );
  const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
  const bytes = Buffer.from(chunk);
  for (let sent = 0; sent < BODY_BYTES; sent += chunkBytes) yield bytes;
}

// Many bodies that stop short of their end and stay open made a process run out of memory.
describe('a daemon whose callers leave chunked bodies unfinished', () => {
  it('stays within its memory with large chunks', context =>
    assertServesBeside(context, {
      ...CROWDED,
      connections: 800,
      pieces: () => unfinishedBody(65_000),
    }));

  it('stays within its memory with chunks of one byte', context =>
    assertServesBeside(context, {
      ...CROWDED,
      connections: 25,
      pieces: () => unfinishedBody(1),
    }));
});
