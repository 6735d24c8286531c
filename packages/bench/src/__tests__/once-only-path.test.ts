import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';
import {request} from 'undici';
import type {PeerLinks} from '@gentiandoor/shared-state';
import {Deployment} from '../deployment.js';
import {oneRackBundle} from '../one-rack-bundle.js';

describe('keyed requests through daemons and targets', () => {
  const deployment = new Deployment();

  before(async () => {
    await deployment.startPlatform();
    await deployment.startRack({
      name: 'hall-a-r1',
      dataCentre: 'hall-a',
      vms: ['hall-a-r1-1', 'hall-a-r1-2'],
    });
    for (const name of ['entry-1', 'entry-2'])
      await deployment.startDaemon(name, 'hall-a');
    await deployment.rollOut(
      oneRackBundle({
        publicKey: deployment.operator.publicKey,
        service: 'ledger-room',
        vms: 'hall-a-r1-[1-2]',
      }),
    );
    await deployment.waitUntil(() =>
      deployment.daemons.every(
        ({daemon}) =>
          daemon.resolve<PeerLinks>('peerLinks').connected().length > 0,
      ),
    );
  });

  after(() => deployment.stop());

  // A caller loses the response to a billing entry and retries through the other daemon. It must
  // get the same complete response, and the targets must have executed the request once.
  it('returns the first response to a retry through another daemon', async () => {
    const send = async (place: number) => {
      const {callerAddress} = deployment.daemons[place];
      const response = await request(
        `http://${callerAddress}/ledger-room/bill`,
        {
          method: 'POST',
          headers: {'idempotency-key': 'bill-2026-12'},
          body: 'a billing entry',
        },
      );
      return {status: response.statusCode, body: await response.body.text()};
    };
    const first = await send(0);
    const second = await send(1);
    assert.equal(first.status, 200);
    assert.deepEqual(second, first);
    const ran = [...deployment.targets.values()].flatMap(
      target => target.executedRequests,
    );
    assert.equal(ran.filter(({body}) => body === 'a billing entry').length, 1);
  });
});
