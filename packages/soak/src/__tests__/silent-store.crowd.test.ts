import {describe, it} from 'node:test';
import {LogStream} from '@gentiandoor/coordinator';
import {StoreFault} from '@gentiandoor/coordinator/stand-ins';
import {QUEUE_HOST} from '@gentiandoor/platform/stand-ins';
import {
  CrowdedServer,
  QUEUE_PATH,
  assertServesBeside,
} from './crowd/crowded-daemon.js';

const CROWDED = {
  server: CrowdedServer.Callers,
  limits: {memoryMegabytes: 250, descriptors: 4_100},
  connections: 200,
};
const SUBMISSIONS_PER_CONNECTION = 100;
const SPEC_BYTES = 4_000;
/** The longest that a timer of Node.js takes, some 24 days. */
const DEADLINE_MILLISECONDS = 2 ** 31 - 1;

let submitted = 0;

function* submissions(): Iterable<Buffer> {
  const body = JSON.stringify({
    spec: 'x'.repeat(SPEC_BYTES),
    steps: [{count: 1, cpu: 100}],
  });
  for (let index = 0; index < SUBMISSIONS_PER_CONNECTION; index++) {
    const id = (++submitted).toString(16).padStart(16, 'e');
    yield Buffer.from(
      `POST ${QUEUE_PATH}${id} HTTP/1.1\r\nHost: ${QUEUE_HOST}\r\nX-Deadline-Ms: ${DEADLINE_MILLISECONDS}\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
    );
  }
}

// A deadline of the caller's choice kept requests in memory for as long as the store was silent.
describe('a daemon whose store takes no submissions', () => {
  it('stays within its memory with callers that would wait for days', context =>
    assertServesBeside(
      context,
      {...CROWDED, pieces: submissions},
      {
        before: ({storeConnection}) =>
          storeConnection.setFault(StoreFault.Silent, LogStream.Submissions),
        after: ({storeConnection}) => storeConnection.setFault(undefined),
      },
    ));
});
