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
  const drain = new SlotReleaseRate();
  const gate = new ShortWorkReserve(clock, drain, () => CAPACITY);
  const start = (work: WorkLength) => {
    drain.onStart(work);
    gate.onStart();
  };
  const startLong = () => {
    let started = 0;
    while (gate.mayStart(Long)) {
      start(Long);
      started++;
    }
    return started;
  };
  return {clock, drain, gate, start, startLong};
}

describe('ShortReserve', () => {
  describe('with long work only', () => {
    it('keeps an eighth of the slots for the first short request', () => {
      assert.equal(build().startLong(), CAPACITY - 2);
    });
  });

  describe('with short work all the time', () => {
    it('leaves it its mean and a deviation', () => {
      const {clock, start, startLong} = build();
      for (let count = 0; count < 4; count++) start(Short);
      clock.advance(60_000);
      assert.equal(startLong(), CAPACITY - 6);
    });

    it('gives the reserve back when short work has gone', () => {
      const {clock, drain, gate, start, startLong} = build();
      for (let count = 0; count < 4; count++) start(Short);
      clock.advance(60_000);
      for (let count = 0; count < 4; count++) drain.onEnd(Short);
      gate.mayStart(Long);
      clock.advance(60_000);
      assert.equal(startLong(), CAPACITY - 2);
    });
  });

  describe('with short work in every slot', () => {
    it('lets long work go first until it has a quarter', () => {
      const {clock, gate, start, startLong} = build();
      for (let count = 0; count < CAPACITY; count++) start(Short);
      clock.advance(60_000);
      assert.equal(gate.preferred(), Long);
      assert.equal(startLong(), CAPACITY / 4);
      assert.equal(gate.preferred(), Short);
    });
  });

  it('never holds short work back', () => {
    const {gate, startLong} = build();
    startLong();
    assert.equal(gate.mayStart(Short), true);
  });
});
