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
  describe('with two operators who each saw that one VM may leave', () => {
    // Both operators read the same state, in which eligibility may lose one VM, and both append a
    // drain; callers would see a pool below its budget. The second record is checked against the
    // counters that the first one changed, so only one VM leaves.
    it('accepts one drain and rejects the other with the reason', () => {
      const fleet = new FoldedFleet(SWAN_COAST);
      const first = fleet.write('moana', drain('eligibility-1'));
      const second = fleet.write('tom', drain('eligibility-2'));
      assert.equal(first.rejection, undefined);
      assert.equal(second.rejection?.reason, RejectionReason.LeavingLimit);
      assert.match(second.rejection?.detail ?? '', /eligibility.*1 VMs leave/);
    });
  });

  describe('with two operators who end the same drain', () => {
    // moana drains a VM and both operators end that drain. Before tom's record is appended, moana
    // drains the VM again for repair. If a drain were ended by name alone, the drain for the repair
    // would end and callers would be sent to a VM that is being taken apart.
    it('does not end the drain that started in between', () => {
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
    it('counts it against the budget before a planned stop', () => {
      const fleet = new FoldedFleet(SWAN_COAST);
      fleet.takeTerm(PLANNER, 0);
      fleet.report(1, 'eligibility-1', VmCondition.Down);
      const {rejection} = fleet.write('moana', drain('eligibility-2'));
      assert.equal(rejection?.reason, RejectionReason.BudgetExceeded);
    });

    it('allows the VM itself to be drained, since this costs nothing', () => {
      const fleet = new FoldedFleet(SWAN_COAST);
      fleet.takeTerm(PLANNER, 0);
      fleet.report(1, 'eligibility-1', VmCondition.Suspected);
      const {rejection} = fleet.write('moana', drain('eligibility-1'));
      assert.equal(rejection, undefined);
    });
  });

  describe('with a broken budget', () => {
    // Four of six VMs of counter-preview are down: two serve where three must. Any other planned
    // work anywhere would add to a failure that nobody understands yet.
    function fleetWithBrokenBudget(): FoldedFleet {
      const fleet = new FoldedFleet(KINGSTON);
      fleet.takeTerm(PLANNER, 0);
      for (const n of [1, 2, 3, 4])
        fleet.report(1, `counter-preview-${n}`, VmCondition.Down);
      return fleet;
    }

    it('rejects planned work in every pool and names the service', () => {
      const {rejection} = fleetWithBrokenBudget().write(
        'moana',
        drain('logo-desk-1'),
      );
      assert.equal(rejection?.reason, RejectionReason.BudgetBroken);
      assert.match(rejection?.detail ?? '', /counter-preview has 2 of 3/);
    });

    it('allows a VM to move to the pool with the shortage', () => {
      const {rejection} = fleetWithBrokenBudget().write('moana', {
        kind: RecordKind.MoveStarted,
        vm: 'logo-desk-1',
        epoch: 1,
        toPool: 'counter-preview',
        cause: 'operator' as never,
        reason: 'relief',
      });
      assert.equal(rejection, undefined);
    });

    it('accepts planned work again once the VMs are back', () => {
      const fleet = fleetWithBrokenBudget();
      for (const n of [1, 2, 3, 4])
        fleet.report(1, `counter-preview-${n}`, VmCondition.Up);
      const {rejection} = fleet.write('moana', drain('logo-desk-1'));
      assert.equal(rejection, undefined);
    });
  });

  it('shows how many VMs each service can spare', () => {
    const fleet = new FoldedFleet(SWAN_COAST);
    const [eligibility] = serviceBudgetStatuses(fleet.state);
    assert.equal(eligibility.available, 8);
    assert.equal(eligibility.availableAfterLoss, 6);
    assert.equal(eligibility.spare, 1);
  });
});
