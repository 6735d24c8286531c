import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SeededRandom, VirtualClock} from '@gentiandoor/kernel';
import type {PoolSlot, SlotRequest, SlotRefusal} from '../pool-slot.js';
import {SpillReason} from '../slot-pool.js';
import {createStandardPool} from '../standard-pool.js';
import type {RoutableTarget} from '../target-entry.js';
import {OutcomeKind} from '../target-outcome.js';
import {NoTeamQuota} from '../team-quota.js';
import {QueueRejectionReason} from '../request-queue.js';
import {WorkLength} from '../work-length.js';

const LATENCY = 50;

function target(
  id: string,
  changes: Partial<RoutableTarget> = {},
): RoutableTarget {
  return {
    id,
    address: id,
    rack: 'rack',
    isSameDataCentre: true,
    slots: 2,
    connections: 64,
    ...changes,
  };
}

function build(targets: readonly RoutableTarget[]) {
  const clock = new VirtualClock();
  const spills: SpillReason[] = [];
  const pool = createStandardPool({
    clock,
    random: new SeededRandom(3),
    incarnation: 'entry-1',
    quota: new NoTeamQuota(),
    onSpill: reason => spills.push(reason),
    onWaitingStarted: () => {},
    onEjectionStateChange: () => {},
  });
  pool.setTargets(targets);
  const requestSlot = (changes: Partial<SlotRequest> = {}) => {
    const result: {slot?: PoolSlot; refusal?: SlotRefusal} = {};
    const now = clock.monotonicMilliseconds();
    const item: SlotRequest = {
      service: 'counter-preview',
      queueLimit: 64,
      work: WorkLength.Short,
      team: {name: '', weight: 1, slots: 1000, urgent: false},
      caller: '',
      idempotent: true,
      enqueuedAt: now,
      deadline: now + 1000,
      grant: slot => {
        assert.ok(!result.slot && !result.refusal, 'answered twice');
        result.slot = slot;
      },
      refuse: refusal => {
        assert.ok(!result.slot && !result.refusal, 'answered twice');
        result.refusal = refusal;
      },
      ...changes,
    };
    pool.acquire(item);
    return {result, item};
  };
  return {clock, pool, requestSlot, spills};
}

function answer(
  clock: VirtualClock,
  slot: PoolSlot | undefined,
  kind = OutcomeKind.Succeeded,
) {
  assert.ok(slot);
  clock.advance(LATENCY);
  slot.report({kind, latencyMilliseconds: LATENCY, leaving: false});
  slot.release();
}

