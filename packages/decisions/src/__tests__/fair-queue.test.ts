import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  EqualWorkLengthPolicy,
  type WorkLengthPolicy,
} from '../work-length-policy.js';
import {SlotReleaseRate} from '../slot-release-rate.js';
import {FairQueue} from '../fair-queue.js';
import {
  QueueRejectionReason,
  type TeamPolicy,
  type QueuedRequest,
} from '../request-queue.js';
import {WorkLength} from '../work-length.js';

const LONGEST_WAIT = 1000;
const HOLD = 50;

function team(name: string, terms: Partial<TeamPolicy> = {}): TeamPolicy {
  return {name, weight: 1, slots: 1000, urgent: false, ...terms};
}

function waiter(changes: Partial<QueuedRequest> = {}): QueuedRequest {
  const enqueuedAt = changes.enqueuedAt ?? 0;
  return {
    service: 'counter-preview',
    queueLimit: 64,
    work: WorkLength.Short,
    team: team('counter'),
    caller: 'tailor',
    enqueuedAt: enqueuedAt,
    deadline: enqueuedAt + LONGEST_WAIT,
    ...changes,
  };
}

/** A pool with `slots` exchanges of 50 ms in flight. */
function busyDrain(slots: number): SlotReleaseRate {
  const drain = new SlotReleaseRate();
  for (let count = 0; count < slots; count++) {
    drain.onStart(WorkLength.Short);
    drain.onAnswered(WorkLength.Short, HOLD);
  }
  return drain;
}

function build(
  slots = 8,
  gate: WorkLengthPolicy = new EqualWorkLengthPolicy(),
) {
  return new FairQueue<QueuedRequest>(busyDrain(slots), gate);
}

function drainAll(queue: FairQueue<QueuedRequest>, now = 0): QueuedRequest[] {
  const order: QueuedRequest[] = [];
  for (;;) {
    const item = queue.dequeue(now, () => true);
    if (!item) return order;
    order.push(item);
  }
}

