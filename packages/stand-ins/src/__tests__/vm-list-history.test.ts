import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ListedState, type ListedVm} from '@gentiandoor/shared-state';
import {VmListHistory} from '../vm-list-history.js';

function vm(id: string, state = ListedState.Live): ListedVm {
  return {id, address: '127.0.0.1:1', dataCentre: 'hall-a', rack: 'r1', state};
}

describe('VmListHistory', () => {
  it('gives a new reader the whole list', () => {
    const answer = new VmListHistory().answer([vm('a'), vm('b')], undefined);
    assert.equal(answer.whole, true);
    assert.equal(answer.vms.length, 2);
  });

  it('gives a reader with a version only what changed since', () => {
    const history = new VmListHistory();
    const first = history.answer([vm('a'), vm('b'), vm('c')], undefined);
    const leaving = vm('a', ListedState.Leaving);
    const second = history.answer([leaving, vm('b')], first.version);
    assert.deepEqual(second, {
      version: second.version,
      whole: false,
      vms: [leaving],
      removed: ['c'],
    });
    const third = history.answer([leaving, vm('b')], second.version);
    assert.deepEqual([third.vms, third.removed], [[], []]);
  });

  it('gives the whole list to a reader from before a restart of the platform', () => {
    assert.equal(new VmListHistory().answer([vm('a')], 99).whole, true);
  });
});