describe('SlotPool', () => {
  describe('with a free slot', () => {
    it('grants at once, but never more than the slots', () => {
      const {requestSlot, pool} = build([target('a'), target('b')]);
      const granted = [1, 2, 3, 4, 5].map(() => requestSlot().result);
      assert.equal(granted.filter(({slot}) => slot).length, 4);
      assert.equal(pool.waiting, 1);
    });
  });

  describe('with a waiting request', () => {
    it('grants it the slot that is released', () => {
      const {requestSlot, clock} = build([target('a', {slots: 1})]);
      const first = requestSlot().result;
      const second = requestSlot().result;
      assert.ok(!('slot' in second));
      answer(clock, first.slot);
      assert.equal(second.slot?.target.id, 'a');
    });

    it('refuses it at its deadline, with a time to retry after', () => {
      const {requestSlot, clock} = build([target('a', {slots: 1})]);
      requestSlot();
      const {result} = requestSlot();
      clock.advance(1100);
      assert.equal(
        result.refusal?.reason,
        QueueRejectionReason.DeadlineExceeded,
      );
      assert.ok((result.refusal?.retryAfterSeconds ?? 0) >= 1);
    });

    // The wait expires while the slot it waits for is released. The caller must get exactly one of
    // the two: a refusal that says "not run", or the slot. With both, "not run" would be false.
    it('either grants or refuses, never both', () => {
      const {requestSlot, clock, pool} = build([target('a', {slots: 1})]);
      const first = requestSlot().result;
      const {result, item} = requestSlot();
      clock.advance(1100);
      answer(clock, first.slot);
      assert.ok(result.refusal && !result.slot);
      assert.equal(pool.cancel(item), false);
    });

    it('removes it when its caller gives up', () => {
      const {requestSlot, clock, pool} = build([target('a', {slots: 1})]);
      const first = requestSlot().result;
      const {result, item} = requestSlot();
      const third = requestSlot().result;
      assert.equal(pool.cancel(item), true);
      answer(clock, first.slot);
      assert.ok(!result.slot && !result.refusal);
      assert.ok(third.slot);
    });
  });

  describe('with a slot released twice', () => {
    it('counts the release once', () => {
      const {requestSlot, pool} = build([target('a', {slots: 1})]);
      const {slot} = requestSlot().result;
      slot?.release();
      slot?.release();
      assert.equal(pool.inFlight, 0);
    });
  });

  describe('with no target', () => {
    it('refuses at once', () => {
      const {result} = build([]).requestSlot();
      assert.ok(result.refusal);
      assert.equal(result.refusal.reason, undefined);
    });
  });

  // A target is reported as leaving after it was selected but before the first byte is sent: the
  // new work would still be sent to it and be cut off when it stops. The check at dispatch prevents
  // this.
  describe('with a target that leaves after it was selected', () => {
    it('detects at dispatch that the list no longer contains it', () => {
      const {requestSlot, pool} = build([target('a'), target('b')]);
      const {slot} = requestSlot().result;
      assert.equal(slot?.isRoutable(), true);
      pool.setTargets([target(slot?.target.id === 'a' ? 'b' : 'a')]);
      assert.equal(slot?.isRoutable(), false);
    });

    it('detects that the target itself or a peer reported it as leaving', () => {
      const {requestSlot, pool} = build([target('a')]);
      const {slot} = requestSlot().result;
      pool.onTargetLeaving('a');
      assert.equal(slot?.isRoutable(), false);
      assert.deepEqual(pool.leavingTargets(), ['a']);
      assert.ok(requestSlot().result.refusal);
    });
  });

  // The list omits a VM and contains it again while exchanges are in flight there. If the count
  // restarted at zero, the daemon would use its slots a second time, and the target would respond
  // busy or run too much.
  describe('with a target that is removed and returns with exchanges in flight', () => {
    it('still counts them', () => {
      const {requestSlot, pool} = build([target('a')]);
      const slots = [requestSlot().result.slot, requestSlot().result.slot];
      pool.setTargets([]);
      pool.setTargets([target('a')]);
      const third = requestSlot().result;
      assert.ok(!('slot' in third));
      slots[0]?.release();
      assert.equal(third.slot?.target.id, 'a');
      assert.equal(slots[1]?.isRoutable(), true);
    });
  });

  describe('with targets in two data centres', () => {
    it('uses its own data centre until it is full, and reports why it spills', () => {
      const {requestSlot, spills} = build([
        target('near'),
        target('far', {isSameDataCentre: false}),
      ]);
      const ids = [1, 2, 3].map(() => requestSlot().result.slot?.target.id);
      assert.deepEqual(ids, ['near', 'near', 'far']);
      assert.deepEqual(spills, [SpillReason.DataCentreFull]);
    });

    it('reports that no target is left in its own data centre', () => {
      const {requestSlot, spills} = build([
        target('far', {isSameDataCentre: false}),
      ]);
      requestSlot();
      assert.deepEqual(spills, [SpillReason.DataCentreUnavailable]);
    });
  });

  describe('with a target that fails every request', () => {
    function withBadTarget() {
      const built = build([
        target('bad', {slots: 8}),
        target('b', {slots: 8}),
        target('c', {slots: 8}),
        target('d', {slots: 8}),
      ]);
      const send = (idempotent: boolean) => {
        const {slot} = built.requestSlot({idempotent}).result;
        const isBad = slot?.target.id === 'bad';
        answer(
          built.clock,
          slot,
          isBad ? OutcomeKind.ServerError : OutcomeKind.Succeeded,
        );
        return slot?.target.id;
      };
      for (let count = 0; count < 200; count++) {
        send(true);
      }
      return {...built, send};
    }

    it('sends it almost nothing', () => {
      const {send} = withBadTarget();
      let bad = 0;
      for (let count = 0; count < 1000; count++) {
        if (send(true) === 'bad') bad++;
      }
      assert.ok(bad <= 10, `${bad} of 1000`);
    });

    it('tests it again only with requests that can be repeated', () => {
      const {send} = withBadTarget();
      for (let count = 0; count < 1000; count++) {
        assert.notEqual(send(false), 'bad');
      }
    });
  });

  describe('with a request that failed on a target', () => {
    it('selects another target, or the same if it is the only one', () => {
      const {requestSlot} = build([
        target('a', {slots: 8}),
        target('b', {slots: 8}),
      ]);
      for (let count = 0; count < 8; count++) {
        const {slot} = requestSlot({tried: new Set(['a'])}).result;
        assert.equal(slot?.target.id, 'b');
      }
      assert.equal(
        requestSlot({tried: new Set(['a'])}).result.slot?.target.id,
        'a',
      );
    });
  });

  describe('with slow targets', () => {
    function runAt(built: ReturnType<typeof build>, slow: readonly string[]) {
      const {slot} = built.requestSlot().result;
      assert.ok(slot);
      const isSlow = slow.includes(slot.target.id);
      const latencyMilliseconds = isSlow ? 40 * LATENCY : LATENCY;
      built.clock.advance(latencyMilliseconds);
      const kind = OutcomeKind.Succeeded;
      slot.report({kind, latencyMilliseconds, leaving: false});
      slot.release();
    }

    it('waits for a fast target rather than use a slow one\u2019s free slot', () => {
      const built = build([target('slow'), target('fast')]);
      const {requestSlot, clock} = built;
      for (let count = 0; count < 60; count++) runAt(built, ['slow']);
      const slots = [1, 2].map(() => requestSlot().result.slot);
      assert.ok(slots.every(slot => slot?.target.id === 'fast'));
      const third = requestSlot().result;
      assert.ok(!('slot' in third));
      answer(clock, slots[0]);
      assert.equal(third.slot?.target.id, 'fast');
    });

    // A dependency of all targets becomes slow. Their estimates rise at once and the mean of the
    // pool later: each target looks slow compared with the pool, and nothing would be sent to any
    // of them.
    it('uses them when all of them are', () => {
      const built = build([target('a'), target('b'), target('c')]);
      for (let count = 0; count < 200; count++) runAt(built, []);
      for (let count = 0; count < 20; count++) runAt(built, ['a', 'b', 'c']);
    });
  });
});
