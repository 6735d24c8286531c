import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ListedState, type ListedVm} from '@gentiandoor/shared-state';
import {VmListHistory} from '../vm-list-history.js';

function vm(id: string, state = ListedState.Live): ListedVm {
  return {id, address: '127.0.0.1:1', dataCentre: 'hall-a', rack: 'r1', state};
}

describe('VmListHistory', () => {
  it('returns the whole list to a reader without a version', () => {
    const response = new VmListHistory().changesSince(
      [vm('a'), vm('b')],
      undefined,
    );
    assert.equal(response.whole, true);
    assert.equal(response.vms.length, 2);
  });

  it('returns only the changes since the version that a reader knows', () => {
    const history = new VmListHistory();
    const first = history.changesSince([vm('a'), vm('b'), vm('c')], undefined);
    const leaving = vm('a', ListedState.Leaving);
    const second = history.changesSince([leaving, vm('b')], first.version);
    assert.deepEqual(second, {
      version: second.version,
      whole: false,
      vms: [leaving],
      removed: ['c'],
    });
    const third = history.changesSince([leaving, vm('b')], second.version);
    assert.deepEqual([third.vms, third.removed], [[], []]);
  });

  it('returns the whole list for a version from before a restart of the platform', () => {
    assert.equal(new VmListHistory().changesSince([vm('a')], 99).whole, true);
  });
});
