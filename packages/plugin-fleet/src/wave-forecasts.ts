import type {Clock} from '@gentiandoor/kernel';
import type {FleetState} from '@gentiandoor/shared-state';

interface ProgressSample {
  readonly atMilliseconds: number;
  readonly ended: number;
}

/** Samples kept for each wave, about one a minute, so that the forecast follows the last hour. */
const MAXIMUM_SAMPLES = 60;
const SAMPLE_INTERVAL_MILLISECONDS = 60_000;

/** Forecasts the end of waves from the pace that this daemon observed over the last hour. */
export class WaveForecasts {
  private readonly samples = new Map<string, ProgressSample[]>();
  private readonly unfinishedVms = new Map<string, number>();
  private readonly clock: Clock;

  constructor(dependencies: {readonly clock: Clock}) {
    this.clock = dependencies.clock;
  }

  /** Takes a sample of each wave; called in every planning round on every daemon. */
  observe(state: FleetState): void {
    const now = this.clock.monotonicMilliseconds();
    for (const wave of state.waves.values()) {
      this.unfinishedVms.set(wave.id, wave.remaining + wave.active);
      const ended = wave.total - wave.remaining - wave.active;
      const samples = this.samples.get(wave.id) ?? [];
      const last = samples.at(-1);
      if (last && now - last.atMilliseconds < SAMPLE_INTERVAL_MILLISECONDS)
        continue;
      samples.push({atMilliseconds: now, ended});
      if (samples.length > MAXIMUM_SAMPLES) samples.shift();
      this.samples.set(wave.id, samples);
    }
    for (const id of this.samples.keys()) {
      if (state.waves.has(id)) continue;
      this.samples.delete(id);
      this.unfinishedVms.delete(id);
    }
  }

  /**
   * Returns the milliseconds to the end of a wave; undefined until a VM has ended within
   * the samples.
   */
  remainingMilliseconds(wave: string): number | undefined {
    const samples = this.samples.get(wave);
    const unfinished = this.unfinishedVms.get(wave);
    if (!samples || samples.length < 2 || unfinished === undefined)
      return undefined;
    const first = samples[0];
    const last = samples[samples.length - 1];
    const ended = last.ended - first.ended;
    if (ended <= 0) return unfinished === 0 ? 0 : undefined;
    return Math.round(
      (unfinished * (last.atMilliseconds - first.atMilliseconds)) / ended,
    );
  }
}
