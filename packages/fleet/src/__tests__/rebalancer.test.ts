import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  FailureDomain,
  MoveCause,
  RecordKind,
  VmCondition,
} from '@gentiandoor/shared-state';
import {SWAN_COAST, type ExampleDeployment} from '@gentiandoor/stand-ins';
import {minimumPoolSize, costEffectiveSpares} from '../buffer-plan.js';
import type {PlannerInput, ProposedRecord} from '../planner-input.js';
import {REBALANCE_DEFAULTS} from '../rebalance-options.js';
import {Rebalancer} from '../rebalancer.js';
import {FoldedFleet, PLANNER} from './fold-helpers.js';

const MINUTE_MILLISECONDS = 60_000;

function inputAt(fleet: FoldedFleet, now: number): PlannerInput {
  return {
    state: fleet.state,
    now,
    wallNow: now,
    vmList: new Map(),
    vmListAgeMilliseconds: 0,
    suspectedVms: new Set(),
    vmActions: new Map(),
  };
}

/** Plans once per second of an interval and returns the proposed moves. */
function planFor(
  rebalancer: Rebalancer,
  fleet: FoldedFleet,
  from: number,
  until: number,
): ProposedRecord[] {
  const proposals: ProposedRecord[] = [];
  for (let now = from; now < until; now += 1000)
    proposals.push(...rebalancer.plan(inputAt(fleet, now)));
  return proposals;
}

function fleetWithPlanner(deployment: ExampleDeployment): FoldedFleet {
  const fleet = new FoldedFleet(deployment);
  fleet.takeTerm(PLANNER, 0);
  return fleet;
}

function deploymentWithWeights(
  buffer: number,
  move: number,
): ExampleDeployment {
  return {...SWAN_COAST, bufferWeight: buffer, moveWeight: move};
}

/** Takes two VMs of eligibility down, so that it lacks one to survive its named failure. */
function causeShortage(fleet: FoldedFleet): void {
  for (const n of [1, 2]) fleet.report(1, `eligibility-${n}`, VmCondition.Down);
}

describe('Rebalancer', () => {
  describe('with restarts that end within minutes', () => {
    it('moves nothing', () => {
      const fleet = fleetWithPlanner(deploymentWithWeights(1, 1));
      const rebalancer = new Rebalancer();
      const proposals: ProposedRecord[] = [];
      for (let n = 0; n < 20; n++) {
        causeShortage(fleet);
        const from = n * 6 * MINUTE_MILLISECONDS;
        proposals.push(
          ...planFor(rebalancer, fleet, from, from + 4 * MINUTE_MILLISECONDS),
        );
        for (const vm of [1, 2])
          fleet.report(1, `eligibility-${vm}`, VmCondition.Up);
        const later = from + 4 * MINUTE_MILLISECONDS;
        proposals.push(
          ...planFor(rebalancer, fleet, later, later + MINUTE_MILLISECONDS),
        );
      }
      assert.equal(proposals.length, 0);
    });
  });

  describe('with a lasting shortage', () => {
    it('lends a VM of the pool that can spare the most', () => {
      const fleet = fleetWithPlanner(deploymentWithWeights(1, 1));
      causeShortage(fleet);
      const proposals = planFor(
        new Rebalancer(),
        fleet,
        0,
        6 * MINUTE_MILLISECONDS,
      );
      const [first] = proposals;
      assert.equal(first.record.kind, RecordKind.MoveStarted);
      assert.match(first.decision.decision, /(statements|admin).* eligibility/);
    });

    it('waits longer if moves have a higher weight', () => {
      const first = (deployment: ExampleDeployment): number => {
        const fleet = fleetWithPlanner(deployment);
        causeShortage(fleet);
        const rebalancer = new Rebalancer();
        for (let now = 0; now < 120 * MINUTE_MILLISECONDS; now += 1000)
          if (rebalancer.plan(inputAt(fleet, now)).length > 0) return now;
        return Infinity;
      };
      const bufferFirst = first(deploymentWithWeights(4, 1));
      const movesFirst = first(deploymentWithWeights(1, 4));
      assert.ok(movesFirst >= 8 * bufferFirst);
    });

    it('lends nothing that a donor needs itself', () => {
      const fleet = fleetWithPlanner(deploymentWithWeights(1, 1));
      causeShortage(fleet);
      for (const pool of ['valuation', 'repayment', 'statements', 'admin'])
        for (const n of [1, 2])
          fleet.report(1, `${pool}-${n}`, VmCondition.Down);
      assert.deepEqual(
        planFor(new Rebalancer(), fleet, 0, 20 * MINUTE_MILLISECONDS),
        [],
      );
    });
  });

  describe('after the shortage has ended', () => {
    // A VM was lent; then the failed VMs returned. It is returned, and only once, after its new
    // pool has been able to spare it for a while.
    it('returns the lent VM', () => {
      const fleet = fleetWithPlanner(deploymentWithWeights(1, 1));
      fleet.write('moana', {
        kind: RecordKind.MoveStarted,
        vm: 'admin-1',
        epoch: 1,
        toPool: 'eligibility',
        cause: MoveCause.Lend,
        reason: 'short',
      });
      const startedAt = fleet.state.work.get('admin-1')?.startedAt ?? 0;
      fleet.acknowledgeAll('admin-1');
      fleet.write(PLANNER, {
        kind: RecordKind.MoveAssigned,
        term: 1,
        vm: 'admin-1',
        startedAt,
        epoch: 1,
      });
      const proposals = planFor(
        new Rebalancer(),
        fleet,
        0,
        31 * MINUTE_MILLISECONDS,
      );
      assert.match(proposals[0].decision.decision, /eligibility to admin/);
    });
  });
});

describe('the buffer plan', () => {
  it('has the fewest VMs that survive the named failure', () => {
    assert.equal(minimumPoolSize(5, FailureDomain.DataCentre, 4), 7);
    assert.equal(minimumPoolSize(3, FailureDomain.DataCentre, 3), 5);
    assert.equal(minimumPoolSize(5, FailureDomain.Vm, 4), 6);
    assert.equal(minimumPoolSize(5, FailureDomain.None, 4), 5);
    assert.equal(minimumPoolSize(5, FailureDomain.DataCentre, 1), Infinity);
  });

  it('agrees with trying every size', () => {
    for (let needed = 1; needed < 60; needed++) {
      for (let domains = 2; domains < 13; domains++) {
        let size = needed;
        while (size - Math.ceil(size / domains) < needed) size++;
        const found = minimumPoolSize(
          needed,
          FailureDomain.DataCentre,
          domains,
        );
        assert.equal(found, size, `${needed} over ${domains}`);
      }
    }
  });

  it('holds more spares if moves have a higher weight and pools are larger', () => {
    const spares = (size: number, buffer: number, move: number) =>
      costEffectiveSpares(size, {buffer, move}, REBALANCE_DEFAULTS);
    assert.equal(spares(8, 4, 1), 0);
    assert.equal(spares(8, 1, 4), 0);
    assert.ok(spares(130, 1, 4) > spares(130, 4, 1));
  });
});