describe('FairQueue', () => {
  describe('with one caller that sends most', () => {
    it('takes callers of a team in turn', () => {
      const queue = build();
      for (let count = 0; count < 10; count++)
        queue.enqueue(waiter({caller: 'heavy'}), 0);
      queue.enqueue(waiter({caller: 'light'}), 0);
      const order = drainAll(queue).map(item => item.caller);
      assert.ok(order.indexOf('light') <= 1, order.join());
    });

    it('lets its newest give way when the line is full', () => {
      const queue = build(64);
      for (let count = 0; count < 64; count++)
        queue.enqueue(waiter({caller: 'heavy'}), 0);
      const light = waiter({caller: 'light'});
      const turned = queue.enqueue(light, 0);
      assert.deepEqual(
        turned.map(({item, reason}) => [item.caller, reason]),
        [['heavy', QueueRejectionReason.Full]],
      );
      assert.equal(queue.length, 64);
      assert.equal(queue.remove(light), true);
    });
  });

  describe('with one team that sends most', () => {
    it('serves teams by weight', () => {
      const queue = build(64);
      for (let count = 0; count < 30; count++) {
        queue.enqueue(waiter({team: team('one'), caller: `a${count}`}), 0);
        queue.enqueue(
          waiter({team: team('two', {weight: 2}), caller: `b${count}`}),
          0,
        );
      }
      const first = drainAll(queue).slice(0, 30);
      const two = first.filter(item => item.team.name === 'two').length;
      assert.equal(two, 20);
    });

    it('gives a team that was away no savings', () => {
      const queue = build(64);
      const busy = team('busy');
      for (let count = 0; count < 40; count++)
        queue.enqueue(waiter({team: busy}), 0);
      for (let count = 0; count < 20; count++) queue.dequeue(0, () => true);
      for (let count = 0; count < 10; count++)
        queue.enqueue(waiter({team: team('late')}), 0);
      const next = drainAll(queue).slice(0, 10);
      const late = next.filter(item => item.team.name === 'late').length;
      assert.equal(late, 5);
    });
  });

  describe('with urgent work', () => {
    const urgent = team('rescue', {urgent: true});

    it('serves it first', () => {
      const queue = build();
      queue.enqueue(waiter(), 0);
      queue.enqueue(waiter({team: urgent}), 0);
      assert.equal(queue.dequeue(0, () => true)?.team.name, 'rescue');
    });

    it('lets one in eight others through a flood of it', () => {
      const queue = build(64);
      for (let count = 0; count < 40; count++)
        queue.enqueue(waiter({team: urgent, service: 'rescue'}), 0);
      for (let count = 0; count < 3; count++) queue.enqueue(waiter(), 0);
      const order = drainAll(queue).map(item => item.team.name);
      assert.equal(order.indexOf('counter'), 7);
      assert.equal(
        order.slice(0, 24).filter(name => name === 'counter').length,
        3,
      );
    });
  });

  describe('with more than can be served in time', () => {
    it('turns a request away as it comes in', () => {
      const queue = build(1);
      let turned = 0;
      for (let count = 0; count < 64; count++)
        turned += queue.enqueue(waiter(), 0).length;
      // One slot of 50 ms serves 20 in the second that they may wait.
      assert.equal(queue.length, 19);
      assert.equal(turned, 45);
    });

    it('turns it away again when the wait turned out longer', () => {
      const queue = build();
      const item = waiter();
      queue.enqueue(item, 0);
      assert.deepEqual(queue.removeExpired(LONGEST_WAIT - 1), []);
      assert.deepEqual(queue.removeExpired(LONGEST_WAIT), [
        {item, reason: QueueRejectionReason.DeadlineExceeded},
      ]);
      assert.equal(queue.remove(item), false);
    });
  });

  // Requests come at four times what the targets can do, without end. With a bound on length only
  // every caller waits for the whole line: the answers come late and the line never gets shorter.
  // A team that has waited for longer than a burst may last is kept to two exchanges' time.
  describe('with a standing queue', () => {
    function standing() {
      const queue = build(8);
      queue.enqueue(waiter({deadline: 10_000}), 0);
      return queue;
    }

    it('turns away what would wait for more than two exchanges', () => {
      const queue = standing();
      const now = LONGEST_WAIT + 1;
      const reasons: QueueRejectionReason[] = [];
      for (let count = 0; count < 32; count++) {
        const turned = queue.enqueue(waiter({enqueuedAt: now}), now);
        reasons.push(...turned.map(({reason}) => reason));
      }
      assert.equal(queue.length, 16);
      assert.ok(
        reasons.every(reason => reason === QueueRejectionReason.StandingQueue),
      );
    });

    it('does not cut another team short', () => {
      const queue = standing();
      const now = LONGEST_WAIT + 1;
      for (let count = 0; count < 32; count++)
        queue.enqueue(waiter({enqueuedAt: now}), now);
      const other = {team: team('crest'), enqueuedAt: now};
      for (let count = 0; count < 16; count++)
        assert.deepEqual(queue.enqueue(waiter(other), now), []);
    });
  });

  describe('with long work that may not start', () => {
    const closed: WorkLengthPolicy = {
      mayStart: work => work === WorkLength.Short,
      preferred: () => WorkLength.Long,
      onStart: () => {},
    };

    it('goes on to short work behind it', () => {
      const queue = build(8, closed);
      queue.enqueue(waiter({work: WorkLength.Long}), 0);
      queue.enqueue(waiter(), 0);
      assert.equal(queue.dequeue(0, () => true)?.work, WorkLength.Short);
      assert.equal(
        queue.dequeue(0, () => true),
        undefined,
      );
    });
  });

  describe('with a team that may not start', () => {
    it('goes on to the next team', () => {
      const queue = build();
      queue.enqueue(waiter({team: team('bounded')}), 0);
      queue.enqueue(waiter({team: team('free')}), 0);
      const item = queue.dequeue(0, ({team: {name}}) => name !== 'bounded');
      assert.equal(item?.team.name, 'free');
    });
  });
});
