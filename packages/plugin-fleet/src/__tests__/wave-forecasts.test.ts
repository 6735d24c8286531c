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

class ForecastFixture {
  readonly clock = new VirtualClock();
  readonly forecasts = new WaveForecasts({clock: this.clock});
  readonly state: FleetState = emptyFleetState({});

  /** Sets how many VMs of the wave are done and in progress, and takes a sample. */
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
    it('is unknown', () => {
      const fixture = new ForecastFixture();
      assert.equal(fixture.remaining, undefined);
      fixture.observe(0, 2);
      assert.equal(fixture.remaining, undefined);
      fixture.clock.advance(5 * MINUTE);
      fixture.observe(0, 2);
      assert.equal(fixture.remaining, undefined);
    });
  });

  describe('at a steady pace', () => {
    it('covers the remaining VMs and those in progress at that pace', () => {
      const fixture = new ForecastFixture();
      for (let minute = 0; minute <= 10; minute++) {
        fixture.observe(4 * minute, 4);
        fixture.clock.advance(MINUTE);
      }
      assert.equal(fixture.remaining, ((TOTAL - 40) / 4) * MINUTE);
    });
  });

  describe('with a round every second', () => {
    it('follows the count at once and keeps about one sample a minute', () => {
      const fixture = new ForecastFixture();
      for (let second = 0; second <= 600; second++) {
        fixture.observe(Math.floor(second / 6));
        fixture.clock.advance(1000);
      }
      assert.equal(fixture.remaining, (TOTAL - 100) * 6000);
    });
  });

  describe('when the pace changes', () => {
    // The wave starts slowly. A forecast from the pace of the whole wave would be too
    // long for hours.
    it('follows the last hour only', () => {
      const fixture = new ForecastFixture();
      let done = 0;
      for (let minute = 0; minute < 120; minute++) {
        done += minute < 60 ? 0 : 5;
        fixture.observe(done);
        fixture.clock.advance(MINUTE);
      }
      assert.equal(fixture.remaining, ((TOTAL - 300) / 5) * MINUTE);
    });
  });

  describe('at the end', () => {
    it('is still 0 an hour after the last VM', () => {
      const fixture = new ForecastFixture();
      for (let minute = 0; minute < 120; minute++) {
        fixture.observe(TOTAL);
        fixture.clock.advance(MINUTE);
      }
      assert.equal(fixture.remaining, 0);
    });

    it('is unknown again once the wave is deleted', () => {
      const fixture = new ForecastFixture();
      fixture.observe(0);
      fixture.clock.advance(MINUTE);
      fixture.observe(4);
      assert.notEqual(fixture.remaining, undefined);
      fixture.state.waves.delete('wave-1');
      fixture.forecasts.observe(fixture.state);
      assert.equal(fixture.remaining, undefined);
    });
  });
});
