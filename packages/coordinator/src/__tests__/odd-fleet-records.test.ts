import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {LogEvent} from '@gentiandoor/kernel';
import {LogStream} from '../index.js';
import {TestDeployment} from './deployment.js';

const VM = 'worker-0';
const OTHER_VM = 'worker-1';
const WAVE_MILLISECONDS = 20_000;

/** Runs a wave over both VMs after a record of the fleet stream was damaged. */
async function maintainAfter(key: string, value: string) {
  const deployment = new TestDeployment(2);
  deployment.linkFleet();
  deployment.store.write(LogStream.Fleet, {key, value: Buffer.from(value)});
  deployment.writeOperatorRecord('wave/1', {
    kind: 'wave',
    wave: {
      number: 1,
      vms: [VM, OTHER_VM],
      durationMilliseconds: WAVE_MILLISECONDS,
      maximumAtOnce: 1,
    },
  });
  const daemon = await deployment.startDaemon('one');
  await deployment.run(WAVE_MILLISECONDS);
  return {orders: deployment.fleet.orders, events: daemon.events};
}

// The remaining time of the wave was no number, so that no VM was ever maintained.
describe('a stored wave that can not be read', () => {
  const values = [
    '{"seenAt":"x","done":[]}',
    '{"seenAt":1e999,"done":[]}',
    '{"seenAt":{},"done":[]}',
    '{"done":[]}',
    '{"seenAt":0,"done":"worker-0"}',
    '{"seenAt":0,"done":[7]}',
    'null',
  ];
  for (const value of values)
    it(`begins anew: ${value}`, async () => {
      const {orders, events} = await maintainAfter('1', value);
      assert.deepEqual(orders.map(({vm}) => vm).sort(), [VM, OTHER_VM]);
      assert.ok(events.of(LogEvent.RecordUnreadable) > 0);
    });
});
