import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ArrivalRateEstimator} from '../arrival-rate-estimator.js';
import {
  DEFAULT_POOL_PLAN,
  planPools,
  type PlannedPool,
  type PlannedVm,
  type PoolPlanOptions,
} from '../pool-plan.js';
import {vmsForSpreadConstraint} from '../spread-constraint.js';

const VM_MILLICORES = 64_000;

function vms(
  prefix: string,
  count: number,
  idleMilliseconds: number | undefined,
): PlannedVm[] {
  return Array.from({length: count}, (_, index) => ({
    name: `${prefix}-${index}`,
    millicores: VM_MILLICORES,
    idleMilliseconds,
    isCordoned: false,
    usedMillicores: 0,
  }));
}

function pool(differences: Partial<PlannedPool>): PlannedPool {
  return {
    service: 'quotes',
    standby: false,
    usedMillicores: 0,
    waitingMillicores: 0,
    waitingMilliseconds: 0,
    offeredLoadMillicores: 0,
    standardErrorMillicores: 0,
    spreadConstraintVms: 0,
    incomingVms: 0,
    usableVms: 0,
    vms: [],
    vmMillicores: VM_MILLICORES,
    ...differences,
  };
}

const STEP_MILLISECONDS = 100;
const TURN_MILLISECONDS = 6_000;
const LEAD_MILLISECONDS = 2_000;
const TURN_VMS = 100;
/** What a job takes a VM for, and what it was expected to. */
const JOB_MILLISECONDS = 1_300;
const ESTIMATE_MILLISECONDS = 800;
/** A job is late when it waits for longer than this. */
const PATIENCE_MILLISECONDS = 500;

/** A pool of six VMs through a turn that begins at once, with VMs that come two seconds after their order. */
function playTurn(options: PoolPlanOptions): {late: number; vmSeconds: number} {
  const coming: number[] = [];
  const running: number[] = [];
  const meter = new ArrivalRateEstimator();
  let waiting: number[] = [];
  let late = 0;
  let vmSeconds = 0;
  let usable = 6;
  for (let now = 0; now < TURN_MILLISECONDS; now += STEP_MILLISECONDS) {
    usable += coming.filter(at => at === now).length;
    while (running.length > 0 && running[0] <= now) running.shift();
    const jobs = (TURN_VMS * STEP_MILLISECONDS) / 1_000;
    for (let job = 0; job < jobs; job++) {
      waiting.push(now);
      meter.observe(VM_MILLICORES * ESTIMATE_MILLISECONDS, now);
    }
    const inTime = (at: number) => now - at <= PATIENCE_MILLISECONDS;
    // No VM that is ordered for it can be there for what comes before.
    const couldBe = (at: number) =>
      at > LEAD_MILLISECONDS - PATIENCE_MILLISECONDS;
    late += waiting.filter(at => couldBe(at) && !inTime(at)).length;
    waiting = waiting.filter(inTime);
    while (waiting.length > 0 && running.length < usable) {
      waiting.shift();
      running.push(now + JOB_MILLISECONDS);
    }
    const turn = pool({
      usableVms: usable,
      incomingVms: coming.filter(at => at > now).length,
      usedMillicores: running.length * VM_MILLICORES,
      waitingMillicores: waiting.length * VM_MILLICORES,
      offeredLoadMillicores: meter.offeredLoadMillicores(now),
      standardErrorMillicores: meter.standardErrorMillicores(now),
    });
    const spare = pool({
      service: 'spare',
      standby: true,
      vms: vms(`spare-${now}`, 250 - usable - turn.incomingVms, 60_000),
    });
    const {moves} = planPools([turn, spare], options);
    coming.push(...moves.map(() => now + LEAD_MILLISECONDS));
    vmSeconds += (usable * STEP_MILLISECONDS) / 1_000;
  }
  return {late, vmSeconds};
}

const SPARE = pool({
  service: 'spare',
  standby: true,
  vms: vms('spare', 10, 60_000),
});

