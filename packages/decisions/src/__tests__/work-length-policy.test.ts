import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualClock} from '@gentiandoor/kernel';
import {ShortWorkReserve} from '../work-length-policy.js';
import {SlotReleaseRate} from '../slot-release-rate.js';
import {WorkLength} from '../work-length.js';

const CAPACITY = 16;
const {Short, Long} = WorkLength;

function build() {
  const clock = new VirtualClock();
  const releaseRate = new SlotReleaseRate();
  const policy = new ShortWorkReserve(clock, releaseRate, () => CAPACITY);
  const start = (work: WorkLength) => {
    releaseRate.onStart(work);
    policy.onStart();
  };
  const startLong = () => {
    let started = 0;
    while (policy.mayStart(Long)) {
      start(Long);
      started++;
    }
    return started;
  };
  return {clock, releaseRate, policy, start, startLong};
}

describe('ShortWorkReserve', () => {
  describe('with long work only', () => {
    it('reserves an eighth of the slots for the first short request', () => {
      assert.equal(build().startLong(), CAPACITY - 2);
    });
  });

  describe('with short work all the time', () => {
    it('reserves the mean of short work and one standard deviation', () => {
      const {clock, start, startLong} = build();
      for (let count = 0; count < 4; count++) start(Short);
      clock.advance(60_000);
      assert.equal(startLong(), CAPACITY - 6);
    });

    it('releases the reserve when short work has ended', () => {
      const {clock, releaseRate, policy, start, startLong} = build();
      for (let count = 0; count < 4; count++) start(Short);
      clock.advance(60_000);
      for (let count = 0; count < 4; count++) releaseRate.onEnd(Short);
      policy.mayStart(Long);
      clock.advance(60_000);
      assert.equal(startLong(), CAPACITY - 2);
    });
  });

  describe('with short work in every slot', () => {
    it('prefers long work until it has a quarter', () => {
      const {clock, policy, start, startLong} = build();
      for (let count = 0; count < CAPACITY; count++) start(Short);
      clock.advance(60_000);
      assert.equal(policy.preferred(), Long);
      assert.equal(startLong(), CAPACITY / 4);
      assert.equal(policy.preferred(), Short);
    });
  });

  it('never holds short work back', () => {
    const {policy, startLong} = build();
    startLong();
    assert.equal(policy.mayStart(Short), true);
  });
});
