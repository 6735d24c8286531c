import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RoutableTargets, type PoolVm} from '../routable-targets.js';

const LIMITS = {slots: 8, connections: 64};

function poolVm(id: string, changes: Partial<PoolVm> = {}): PoolVm {
  return {
    id,
    isDraining: false,
    listed: {
      address: `127.0.0.1:${id.length}`,
      dataCentre: 'hall-a',
      rack: 'hall-a-r1',
      isLeaving: false,
    },
    lastAnswerAt: undefined,
    ...changes,
  };
}

function ids(routable: RoutableTargets, pool: PoolVm[], now: number) {
  return routable.select(pool, LIMITS, now).map(target => target.id);
}

const LEAVING = {
  address: '127.0.0.1:1',
  dataCentre: 'hall-a',
  rack: 'hall-a-r1',
  isLeaving: true,
};
const NAMES = ['a', 'b', 'c', 'd'];

describe('RoutableTargets', () => {
  it('distinguishes targets of its own data centre from others', () => {
    const [local] = new RoutableTargets('hall-a').select(
      [poolVm('a')],
      LIMITS,
      0,
    );
    const [remote] = new RoutableTargets('hall-b').select(
      [poolVm('a')],
      LIMITS,
      0,
    );
    assert.deepEqual(
      [local.isSameDataCentre, remote.isSameDataCentre],
      [true, false],
    );
  });

  describe('with a drain record or a leaving mark', () => {
    it('removes the VM at once, even if it responds', () => {
      const pool = [
        poolVm('a', {isDraining: true, lastAnswerAt: 0}),
        poolVm('b', {listed: LEAVING, lastAnswerAt: 0}),
        poolVm('c'),
      ];
      assert.deepEqual(ids(new RoutableTargets('hall-a'), pool, 0), ['c']);
    });
  });

  // The list omits a VM in one reading and contains it again in the next, while the VM serves all
  // along. Without a grace period each reading would move a share of the load away and back.
  describe('with a VM that is missing from the list', () => {
    const answering = poolVm('a', {listed: undefined, lastAnswerAt: 1000});

    it('keeps it for two seconds while it responds', () => {
      const routable = new RoutableTargets('hall-a');
      ids(
        routable,
        NAMES.map(name => poolVm(name)),
        0,
      );
      const pool = [answering, poolVm('b'), poolVm('c'), poolVm('d')];
      assert.ok(ids(routable, pool, 1999).includes('a'));
      assert.equal(routable.retainsMissing, true);
      assert.ok(!ids(routable, pool, 2000).includes('a'));
      assert.equal(routable.retainsMissing, false);
    });

    it('removes it at once if it has not responded recently', () => {
      const routable = new RoutableTargets('hall-a');
      ids(
        routable,
        NAMES.map(name => poolVm(name)),
        0,
      );
      const silent = poolVm('a', {listed: undefined});
      const pool = [silent, poolVm('b'), poolVm('c'), poolVm('d')];
      assert.ok(!ids(routable, pool, 1).includes('a'));
    });

    it('does not keep one that was already leaving', () => {
      const routable = new RoutableTargets('hall-a');
      const rest = [poolVm('b'), poolVm('c'), poolVm('d')];
      ids(routable, [poolVm('a', {listed: LEAVING}), ...rest], 0);
      assert.ok(!ids(routable, [answering, ...rest], 1).includes('a'));
    });

    it('never uses one that it has not seen listed', () => {
      const routable = new RoutableTargets('hall-a');
      assert.deepEqual(ids(routable, [answering], 1000), []);
    });
  });

  describe('with most of the pool missing in one reading', () => {
    it('keeps those that respond for a minute', () => {
      const routable = new RoutableTargets('hall-a');
      ids(
        routable,
        NAMES.map(name => poolVm(name)),
        0,
      );
      const missing = (lastAnswerAt: number) =>
        NAMES.map(name => poolVm(name, {listed: undefined, lastAnswerAt}));
      assert.equal(ids(routable, missing(59_000), 59_999).length, 4);
      assert.equal(ids(routable, missing(59_000), 60_000).length, 0);
    });
  });
});
