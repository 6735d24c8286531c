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
  const ask = (changes: Partial<SlotRequest> = {}) => {
    const got: {slot?: PoolSlot; refusal?: SlotRefusal} = {};
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
        assert.ok(!got.slot && !got.refusal, 'answered twice');
        got.slot = slot;
      },
      refuse: refusal => {
        assert.ok(!got.slot && !got.refusal, 'answered twice');
        got.refusal = refusal;
      },
      ...changes,
    };
    pool.acquire(item);
    return {got, item};
  };
  return {clock, pool, ask, spills};
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
    it('grants at once, never more than the slots', () => {
      const {ask, pool} = build([target('a'), target('b')]);
      const granted = [1, 2, 3, 4, 5].map(() => ask().got);
      assert.equal(granted.filter(({slot}) => slot).length, 4);
      assert.equal(pool.waiting, 1);
    });
  });

  describe('with a request that waits', () => {
    it('grants it the slot that is given back', () => {
      const {ask, clock} = build([target('a', {slots: 1})]);
      const first = ask().got;
      const second = ask().got;
      assert.ok(!('slot' in second));
      answer(clock, first.slot);
      assert.equal(second.slot?.target.id, 'a');
    });

    it('turns it away at its deadline, with when to come again', () => {
      const {ask, clock} = build([target('a', {slots: 1})]);
      ask();
      const {got} = ask();
      clock.advance(1100);
      assert.equal(got.refusal?.reason, QueueRejectionReason.DeadlineExceeded);
      assert.ok((got.refusal?.retryAfterSeconds ?? 0) >= 1);
    });

    // The wait runs out while the slot it waits for comes free. The caller must get one of the two:
    // a refusal that says "not run", or the slot. With both, "not run" would be false.
    it('either grants or refuses, never both', () => {
      const {ask, clock, pool} = build([target('a', {slots: 1})]);
      const first = ask().got;
      const {got, item} = ask();
      clock.advance(1100);
      answer(clock, first.slot);
      assert.ok(got.refusal && !got.slot);
      assert.equal(pool.cancel(item), false);
    });

    it('gives the place up when its caller leaves', () => {
      const {ask, clock, pool} = build([target('a', {slots: 1})]);
      const first = ask().got;
      const {got, item} = ask();
      const third = ask().got;
      assert.equal(pool.cancel(item), true);
      answer(clock, first.slot);
      assert.ok(!got.slot && !got.refusal);
      assert.ok(third.slot);
    });
  });

  describe('with a slot given back twice', () => {
    it('counts it once', () => {
      const {ask, pool} = build([target('a', {slots: 1})]);
      const {slot} = ask().got;
      slot?.release();
      slot?.release();
      assert.equal(pool.inFlight, 0);
    });
  });

  describe('with no target', () => {
    it('refuses at once', () => {
      const {got} = build([]).ask();
      assert.ok(got.refusal);
      assert.equal(got.refusal.reason, undefined);
    });
  });

  // A target is chosen and, before the first byte goes out, a sign of leaving comes: the new work
  // would still go to it, and be cut when it stops. The question at dispatch catches it.
  describe('with a target that leaves after it was chosen', () => {
    it('says so at dispatch when the list takes it out', () => {
      const {ask, pool} = build([target('a'), target('b')]);
      const {slot} = ask().got;
      assert.equal(slot?.isRoutable(), true);
      pool.setTargets([target(slot?.target.id === 'a' ? 'b' : 'a')]);
      assert.equal(slot?.isRoutable(), false);
    });

    it('says so when the target itself or a peer said it', () => {
      const {ask, pool} = build([target('a')]);
      const {slot} = ask().got;
      pool.onTargetLeaving('a');
      assert.equal(slot?.isRoutable(), false);
      assert.deepEqual(pool.leavingTargets(), ['a']);
      assert.ok(ask().got.refusal);
    });
  });

  // The list drops a VM and shows it again while exchanges run there. Counted from none, the daemon
  // would send it its slots once more, and the target would answer busy or run too much.
  describe('with a target that goes and returns with exchanges in flight', () => {
    it('still counts them', () => {
      const {ask, pool} = build([target('a')]);
      const slots = [ask().got.slot, ask().got.slot];
      pool.setTargets([]);
      pool.setTargets([target('a')]);
      const third = ask().got;
      assert.ok(!('slot' in third));
      slots[0]?.release();
      assert.equal(third.slot?.target.id, 'a');
      assert.equal(slots[1]?.isRoutable(), true);
    });
  });

  describe('with targets in two data centres', () => {
    it('uses the near ones until they are full, and says why it spills', () => {
      const {ask, spills} = build([
        target('near'),
        target('far', {isSameDataCentre: false}),
      ]);
      const ids = [1, 2, 3].map(() => ask().got.slot?.target.id);
      assert.deepEqual(ids, ['near', 'near', 'far']);
      assert.deepEqual(spills, [SpillReason.DataCentreFull]);
    });

    it('says when no near one is left', () => {
      const {ask, spills} = build([target('far', {isSameDataCentre: false})]);
      ask();
      assert.deepEqual(spills, [SpillReason.DataCentreUnavailable]);
    });
  });

  describe('with a target that fails everything', () => {
    function withBadTarget() {
      const built = build([
        target('bad', {slots: 8}),
        target('b', {slots: 8}),
        target('c', {slots: 8}),
        target('d', {slots: 8}),
      ]);
      const send = (idempotent: boolean) => {
        const {slot} = built.ask({idempotent}).got;
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

    it('sends it next to nothing', () => {
      const {send} = withBadTarget();
      let bad = 0;
      for (let count = 0; count < 1000; count++) {
        if (send(true) === 'bad') bad++;
      }
      assert.ok(bad <= 10, `${bad} of 1000`);
    });

    it('tries it again with requests that can be repeated only', () => {
      const {send} = withBadTarget();
      for (let count = 0; count < 1000; count++) {
        assert.notEqual(send(false), 'bad');
      }
    });
  });

  describe('with a request that failed on a target', () => {
    it('sends it to another, or to the same when it is the only one', () => {
      const {ask} = build([target('a', {slots: 8}), target('b', {slots: 8})]);
      for (let count = 0; count < 8; count++) {
        const {slot} = ask({tried: new Set(['a'])}).got;
        assert.equal(slot?.target.id, 'b');
      }
      assert.equal(ask({tried: new Set(['a'])}).got.slot?.target.id, 'a');
    });
  });

  describe('with slow targets', () => {
    function runAt(built: ReturnType<typeof build>, slow: readonly string[]) {
      const {slot} = built.ask().got;
      assert.ok(slot);
      const isSlow = slow.includes(slot.target.id);
      const latencyMilliseconds = isSlow ? 40 * LATENCY : LATENCY;
      built.clock.advance(latencyMilliseconds);
      const kind = OutcomeKind.Succeeded;
      slot.report({kind, latencyMilliseconds, leaving: false});
      slot.release();
    }

    it('waits for a fast one rather than take a slow one\u2019s free slot', () => {
      const built = build([target('slow'), target('fast')]);
      const {ask, clock} = built;
      for (let count = 0; count < 60; count++) runAt(built, ['slow']);
      const slots = [1, 2].map(() => ask().got.slot);
      assert.ok(slots.every(slot => slot?.target.id === 'fast'));
      const third = ask().got;
      assert.ok(!('slot' in third));
      answer(clock, slots[0]);
      assert.equal(third.slot?.target.id, 'fast');
    });

    // What all targets call gets slow. Their estimates rise at once, the mean of the pool later:
    // each target looks slow beside the pool, and nothing would be sent to any of them.
    it('uses them when all of them are', () => {
      const built = build([target('a'), target('b'), target('c')]);
      for (let count = 0; count < 200; count++) runAt(built, []);
      for (let count = 0; count < 20; count++) runAt(built, ['a', 'b', 'c']);
    });
  });
});
