import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';
import {request} from 'undici';
import {ERROR_RESPONSES, ErrorKind, RequestError} from '@gentiandoor/kernel';
import {RawTarget} from '@gentiandoor/stand-ins';
import {CallerEdge} from './caller-edge.js';

describe('error response of each error kind', () => {
  const target = new RawTarget();
  let thrown: Error;
  let edge: CallerEdge;

  before(async () => {
    await target.start();
    edge = new CallerEdge({
      targets: [target.address],
      onceOnly: {begin: () => Promise.reject(thrown)},
    });
    await edge.start();
  });
  after(async () => {
    await edge.stop();
    await target.stop();
  });

  async function sendRequest() {
    const {statusCode, headers, body} = await request(
      `http://${edge.address}/desk/x`,
      {method: 'POST', headers: {'idempotency-key': 'k'}},
    );
    await body.dump();
    return {
      status: statusCode,
      run: headers['gentiandoor-run'],
      reason: headers['gentiandoor-reason'],
      retryAfter: headers['retry-after'],
    };
  }

  for (const kind of Object.values(ErrorKind)) {
    it(`${kind} has the status, run header and retry-after of the table`, async () => {
      thrown = new RequestError(kind, 'refused');
      const {status, run, retryAfterSeconds} = ERROR_RESPONSES[kind];
      assert.deepEqual(await sendRequest(), {
        status,
        run,
        reason: kind,
        retryAfter: retryAfterSeconds?.toString(),
      });
    });
  }

  it('an unexpected error in the daemon is reported as internal', async () => {
    thrown = new Error('a fault');
    const {status, run, reason} = await sendRequest();
    assert.deepEqual([status, run, reason], [500, 'unknown', 'internal']);
  });
});
