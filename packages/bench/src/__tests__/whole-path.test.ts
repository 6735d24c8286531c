import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';
import {request} from 'undici';
import {processContext, runProgram} from '@gentiandoor/cli';
import {ADMIN_KEY, Deployment} from '../deployment.js';
import {oneRackBundle} from '../one-rack-bundle.js';

describe('path from caller to target', () => {
  const deployment = new Deployment();

  before(async () => {
    await deployment.startPlatform();
    await deployment.startRack({
      name: 'hall-a-r1',
      dataCentre: 'hall-a',
      vms: ['hall-a-r1-1', 'hall-a-r1-2'],
    });
    await deployment.startDaemon('entry-1', 'hall-a');
  });

  after(() => deployment.stop());

  describe('before a bundle is in force', () => {
    it('responds with "not run" and a retry time', async () => {
      const response = await request(
        `http://${deployment.daemons[0].callerAddress}/counter-preview/x`,
      );
      assert.equal(response.statusCode, 503);
      assert.equal(response.headers['gentiandoor-run'], 'no');
      assert.equal(response.headers['gentiandoor-reason'], 'no_bundle');
      assert.equal(response.headers['retry-after'], '2');
      await response.body.dump();
    });
  });

  describe('after a roll-out', () => {
    before(() =>
      deployment.rollOut(
        oneRackBundle({
          publicKey: deployment.operator.publicKey,
          service: 'counter-preview',
          vms: 'hall-a-r1-[1-2]',
        }),
      ),
    );

    it('forwards a request to a target and returns the complete response', async () => {
      const response = await request(
        `http://${deployment.daemons[0].callerAddress}/counter-preview/x`,
      );
      assert.equal(response.statusCode, 200);
      assert.equal(response.headers['gentiandoor-run'], 'yes');
      const body = (await response.body.json()) as {path: string};
      assert.equal(body.path, '/counter-preview/x');
    });

    it('forwards a request body', async () => {
      const response = await request(
        `http://${deployment.daemons[0].callerAddress}/counter-preview/y`,
        {
          method: 'POST',
          body: 'a crest',
        },
      );
      assert.equal(response.statusCode, 200);
      await response.body.dump();
      const ran = [...deployment.targets.values()].flatMap(
        target => target.executedRequests,
      );
      assert.equal(ran.filter(item => item.body === 'a crest').length, 1);
    });

    it('refuses an unknown service', async () => {
      const response = await request(
        `http://${deployment.daemons[0].callerAddress}/nothing`,
      );
      assert.equal(response.statusCode, 404);
      await response.body.dump();
    });

    it('shows the version in force on the command line', async () => {
      const lines: string[] = [];
      const {adminAddress} = deployment.daemons[0];
      const code = await runProgram(
        [
          'node',
          'gentiandoor',
          'status',
          '--admin',
          adminAddress,
          '--key',
          ADMIN_KEY,
          '--json',
        ],
        {...processContext(), print: line => lines.push(line)},
      );
      assert.equal(code, 0);
      assert.equal(
        (JSON.parse(lines[0]) as {bundle: {version: number}}).bundle.version,
        1,
      );
    });
  });
});
