import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualClock} from '@gentiandoor/kernel';
import {
  emptyFleetState,
  WaveState,
  type FleetState,
} from '@gentiandoor/shared-state';
import {WaveForecasts} from '../wave-forecasts.js';

const MINUTE = 60_000;
const TOTAL = 400;

class ForecastCase {
  readonly clock = new VirtualClock();
  readonly forecasts = new WaveForecasts({clock: this.clock});
  readonly state: FleetState = emptyFleetState({});

  /** Sets how many VMs of the wave have ended and are under way, and lets a round pass. */
  observe(done: number, active = 0): void {
    this.state.waves.set('wave-1', {
      id: 'wave-1',
      reason: 'kernel update',
      startedBy: 'moana',
      startedAt: 0,
      scope: {},
      state: WaveState.Running,
      stateReason: '',
      heldByPlanner: false,
      total: TOTAL,
      remaining: TOTAL - done - active,
      active,
      done,
      failed: 0,
      handedOver: 0,
      resumedAt: {offset: 0, done: 0, failures: 0},
    });
    this.forecasts.observe(this.state);
  }

  get remaining(): number | undefined {
    return this.forecasts.remainingMilliseconds('wave-1');
  }
}

describe('the forecast of a wave', () => {
  describe('before a VM has ended', () => {
    it('is not known', () => {
      const test = new ForecastCase();
      assert.equal(test.remaining, undefined);
      test.observe(0, 2);
      assert.equal(test.remaining, undefined);
      test.clock.advance(5 * MINUTE);
      test.observe(0, 2);
      assert.equal(test.remaining, undefined);
    });
  });

  describe('at a steady pace', () => {
    it('is what is left, with what is under way, at that pace', () => {
      const test = new ForecastCase();
      for (let minute = 0; minute <= 10; minute++) {
        test.observe(4 * minute, 4);
        test.clock.advance(MINUTE);
      }
      assert.equal(test.remaining, ((TOTAL - 40) / 4) * MINUTE);
    });
  });

  describe('with a round every second', () => {
    it('follows the count at once and keeps about a sample a minute', () => {
      const test = new ForecastCase();
      for (let second = 0; second <= 600; second++) {
        test.observe(Math.floor(second / 6));
        test.clock.advance(1000);
      }
      assert.equal(test.remaining, (TOTAL - 100) * 6000);
    });
  });

  describe('when the pace changes', () => {
    // The first VMs go one at a time. A forecast over the whole wave would be too long for hours.
    it('follows the last hour only', () => {
      const test = new ForecastCase();
      let done = 0;
      for (let minute = 0; minute < 120; minute++) {
        done += minute < 60 ? 0 : 5;
        test.observe(done);
        test.clock.advance(MINUTE);
      }
      assert.equal(test.remaining, ((TOTAL - 300) / 5) * MINUTE);
    });
  });

  describe('at the end', () => {
    it('is 0 also an hour after the last VM', () => {
      const test = new ForecastCase();
      for (let minute = 0; minute < 120; minute++) {
        test.observe(TOTAL);
        test.clock.advance(MINUTE);
      }
      assert.equal(test.remaining, 0);
    });

    it('is not known any more when the wave is forgotten', () => {
      const test = new ForecastCase();
      test.observe(0);
      test.clock.advance(MINUTE);
      test.observe(4);
      assert.notEqual(test.remaining, undefined);
      test.state.waves.delete('wave-1');
      test.forecasts.observe(test.state);
      assert.equal(test.remaining, undefined);
    });
  });
});
