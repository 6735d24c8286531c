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

const MAXIMUM_WAIT_MILLISECONDS = 1000;
const SLOT_MILLISECONDS = 50;

function team(name: string, overrides: Partial<TeamPolicy> = {}): TeamPolicy {
  return {name, weight: 1, slots: 1000, urgent: false, ...overrides};
}

function queuedRequest(changes: Partial<QueuedRequest> = {}): QueuedRequest {
  const enqueuedAt = changes.enqueuedAt ?? 0;
  return {
    service: 'counter-preview',
    queueLimit: 64,
    work: WorkLength.Short,
    team: team('counter'),
    caller: 'tailor',
    enqueuedAt,
    deadline: enqueuedAt + MAXIMUM_WAIT_MILLISECONDS,
    ...changes,
  };
}

/** Builds the release rate of a pool with `slots` exchanges of 50 ms in flight. */
function busyReleaseRate(slots: number): SlotReleaseRate {
  const releaseRate = new SlotReleaseRate();
  for (let count = 0; count < slots; count++) {
    releaseRate.onStart(WorkLength.Short);
    releaseRate.onAnswered(WorkLength.Short, SLOT_MILLISECONDS);
  }
  return releaseRate;
}

function build(
  slots = 8,
  policy: WorkLengthPolicy = new EqualWorkLengthPolicy(),
) {
  return new FairQueue<QueuedRequest>(busyReleaseRate(slots), policy);
}

function dequeueAll(queue: FairQueue<QueuedRequest>, now = 0): QueuedRequest[] {
  const order: QueuedRequest[] = [];
  for (;;) {
    const item = queue.dequeue(now, () => true);
    if (!item) return order;
    order.push(item);
  }
}

