import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {LINEAR_EXPONENT, extrapolate, fitSlope} from '../capacity/slope.js';

const SIZES = [1000, 4000, 16_000, 31_000];

describe('fitSlope', () => {
  describe('with points on a line', () => {
    it('returns the line', () => {
      const slope = fitSlope(
        SIZES.map(size => ({size, value: 500 + 3 * size})),
      );
      assert.ok(Math.abs(slope.perUnit - 3) < 1e-9);
      assert.ok(Math.abs(slope.intercept - 500) < 1e-6);
      assert.ok(slope.error < 1e-9);
      assert.ok(Math.abs(extrapolate(slope, 62_000) - 186_500) < 1e-6);
    });
  });

  describe('with quadratic growth', () => {
    it('reports an exponent above linear', () => {
      const slope = fitSlope(SIZES.map(size => ({size, value: size * size})));
      assert.ok(slope.exponent > LINEAR_EXPONENT);
      assert.ok(slope.error > 0.05);
    });
  });

  describe('with quadratic growth behind a constant part', () => {
    it('reports an exponent above linear between the largest sizes', () => {
      const slope = fitSlope(
        SIZES.map(size => ({size, value: 1e8 + size * size})),
      );
      assert.ok(slope.exponent < LINEAR_EXPONENT);
      assert.ok(slope.endExponent > LINEAR_EXPONENT);
    });
  });
});
