import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {RunEnd} from '@gentiandoor/jobs';
import {QUEUE_HOST, StandInPlatform} from '@gentiandoor/platform/stand-ins';
import {eventually} from './eventually.js';
import {RunningDaemon} from './running-daemon.js';

const CAPACITY = {
  processorMillicores: 8_000,
  memoryMegabytes: 64_000,
  accelerators: 0,
};
const DEPTH = 15_000;
const DEEP_LIST = '['.repeat(DEPTH) + ']'.repeat(DEPTH);
const DEEP_OBJECT = '{"a":'.repeat(DEPTH) + '1' + '}'.repeat(DEPTH);
const NO_NUMBERS = [
  '1e999',
  '1e308',
  `1${'0'.repeat(400)}`,
  '9007199254740993',
  '-5',
  '"12"',
  '"NaN"',
  '{"valueOf":1}',
  DEEP_LIST,
  DEEP_OBJECT,
];
const TARGETS = [
  'http://[::1',
  'http://xn--i\u00f1valid.com/',
  'a:b',
  '?',
  '*',
  '//[',
  '/previews/%',
  '/previews/0123456789ABCDEF0',
  '/previews/__proto__',
  '/previews/0123456789abcde%66',
];
const HOSTS = ['', '[', '[::1]:80', 'a,b', `${'x'.repeat(5_000)}`, '__proto__'];

/** Names a text in a test title. */
function short(text: string): string {
  return text.length > 30 ? `${text.slice(0, 12)}... (${text.length})` : text;
}

describe('a request that no caller should send', () => {
  const platform = new StandInPlatform({
    services: ['previews'],
    standbyService: 'spare',
    workersPerService: 1,
    capacity: CAPACITY,
    behaviourOf: () => ({
      durationMilliseconds: 100,
      end: RunEnd.Done,
      resources: {...CAPACITY, processorMillicores: 1_000},
    }),
  });
  let daemon: RunningDaemon;
  let jobs = 0;

  before(async () => {
    await platform.start();
    daemon = await RunningDaemon.start(platform);
    await eventually(
      () => send('GET', '/previews/'),
      status => status === 200,
    );
  });

  after(() => daemon.stop());

  /** Sends a request as written; resolves to the status of the response. */
  async function send(
    method: string,
    target: string,
    body = '',
    host = QUEUE_HOST,
  ): Promise<number> {
    const socket = connect(daemon.callerPort, '127.0.0.1');
    const head = [
      `${method} ${target} HTTP/1.1`,
      `Host: ${host}`,
      `Content-Length: ${Buffer.byteLength(body, 'latin1')}`,
      'Connection: close',
    ].join('\r\n');
    socket.write(Buffer.from(`${head}\r\n\r\n${body}`, 'latin1'));
    let received = '';
    socket.on('data', (data: Buffer) => {
      received += data.toString('latin1');
    });
    await once(socket, 'close');
    return Number(/^HTTP\/1.1 (\d+)/.exec(received)?.[1]);
  }

  function submit(body: string): Promise<number> {
    const id = (++jobs).toString(16).padStart(16, '0');
    return send('POST', `/previews/${id}`, body);
  }

  function assertRefused(status: number): void {
    assert.ok(status >= 400 && status < 500, `${status}`);
  }

  async function assertServes(): Promise<void> {
    const body = '{"spec":"text","steps":[{"cpu":1000}]}';
    assert.equal(await submit(body), 200);
  }

  // A target that is no URL was answered as a failure of the daemon.
  describe('because of its target or host', () => {
    for (const method of ['GET', 'POST', 'DELETE'])
      for (const target of TARGETS)
        it(`is refused: ${method} ${target}`, async () => {
          assertRefused(await send(method, target, '{}'));
          await assertServes();
        });

    for (const host of HOSTS)
      it(`is refused: ${short(host)}`, async () => {
        assertRefused(await send('GET', '/previews/', '', host));
        await assertServes();
      });
  });

  describe('because of its body', () => {
    const fields = ['count', 'cpu', 'mem_mb', 'estimated_ms', 'may_miss'];
    for (const value of NO_NUMBERS)
      it(`is refused with a number like ${short(value)}`, async () => {
        for (const field of fields)
          assertRefused(await submit(`{"steps":[{"${field}":${value}}]}`));
        assertRefused(await submit(`{"steps":[{}],"repeat_count":${value}}`));
        assertRefused(
          await submit(
            `{"steps":[{}],"repeat_count":2,"start_at_ms":1,"interval_ms":${value}}`,
          ),
        );
        await assertServes();
      });

    const bodies = {
      'is empty': '',
      'is deep': DEEP_LIST,
      'is no object': 'null',
      'is not UTF-8': '{"spec":"\xff\xfe","steps":[{}]}',
      'has a step after itself': '{"steps":[{"after":[0]}]}',
      'has steps in a circle': '{"steps":[{"after":[1]},{"after":[0]}]}',
      'has deep predecessors': `{"steps":[{},{"after":${DEEP_LIST}}]}`,
      'has too many steps': `{"steps":[${Array(30_000).fill('{}').join()}]}`,
      'has half an occurrence':
        '{"steps":[{}],"repeat_count":0.5,"start_at_ms":1}',
      'has no time of its occurrences': '{"steps":[{}],"repeat_count":2}',
      'has occurrences in 300,000 years':
        '{"steps":[{}],"repeat_count":2,"start_at_ms":9007199254740991,"interval_ms":9007199254740991}',
    };
    for (const [what, body] of Object.entries(bodies))
      it(`is refused if it ${what}`, async () => {
        assertRefused(await submit(body));
        await assertServes();
      });
  });
});
