import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {VirtualClock} from '@gentiandoor/kernel';
import {
  emptyFleetState,
  type FleetState,
  type SharedState,
} from '@gentiandoor/shared-state';
import {RouterDrain} from '../router-drain.js';

const VM = 'hall-a-r1-1';

function sharedStateOf(state: FleetState): SharedState {
  return {
    state,
    isLogReachable: true,
    publish: () => Promise.reject(new Error('not in this test')),
    onChange() {},
  };
}

describe('RouterDrain', () => {
  let clock: VirtualClock;
  let state: FleetState;
  let isRouting: boolean;
  let drain: RouterDrain;

  beforeEach(() => {
    clock = new VirtualClock();
    state = emptyFleetState({});
    state.vms.set(VM, {id: VM, pool: 'previews', epoch: 1});
    isRouting = true;
    drain = new RouterDrain({
      clock,
      sharedState: sharedStateOf(state),
      serviceRouter: {isRouting: () => isRouting, ejectedVms: () => [VM]},
    });
  });

  async function hasStoppedRoutingAfter(change: () => void): Promise<boolean> {
    let hasLetGo = false;
    const watch = drain
      .stopRouting(VM, new AbortController().signal)
      .then(() => {
        hasLetGo = true;
      });
    watch.catch(() => undefined);
    await clock.advanceAsync(100);
    assert.equal(hasLetGo, false);
    change();
    await clock.advanceAsync(100);
    return hasLetGo;
  }

  function setDrainingInState(): void {
    state.vms.set(VM, {
      id: VM,
      pool: 'previews',
      epoch: 1,
      drainReason: 'move',
    });
  }

  describe('while an exchange is in flight or the VM is among the targets', () => {
    // A move waits for this daemon. If the daemon acknowledged while it still routed to the VM, the
    // new pool would get the VM and two pools would use it at the same time.
    it('does not report that routing has stopped', async () => {
      setDrainingInState();
      assert.equal(
        await hasStoppedRoutingAfter(() => {
          isRouting = false;
        }),
        true,
      );
    });
  });

  describe('when the drain is not in the folded state yet', () => {
    // The daemon happens to route nothing to the VM, but nothing prevents it from starting to.
    it('does not report that routing has stopped', async () => {
      isRouting = false;
      assert.equal(await hasStoppedRoutingAfter(setDrainingInState), true);
    });
  });

  describe('when the drain has ended in the meantime', () => {
    it('rejects', async () => {
      const ended = new AbortController();
      const watch = drain.stopRouting(VM, ended.signal);
      ended.abort();
      await assert.rejects(watch, /has ended/);
    });
  });

  it('suspects the VMs that its router ejected', () => {
    assert.deepEqual([...drain.suspected()], [VM]);
  });
});
