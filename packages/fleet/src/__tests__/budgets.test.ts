import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  RecordKind,
  RejectionReason,
  VmCondition,
  serviceBudgetStatuses,
} from '@gentiandoor/shared-state';
import {KINGSTON, SWAN_COAST} from '@gentiandoor/stand-ins';
import {FoldedFleet, PLANNER} from './fold-helpers.js';

function drain(vm: string) {
  return {kind: RecordKind.DrainStarted, vm, reason: 'disk'} as const;
}

describe('budgets in the fold', () => {
  describe('with two operators who each saw room for one', () => {
    // Callers would see a pool below its budget. Both operators read the same state, in which
    // eligibility may lose one VM; both append a drain. The second record meets the counters
    // that the first one changed, so only one VM leaves.
    it('lets one drain through and tells the other why not', () => {
      const fleet = new FoldedFleet(SWAN_COAST);
      const first = fleet.write('moana', drain('eligibility-1'));
      const second = fleet.write('tom', drain('eligibility-2'));
      assert.equal(first.rejection, undefined);
      assert.equal(second.rejection?.reason, RejectionReason.LeavingLimit);
      assert.match(second.rejection?.detail ?? '', /eligibility.*1 VMs leave/);
    });
  });

  describe('with two operators who end one drain', () => {
    // moana drains a VM and both operators end that drain. Before tom's record is appended,
    // moana drains the VM again for repair. Ended by name alone, the repair's drain would end
    // and callers would be sent to a VM that is being taken apart.
    it('does not end the drain that began in between', () => {
      const fleet = new FoldedFleet(SWAN_COAST);
      const first = fleet.write('moana', drain('eligibility-1'));
      const end = {
        kind: RecordKind.DrainEnded,
        vm: 'eligibility-1',
        startedAt: first.offset,
      } as const;
      assert.equal(fleet.write('moana', end).rejection, undefined);
      fleet.write('moana', drain('eligibility-1'));
      const late = fleet.write('tom', end);
      assert.equal(late.rejection?.reason, RejectionReason.NotDraining);
      const vm = fleet.state.vms.get('eligibility-1');
      assert.equal(vm?.drainReason, 'disk');
    });
  });

  describe('with a VM down', () => {
    it('counts it before a planned stop', () => {
      const fleet = new FoldedFleet(SWAN_COAST);
      fleet.takeTerm(PLANNER, 0);
      fleet.report(1, 'eligibility-1', VmCondition.Down);
      const {rejection} = fleet.write('moana', drain('eligibility-2'));
      assert.equal(rejection?.reason, RejectionReason.BudgetExceeded);
    });

    it('lets the VM itself be drained: it costs nothing', () => {
      const fleet = new FoldedFleet(SWAN_COAST);
      fleet.takeTerm(PLANNER, 0);
      fleet.report(1, 'eligibility-1', VmCondition.Suspected);
      const {rejection} = fleet.write('moana', drain('eligibility-1'));
      assert.equal(rejection, undefined);
    });
  });

  describe('with a budget broken', () => {
    // Four of six VMs of counter-preview are gone: two serve where three must. Whatever else is
    // planned anywhere would add to a failure that nobody understands yet.
    function broken(): FoldedFleet {
      const fleet = new FoldedFleet(KINGSTON);
      fleet.takeTerm(PLANNER, 0);
      for (const n of [1, 2, 3, 4])
        fleet.report(1, `counter-preview-${n}`, VmCondition.Down);
      return fleet;
    }

    it('stops planned work in every pool and names the service', () => {
      const {rejection} = broken().write('moana', drain('logo-desk-1'));
      assert.equal(rejection?.reason, RejectionReason.BudgetBroken);
      assert.match(rejection?.detail ?? '', /counter-preview has 2 of 3/);
    });

    it('lets a VM move to the pool that is short', () => {
      const {rejection} = broken().write('moana', {
        kind: RecordKind.MoveStarted,
        vm: 'logo-desk-1',
        epoch: 1,
        toPool: 'counter-preview',
        cause: 'operator' as never,
        reason: 'relief',
      });
      assert.equal(rejection, undefined);
    });

    it('goes on once the VMs are back', () => {
      const fleet = broken();
      for (const n of [1, 2, 3, 4])
        fleet.report(1, `counter-preview-${n}`, VmCondition.Up);
      const {rejection} = fleet.write('moana', drain('logo-desk-1'));
      assert.equal(rejection, undefined);
    });
  });

  it('shows each service with what it can spare', () => {
    const fleet = new FoldedFleet(SWAN_COAST);
    const [eligibility] = serviceBudgetStatuses(fleet.state);
    assert.equal(eligibility.available, 8);
    assert.equal(eligibility.availableAfterLoss, 6);
    assert.equal(eligibility.spare, 1);
  });
});