describe('vmsForSpread', () => {
  const step = {waiting: 4, running: 8, maximumPerWorker: 2};

  it('counts what runs and what waits of a step, at so many on a VM', () => {
    assert.equal(vmsForSpreadConstraint([step]), 6);
    assert.equal(vmsForSpreadConstraint([{...step, waiting: 3}]), 6);
  });

  it('is the need of the widest step, since steps share VMs', () => {
    assert.equal(
      vmsForSpreadConstraint([step, {...step, maximumPerWorker: 1}]),
      12,
    );
  });

  it('is nothing where nothing waits or all may share a VM', () => {
    assert.equal(vmsForSpreadConstraint([{...step, waiting: 0}]), 0);
    assert.equal(vmsForSpreadConstraint([{...step, maximumPerWorker: 0}]), 0);
    assert.equal(vmsForSpreadConstraint([]), 0);
  });
});

describe('planPools', () => {
  describe('at the start of a burst', () => {
    // Callers of the first second wait for a move's time when VMs are fetched only once all are
    // full. Work that arrives for five VMs is reason enough, before anything waits.
    it('fetches VMs before any work waits', () => {
      const quotes = pool({
        usableVms: 2,
        offeredLoadMillicores: 5 * VM_MILLICORES,
      });
      const {moves} = planPools([quotes, SPARE]);
      // Five for what arrives, three for what gathers until they come.
      const wanted =
        Math.ceil(8 * DEFAULT_POOL_PLAN.headroom) + DEFAULT_POOL_PLAN.spareVms;
      assert.equal(moves.length, wanted - 2);
      assert.ok(moves.every(move => move.to === 'quotes'));
    });

    // Jobs that ask for a whole VM each come a few a second. Two more than usual fetch VMs that are not needed by
    // the time they come, and each move ends what it was worth.
    it('fetches nothing more for what may be chance', () => {
      const quotes = pool({
        usableVms: 4,
        offeredLoadMillicores: 5 * VM_MILLICORES,
        standardErrorMillicores: 2 * VM_MILLICORES,
      });
      const wanted =
        Math.ceil(5 * DEFAULT_POOL_PLAN.headroom) + DEFAULT_POOL_PLAN.spareVms;
      assert.equal(planPools([quotes, SPARE]).moves.length, wanted - 4);
    });

    it('does not fetch again what is on its way', () => {
      const quotes = pool({
        usableVms: 2,
        incomingVms: 9,
        offeredLoadMillicores: 5 * VM_MILLICORES,
      });
      assert.deepEqual(planPools([quotes, SPARE]).moves, []);
    });
  });

  // A turn begins: from one moment to the next work for a hundred VMs arrives, and a pool has six. VMs take two
  // seconds to come. Fetched for what arrives alone, they never catch up with what has gathered before them, and
  // callers are late for as long as the turn lasts.
  describe('over the first six seconds of a turn', () => {
    it('serves more callers in time by fetching for what gathers as well', () => {
      const plain = {...DEFAULT_POOL_PLAN, catchUpMilliseconds: Infinity};
      const before = playTurn(plain);
      const after = playTurn(DEFAULT_POOL_PLAN);
      assert.ok(
        after.late < 0.5 * before.late,
        `${after.late} late, ${before.late} without`,
      );
      assert.ok(
        after.vmSeconds < 1.25 * before.vmSeconds,
        `${after.vmSeconds} VM seconds, ${before.vmSeconds} without`,
      );
    });
  });

  describe('when the turn passes to another queue', () => {
    // The next queue's callers wait while VMs of the last one are sent to the spare pool and
    // others are fetched from there: two moves in place of one.
    it('gives the idle VMs of the last queue to the next one', () => {
      const last = pool({
        service: 'last',
        usableVms: 7,
        vms: vms('last', 7, 400),
      });
      const next = pool({
        service: 'next',
        usableVms: 1,
        offeredLoadMillicores: 3 * VM_MILLICORES,
      });
      const {moves} = planPools([last, next, SPARE]);
      const given = moves.filter(move => move.to === 'next');
      // Five for the work and what gathers of it, with headroom six, the spare ones, less the one there:
      // the last queue has as many to give but for its own spare ones.
      assert.equal(given.length, 7);
      assert.equal(given.filter(move => move.from === 'last').length, 5);
    });

    it('sends no VM to the spare pool before it has idled for a move’s worth', () => {
      const last = pool({usableVms: 6, vms: vms('last', 6, 400)});
      assert.deepEqual(planPools([last, SPARE]).moves, []);
    });

    it('keeps the VMs that the pool wants', () => {
      const last = pool({usableVms: 6, vms: vms('last', 6, 5_000)});
      const {moves} = planPools([last, SPARE]);
      assert.equal(moves.length, 6 - DEFAULT_POOL_PLAN.spareVms);
    });
  });

  describe('with a little work that no worker may take', () => {
    // Long-running tasks, one on a worker at most, wait beside free room. Less than a VM's work never
    // made a difference to the size, so they waited for ever.
    it('fetches one VM after a while', () => {
      const quotes = pool({
        usableVms: 6,
        waitingMillicores: 5_000,
        waitingMilliseconds: DEFAULT_POOL_PLAN.maximumWaitMilliseconds,
      });
      const {moves} = planPools([quotes, SPARE]);
      assert.equal(moves.length, 1);
    });
  });

  describe('while the VMs go on with work that is too late', () => {
    // The next queue's callers all wait, since every VM is busy with a backlog that nobody waits for
    // any more. Its VMs must stop taking that work, so that they can go over.
    it('empties VMs of the late backlog for a queue that can be in time', () => {
      const late = pool({
        service: 'late',
        usableVms: 10,
        usedMillicores: 0,
        vms: vms('late', 10, undefined),
      });
      const next = pool({
        service: 'next',
        usableVms: 1,
        offeredLoadMillicores: 4 * VM_MILLICORES,
      });
      const {moves, cordon: empty} = planPools([late, next]);
      assert.deepEqual(moves, []);
      // Seven for the work and what gathers of it, with headroom eight: all that the pool has but its spare ones.
      assert.equal(empty.length, 10 - DEFAULT_POOL_PLAN.spareVms);
    });

    it('leaves them alone while nobody lacks VMs', () => {
      const late = pool({usableVms: 10, vms: vms('late', 10, undefined)});
      assert.deepEqual(planPools([late, SPARE]).cordon, []);
    });
  });

  // In a fleet of 250 VMs a turn needs a hundred and more; a part of them at a time comes too late for it.
  it('fetches as large a part of a large fleet', () => {
    const quotes = pool({offeredLoadMillicores: 120 * VM_MILLICORES});
    const spare = pool({
      service: 'spare',
      standby: true,
      vms: vms('spare', 200, 60_000),
    });
    assert.equal(planPools([quotes, spare]).moves.length, 100);
  });

  it('shares few VMs between queues that lack as many', () => {
    const lacking = (service: string) =>
      pool({service, offeredLoadMillicores: 20 * VM_MILLICORES});
    const {moves} = planPools([lacking('one'), lacking('two'), SPARE]);
    assert.equal(moves.filter(move => move.to === 'one').length, 5);
    assert.equal(moves.filter(move => move.to === 'two').length, 5);
  });

  describe('when a turn asks for more than the whole fleet', () => {
    const turn = pool({
      usableVms: 6,
      usedMillicores: 6 * VM_MILLICORES,
      waitingMillicores: 8 * VM_MILLICORES,
    });
    const atRest = pool({
      service: 'at-rest',
      usableVms: 2,
      vms: vms('at-rest', 2, 5_000),
    });

    // Callers of the turn wait while two VMs of each pool at rest idle, and none is off.
    it('takes a spare VM of a pool at rest, and leaves it one', () => {
      const {moves} = planPools([turn, atRest]);
      assert.deepEqual(
        moves.map(({from, to}) => ({from, to})),
        [{from: 'at-rest', to: 'quotes'}],
      );
    });

    it('leaves the spare VMs where they are while others are off', () => {
      const {moves} = planPools([
        turn,
        atRest,
        {...SPARE, vms: vms('off', 40, 0)},
      ]);
      assert.ok(moves.every(move => move.from === 'spare'));
    });

    it('leaves them for work that arrives and does not wait yet', () => {
      const rising = {
        ...turn,
        waitingMillicores: 0,
        offeredLoadMillicores: 9 * VM_MILLICORES,
      };
      assert.deepEqual(planPools([rising, atRest]).moves, []);
    });
  });

  it('never takes a VM twice', () => {
    const one = pool({
      service: 'one',
      offeredLoadMillicores: 20 * VM_MILLICORES,
    });
    const two = pool({
      service: 'two',
      offeredLoadMillicores: 20 * VM_MILLICORES,
    });
    const {moves} = planPools([one, two, SPARE]);
    assert.equal(new Set(moves.map(move => move.vm)).size, moves.length);
  });
});
