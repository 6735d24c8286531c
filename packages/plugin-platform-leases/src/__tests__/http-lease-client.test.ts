import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';
import {VirtualClock} from '@gentiandoor/kernel';
import {
  ListedState,
  TaskState,
  VmAction,
  VmActionState,
} from '@gentiandoor/shared-state';
import {
  LeaseFault,
  MemoryLeaseClient,
  MemoryLog,
  MemoryVmActions,
  MemoryVmList,
  PlatformLeaseRoutes,
  PlatformServer,
} from '@gentiandoor/stand-ins';
import {HttpLeaseClient} from '../http-lease-client.js';
import {HttpVmActions} from '../http-vm-actions.js';
import {PlatformRequestError, PlatformClient} from '../platform-client.js';

const SIZE = {processors: 1, memoryGigabytes: 1, accelerators: 0};
const TASK = {
  id: 'badge-1/1',
  vm: 'crest-works-1',
  size: SIZE,
  leaseMilliseconds: 60_000,
  payload: 'badge-1',
};

describe('the platform clients over HTTP', () => {
  const clock = new VirtualClock();
  const list = new MemoryVmList(clock);
  const leases = new MemoryLeaseClient(clock, () => ({
    runMilliseconds: 30_000,
    fails: false,
    usage: SIZE,
  }));
  const actions = new MemoryVmActions(clock, list);
  const platform = new PlatformServer(
    new MemoryLog(clock),
    list,
    new PlatformLeaseRoutes(leases, actions),
  );
  let platformCalls: PlatformClient;

  before(async () => {
    const address = await platform.start('127.0.0.1:0');
    const options = {address, timeout_milliseconds: 5000, connections: 2};
    platformCalls = new PlatformClient({platformLeasesOptions: options});
  });

  after(async () => {
    await platformCalls.stop();
    await platform.stop();
  });

  it('start a task once, renew its lease and report its end', async () => {
    const client = new HttpLeaseClient({platformCalls});
    assert.equal((await client.start(TASK)).state, TaskState.Running);
    await client.start(TASK);
    await client.renew(TASK.id, 60_000);
    clock.advance(31_000);
    const [report] = await client.report();
    assert.equal(report.state, TaskState.Finished);
    assert.equal(leases.startCounts.get(TASK.id), 1);
  });

  it('prevent a task stopped before its start from starting', async () => {
    const client = new HttpLeaseClient({platformCalls});
    const {state} = await client.stop('badge-2/1');
    assert.equal(state, TaskState.NeverStarted);
    const later = await client.start({...TASK, id: 'badge-2/1'});
    assert.equal(later.state, TaskState.NeverStarted);
    assert.equal(leases.startCounts.has('badge-2/1'), false);
  });

  it('reject with a PlatformRequestError if the platform refuses a call', async () => {
    const client = new HttpLeaseClient({platformCalls});
    leases.faults.add(LeaseFault.Outage);
    await assert.rejects(client.report(), PlatformRequestError);
    leases.faults.delete(LeaseFault.Outage);
  });

  it('run a VM action once per id', async () => {
    const id = 'admin-1';
    const location = {address: '127.0.0.1:1', dataCentre: 'hall-a', rack: 'r1'};
    list.put({id, ...location, state: ListedState.Live});
    const client = new HttpVmActions({platformCalls});
    const request = {id: 'admin-1/7/1', vm: id, action: VmAction.Reboot};
    assert.equal(await client.requestAction(request), VmActionState.Running);
    clock.advance(121_000);
    assert.equal(await client.requestAction(request), VmActionState.Done);
    assert.equal(actions.startedActions.length, 1);
  });

  it('reject calls without an address', async () => {
    const options = {timeout_milliseconds: 100, connections: 1};
    const unconfiguredClient = new PlatformClient({
      platformLeasesOptions: options,
    });
    const client = new HttpLeaseClient({platformCalls: unconfiguredClient});
    await assert.rejects(client.report(), /has no address/);
  });
});
