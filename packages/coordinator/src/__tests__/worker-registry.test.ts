import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {LogStream} from '../index.js';
import {WorkerRegistry, type WorkerRegistryHost} from '../worker-registry.js';
import {TestDeployment} from './deployment.js';

const HOST = {
  isServiceKnown: () => true,
  sessionAdded: () => {},
  ordersAllowed: () => false,
} as unknown as WorkerRegistryHost;

describe('a closed worker registry', () => {
  // The session would wait for its turn to poll for as long as the daemon runs.
  it('starts no session with a worker that a read in flight returns', async () => {
    const deployment = new TestDeployment(1);
    const daemon = await deployment.startDaemon('one');
    const registry = new WorkerRegistry(daemon.parts, HOST);
    registry.start();
    registry.close();
    const records = deployment.store.history(LogStream.Workers);
    assert.ok(records.length > 0);
    for (const record of records) registry.apply(record);

    assert.equal(registry.size, 0);
  });
});
