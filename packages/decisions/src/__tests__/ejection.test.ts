import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  BoundedEjection,
  EjectionState,
  type EjectionTarget,
  type EjectionStateChange,
} from '../ejection.js';
import {OutcomeKind} from '../target-outcome.js';

const {InUse, Ejected, Probation} = EjectionState;
const {ServerError, Succeeded, Unreachable, CallerGone, Busy} = OutcomeKind;

function targetsOf(sizes: readonly number[], localRacks = sizes.length) {
  const targets: EjectionTarget[] = [];
  sizes.forEach((size, rack) => {
    for (let index = 0; index < size; index++) {
      const id = `vm-${targets.length}`;
      targets.push({
        id,
        rack: `rack-${rack}`,
        isSameDataCentre: rack < localRacks,
      });
    }
  });
  return targets;
}

function fail(
  ejection: BoundedEjection,
  target: string,
  times: number,
  now = 0,
  kind = ServerError,
): void {
  for (let count = 0; count < times; count++)
    ejection.observe(target, kind, now);
}

describe('BoundedEjection', () => {
  function build(sizes: readonly number[], localRacks?: number) {
    const changes: EjectionStateChange[] = [];
    const ejection = new BoundedEjection(change => changes.push(change));
    ejection.setTargets(targetsOf(sizes, localRacks));
    return {ejection, changes};
  }

  describe('with a target that fails every request', () => {
    it('ejects it after five consecutive failures and notifies of the change', () => {
      const {ejection, changes} = build([4, 4]);
      fail(ejection, 'vm-0', 4);
      assert.equal(ejection.stateOf('vm-0', 0), InUse);
      fail(ejection, 'vm-0', 1);
      assert.equal(ejection.stateOf('vm-0', 0), Ejected);
      assert.deepEqual(
        changes.map(({target, to}) => [target, to]),
        [['vm-0', Ejected]],
      );
    });

    it('ejects it after only three refused connections', () => {
      const {ejection} = build([4, 4]);
      fail(ejection, 'vm-0', 3, 0, Unreachable);
      assert.equal(ejection.stateOf('vm-0', 0), Ejected);
    });

    it('doubles the ejection after a failed probation', () => {
      const {ejection} = build([4, 4]);
      fail(ejection, 'vm-0', 5);
      assert.equal(ejection.stateOf('vm-0', 2000), Probation);
      fail(ejection, 'vm-0', 1, 2000);
      assert.equal(ejection.stateOf('vm-0', 5999), Ejected);
      assert.equal(ejection.stateOf('vm-0', 6000), Probation);
    });

    it('restores it after three successes on probation', () => {
      const {ejection} = build([4, 4]);
      fail(ejection, 'vm-0', 5);
      for (let count = 0; count < 3; count++)
        ejection.observe('vm-0', Succeeded, 2000);
      assert.equal(ejection.stateOf('vm-0', 2000), InUse);
    });
  });

  describe('with late failures of exchanges begun before the ejection', () => {
    it('does not extend the ejection', () => {
      const {ejection} = build([4, 4]);
      fail(ejection, 'vm-0', 20);
      assert.equal(ejection.stateOf('vm-0', 2000), Probation);
    });
  });

  describe('with a target that fails half of its exchanges', () => {
    it('ejects it although five failures never occur in a row', () => {
      const {ejection} = build([4, 4]);
      for (let count = 0; count < 100; count++) {
        const isGood = count % 3 === 0;
        ejection.observe('vm-0', isGood ? Succeeded : ServerError, 0);
      }
      assert.equal(ejection.stateOf('vm-0', 0), Ejected);
    });
  });

  describe('with callers that give up and busy targets', () => {
    it('counts neither against a target', () => {
      const {ejection} = build([4, 4]);
      fail(ejection, 'vm-0', 50, 0, CallerGone);
      fail(ejection, 'vm-0', 50, 0, Busy);
      assert.equal(ejection.stateOf('vm-0', 0), InUse);
    });
  });

  describe('with a rack of four lost in a pool of six', () => {
    it('ejects all four, which is more than half', () => {
      const {ejection} = build([4, 2]);
      for (const id of ['vm-0', 'vm-1', 'vm-2', 'vm-3']) fail(ejection, id, 5);
      assert.equal(ejection.isSharedFault, false);
      assert.equal(ejection.stateOf('vm-3', 0), Ejected);
    });
  });

  // A database behind all targets fails, so every target returns errors, whatever is ejected. With
  // seven of eight targets ejected the whole load would overload the last one, and callers would
  // still meet one overloaded target after the fault. Above the limit all targets are used, and
  // when the fault ends none stays ejected because of it.
  describe('with a fault shared by all targets', () => {
    const all = targetsOf([4, 4]).map(({id}) => id);

    it('uses every target once more targets are failing than may be ejected', () => {
      const {ejection} = build([4, 4]);
      for (const id of all) fail(ejection, id, 5);
      assert.equal(ejection.isSharedFault, true);
      assert.ok(all.every(id => ejection.stateOf(id, 0) === InUse));
    });

    it('leaves no target ejected when the fault ends', () => {
      const {ejection} = build([4, 4]);
      for (const id of all) fail(ejection, id, 30);
      for (const id of all.slice(0, 4)) {
        for (let count = 0; count < 3; count++)
          ejection.observe(id, Succeeded, 100);
      }
      assert.equal(ejection.isSharedFault, false);
      assert.ok(all.every(id => ejection.stateOf(id, 100) !== Ejected));
    });
  });

  // The data centre is cut off: targets in it work, all others time out. If those of other data
  // centres counted as a shared fault, each request beyond the local slots would wait for an
  // unreachable target.
  describe('with all targets of other data centres failing', () => {
    it('keeps them ejected and continues with its own data centre', () => {
      const {ejection} = build([2, 4, 4], 1);
      const remote = targetsOf([2, 4, 4], 1).filter(
        ({isSameDataCentre: isNear}) => !isNear,
      );
      for (const {id} of remote) fail(ejection, id, 5);
      assert.equal(ejection.isSharedFault, false);
      assert.ok(remote.every(({id}) => ejection.stateOf(id, 0) === Ejected));
    });
  });

  describe('with all targets of its own data centre failing', () => {
    it('ejects them while those of other data centres work', () => {
      const {ejection} = build([2, 4, 4], 1);
      fail(ejection, 'vm-0', 5);
      fail(ejection, 'vm-1', 5);
      assert.equal(ejection.stateOf('vm-1', 0), Ejected);
    });
  });

  describe('with a pool of one target', () => {
    it('never ejects it', () => {
      const {ejection} = build([1]);
      fail(ejection, 'vm-0', 50);
      assert.equal(ejection.stateOf('vm-0', 0), InUse);
    });
  });

  describe('with a target that leaves the pool while ejected', () => {
    it('forgets it, so that the limit counts only the remaining targets', () => {
      const {ejection} = build([4, 4]);
      for (const id of ['vm-0', 'vm-1', 'vm-2', 'vm-3']) fail(ejection, id, 5);
      const rest = targetsOf([4, 4]).filter(({id}) => id > 'vm-3');
      ejection.setTargets(rest);
      assert.equal(ejection.isSharedFault, false);
      fail(ejection, 'vm-4', 5);
      assert.equal(ejection.stateOf('vm-4', 0), Ejected);
    });
  });
});
