import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RoutableTargets, type PoolVm} from '../routable-targets.js';

const LIMITS = {slots: 8, connections: 64};

function facts(id: string, changes: Partial<PoolVm> = {}): PoolVm {
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
  it('tells near targets from far ones', () => {
    const [near] = new RoutableTargets('hall-a').select(
      [facts('a')],
      LIMITS,
      0,
    );
    const [far] = new RoutableTargets('hall-b').select([facts('a')], LIMITS, 0);
    assert.deepEqual(
      [near.isSameDataCentre, far.isSameDataCentre],
      [true, false],
    );
  });

  describe('with a drain record or a leaving mark', () => {
    it('takes the VM out at once, whatever it answers', () => {
      const pool = [
        facts('a', {isDraining: true, lastAnswerAt: 0}),
        facts('b', {listed: LEAVING, lastAnswerAt: 0}),
        facts('c'),
      ];
      assert.deepEqual(ids(new RoutableTargets('hall-a'), pool, 0), ['c']);
    });
  });

  // The list misses a VM in one reading and shows it again in the next, while it serves all along.
  // Without patience each reading moves a share of the load away and back.
  describe('with a VM that the list no longer shows', () => {
    const answering = facts('a', {listed: undefined, lastAnswerAt: 1000});

    it('keeps it for two seconds while it answers', () => {
      const routable = new RoutableTargets('hall-a');
      ids(
        routable,
        NAMES.map(name => facts(name)),
        0,
      );
      const pool = [answering, facts('b'), facts('c'), facts('d')];
      assert.ok(ids(routable, pool, 1999).includes('a'));
      assert.equal(routable.retainsMissing, true);
      assert.ok(!ids(routable, pool, 2000).includes('a'));
      assert.equal(routable.retainsMissing, false);
    });

    it('drops it at once when it has not answered lately', () => {
      const routable = new RoutableTargets('hall-a');
      ids(
        routable,
        NAMES.map(name => facts(name)),
        0,
      );
      const silent = facts('a', {listed: undefined});
      const pool = [silent, facts('b'), facts('c'), facts('d')];
      assert.ok(!ids(routable, pool, 1).includes('a'));
    });

    it('does not keep one that was leaving before', () => {
      const routable = new RoutableTargets('hall-a');
      const rest = [facts('b'), facts('c'), facts('d')];
      ids(routable, [facts('a', {listed: LEAVING}), ...rest], 0);
      assert.ok(!ids(routable, [answering, ...rest], 1).includes('a'));
    });

    it('never uses one that it has not seen listed', () => {
      const routable = new RoutableTargets('hall-a');
      assert.deepEqual(ids(routable, [answering], 1000), []);
    });
  });

  describe('with most of the pool missing in one reading', () => {
    it('goes on for a minute with those that answer', () => {
      const routable = new RoutableTargets('hall-a');
      ids(
        routable,
        NAMES.map(name => facts(name)),
        0,
      );
      const missing = (lastAnswerAt: number) =>
        NAMES.map(name => facts(name, {listed: undefined, lastAnswerAt}));
      assert.equal(ids(routable, missing(59_000), 59_999).length, 4);
      assert.equal(ids(routable, missing(59_000), 60_000).length, 0);
    });
  });
});
