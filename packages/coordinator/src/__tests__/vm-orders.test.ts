import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {MemoryMetrics, VirtualClock} from '@gentiandoor/kernel';
import {LogStream} from '../index.js';
import {
  MemoryStore,
  SimulatedFleet,
  simulatedSettings,
} from '../stand-ins/index.js';
import {VmOrders} from '../vm-orders.js';
import {EventCounts} from './deployment.js';

/**
 * Returns the orders of daemon `two` after it has loaded the last orders of other
 * holders.
 */
async function readOrders(
  orders: ReadonlyArray<{vm: string; value: string}>,
): Promise<VmOrders> {
  const clock = new VirtualClock();
  const store = new MemoryStore(clock);
  for (const {vm, value} of orders)
    store.write(LogStream.Fleet, {
      key: `order/${vm}`,
      value: Buffer.from(value),
    });
  const read = new VmOrders(
    4,
    {
      settings: simulatedSettings('two'),
      log: store.connect(),
      vmGateway: new SimulatedFleet(clock),
      clock,
      logger: new EventCounts(),
      metrics: new MemoryMetrics(),
    },
    () => true,
  );
  const loaded = read.load();
  await clock.advanceAsync(100);
  await loaded;
  return read;
}

function order(term: number, at: number, holder = 'one'): string {
  return JSON.stringify({holder, term, at});
}

describe('the orders of the previous holder', () => {
  it('block only VMs of its last orders', async () => {
    const orders = await readOrders([
      {vm: 'late', value: order(3, 60_000)},
      {vm: 'early', value: order(3, 50_000)},
    ]);
    assert.equal(orders.isFree('late'), false);
    assert.equal(orders.isFree('early'), true);
  });

  // The holder was restarted between two orders, and its monotonic clock began anew. The
  // later order seemed to lie a minute before the earlier one, and its VM got orders of
  // two holders within a second.
  it('are distinguished by term, since a restart resets the monotonic clock', async () => {
    const orders = await readOrders([
      {vm: 'before', value: order(1, 60_000)},
      {vm: 'after', value: order(3, 2_000)},
    ]);
    assert.equal(orders.isFree('after'), false);
  });

  it('block nothing if they are of this daemon itself or can’t be read', async () => {
    const orders = await readOrders([
      {vm: 'own', value: order(2, 9_000, 'two')},
      {vm: 'torn', value: '{"holder": 7'},
      {vm: 'old', value: '{"holder": "one", "at": 3}'},
    ]);
    for (const vm of ['own', 'torn', 'old'])
      assert.equal(orders.isFree(vm), true);
  });

  // Beside a time beyond measure the other orders of its term seemed to be long past.
  for (const at of ['1e999', '1e308'])
    it(`block their VMs beside one whose time can not be true: ${at}`, async () => {
      const orders = await readOrders([
        {vm: 'late', value: order(3, 60_000)},
        {vm: 'odd', value: `{"holder": "one", "term": 3, "at": ${at}}`},
      ]);
      assert.equal(orders.isFree('late'), false);
    });
});