describe('FairQueue', () => {
  describe('with one caller that sends most requests', () => {
    it('serves the callers of a team in turn', () => {
      const queue = build();
      for (let count = 0; count < 10; count++)
        queue.enqueue(queuedRequest({caller: 'heavy'}), 0);
      queue.enqueue(queuedRequest({caller: 'light'}), 0);
      const order = dequeueAll(queue).map(item => item.caller);
      assert.ok(order.indexOf('light') <= 1, order.join());
    });

    it('evicts its newest request when the queue is full', () => {
      const queue = build(64);
      for (let count = 0; count < 64; count++)
        queue.enqueue(queuedRequest({caller: 'heavy'}), 0);
      const light = queuedRequest({caller: 'light'});
      const rejections = queue.enqueue(light, 0);
      assert.deepEqual(
        rejections.map(({item, reason}) => [item.caller, reason]),
        [['heavy', QueueRejectionReason.Full]],
      );
      assert.equal(queue.length, 64);
      assert.equal(queue.remove(light), true);
    });
  });

  describe('with one team that sends most requests', () => {
    it('serves teams by weight', () => {
      const queue = build(64);
      for (let count = 0; count < 30; count++) {
        queue.enqueue(
          queuedRequest({team: team('one'), caller: `a${count}`}),
          0,
        );
        queue.enqueue(
          queuedRequest({team: team('two', {weight: 2}), caller: `b${count}`}),
          0,
        );
      }
      const first = dequeueAll(queue).slice(0, 30);
      const two = first.filter(item => item.team.name === 'two').length;
      assert.equal(two, 20);
    });

    it('gives a team no credit for the time it was absent', () => {
      const queue = build(64);
      const busy = team('busy');
      for (let count = 0; count < 40; count++)
        queue.enqueue(queuedRequest({team: busy}), 0);
      for (let count = 0; count < 20; count++) queue.dequeue(0, () => true);
      for (let count = 0; count < 10; count++)
        queue.enqueue(queuedRequest({team: team('late')}), 0);
      const next = dequeueAll(queue).slice(0, 10);
      const late = next.filter(item => item.team.name === 'late').length;
      assert.equal(late, 5);
    });
  });

  describe('with urgent work', () => {
    const urgent = team('rescue', {urgent: true});

    it('serves it first', () => {
      const queue = build();
      queue.enqueue(queuedRequest(), 0);
      queue.enqueue(queuedRequest({team: urgent}), 0);
      assert.equal(queue.dequeue(0, () => true)?.team.name, 'rescue');
    });

    it('serves one other request in eight during a flood of urgent work', () => {
      const queue = build(64);
      for (let count = 0; count < 40; count++)
        queue.enqueue(queuedRequest({team: urgent, service: 'rescue'}), 0);
      for (let count = 0; count < 3; count++) queue.enqueue(queuedRequest(), 0);
      const order = dequeueAll(queue).map(item => item.team.name);
      assert.equal(order.indexOf('counter'), 7);
      assert.equal(
        order.slice(0, 24).filter(name => name === 'counter').length,
        3,
      );
    });
  });

  describe('with more requests than can be served in time', () => {
    it('rejects a request on entry', () => {
      const queue = build(1);
      let rejections = 0;
      for (let count = 0; count < 64; count++)
        rejections += queue.enqueue(queuedRequest(), 0).length;
      // One slot of 50 ms serves 20 in the second for which they may wait.
      assert.equal(queue.length, 19);
      assert.equal(rejections, 45);
    });

    it('rejects a queued request later if its wait turns out longer', () => {
      const queue = build();
      const item = queuedRequest();
      queue.enqueue(item, 0);
      assert.deepEqual(queue.removeExpired(MAXIMUM_WAIT_MILLISECONDS - 1), []);
      assert.deepEqual(queue.removeExpired(MAXIMUM_WAIT_MILLISECONDS), [
        {item, reason: QueueRejectionReason.DeadlineExceeded},
      ]);
      assert.equal(queue.remove(item), false);
    });
  });

  // Requests arrive without end at four times the capacity of the targets. With a limit on length
  // only, every caller waits for the whole queue: responses are late and the queue never shrinks. A
  // team that has been waiting for longer than a burst may last is limited to the time of two
  // exchanges.
  describe('with a standing queue', () => {
    function buildStandingQueue() {
      const queue = build(8);
      queue.enqueue(queuedRequest({deadline: 10_000}), 0);
      return queue;
    }

    it('rejects requests that would wait for more than two exchanges', () => {
      const queue = buildStandingQueue();
      const now = MAXIMUM_WAIT_MILLISECONDS + 1;
      const reasons: QueueRejectionReason[] = [];
      for (let count = 0; count < 32; count++) {
        const rejections = queue.enqueue(queuedRequest({enqueuedAt: now}), now);
        reasons.push(...rejections.map(({reason}) => reason));
      }
      assert.equal(queue.length, 16);
      assert.ok(
        reasons.every(reason => reason === QueueRejectionReason.StandingQueue),
      );
    });

    it('does not shorten the wait of another team', () => {
      const queue = buildStandingQueue();
      const now = MAXIMUM_WAIT_MILLISECONDS + 1;
      for (let count = 0; count < 32; count++)
        queue.enqueue(queuedRequest({enqueuedAt: now}), now);
      const other = {team: team('crest'), enqueuedAt: now};
      for (let count = 0; count < 16; count++)
        assert.deepEqual(queue.enqueue(queuedRequest(other), now), []);
    });
  });

  describe('with long work that may not start', () => {
    const closed: WorkLengthPolicy = {
      mayStart: work => work === WorkLength.Short,
      preferred: () => WorkLength.Long,
      onStart: () => {},
    };

    it('serves the short work behind it', () => {
      const queue = build(8, closed);
      queue.enqueue(queuedRequest({work: WorkLength.Long}), 0);
      queue.enqueue(queuedRequest(), 0);
      assert.equal(queue.dequeue(0, () => true)?.work, WorkLength.Short);
      assert.equal(
        queue.dequeue(0, () => true),
        undefined,
      );
    });
  });

  describe('with a team that may not start', () => {
    it('serves the next team', () => {
      const queue = build();
      queue.enqueue(queuedRequest({team: team('bounded')}), 0);
      queue.enqueue(queuedRequest({team: team('free')}), 0);
      const item = queue.dequeue(0, ({team: {name}}) => name !== 'bounded');
      assert.equal(item?.team.name, 'free');
    });
  });
});
