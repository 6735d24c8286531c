import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {LinearWeightRamp} from '../weight-ramp.js';

describe('LinearWeightRamp', () => {
  it('gives a target present from the start its full weight', () => {
    assert.equal(new LinearWeightRamp().weight('vm', 0), 1);
  });

  describe('with a target that is added', () => {
    it('starts at a tenth and reaches the full weight after ten seconds', () => {
      const ramp = new LinearWeightRamp();
      ramp.onAdded('vm', 0);
      assert.equal(ramp.weight('vm', 0), 0.1);
      assert.ok(Math.abs(ramp.weight('vm', 5000) - 0.55) < 1e-9);
      assert.equal(ramp.weight('vm', 10_000), 1);
    });
  });

  describe('with a target that comes and goes', () => {
    it('doubles the ramp with each return, up to a maximum', () => {
      const ramp = new LinearWeightRamp();
      const times: number[] = [];
      for (let now = 0; now < 60_000; now += 10_000) {
        ramp.onAdded('vm', now);
        let end = now;
        while (ramp.weight('vm', end) < 1) end += 100;
        times.push(end - now);
        ramp.onRemoved('vm', now + 5000);
      }
      assert.deepEqual(
        times,
        [10, 20, 40, 80, 80, 80].map(n => n * 1000),
      );
    });

    it('resets after two minutes without a change', () => {
      const ramp = new LinearWeightRamp();
      ramp.onRemoved('vm', 0);
      ramp.onAdded('vm', 1000);
      ramp.onRemoved('vm', 200_000);
      ramp.onAdded('vm', 400_000);
      assert.equal(ramp.weight('vm', 410_000), 1);
    });
  });
});
