import type {Clock} from '@gentiandoor/kernel';
import type {FleetState} from '@gentiandoor/shared-state';

interface Sample {
  readonly at: number;
  readonly ended: number;
}

/** Samples kept of a wave, about one a minute: the forecast follows the last hour. */
const SAMPLES = 60;
const SAMPLE_MILLISECONDS = 60_000;

/** Forecasts the end of waves from the pace that this daemon saw over the last hour. */
export class WaveForecasts {
  private readonly samples = new Map<string, Sample[]>();
  private readonly left = new Map<string, number>();
  private readonly clock: Clock;

  constructor(dependencies: {readonly clock: Clock}) {
    this.clock = dependencies.clock;
  }

  /** Takes a sample of each wave; called once a planning round on every daemon. */
  observe(state: FleetState): void {
    const now = this.clock.monotonicMilliseconds();
    for (const wave of state.waves.values()) {
      this.left.set(wave.id, wave.remaining + wave.active);
      const ended = wave.total - wave.remaining - wave.active;
      const list = this.samples.get(wave.id) ?? [];
      const last = list.at(-1);
      if (last && now - last.at < SAMPLE_MILLISECONDS) continue;
      list.push({at: now, ended});
      if (list.length > SAMPLES) list.shift();
      this.samples.set(wave.id, list);
    }
    for (const id of this.samples.keys()) {
      if (state.waves.has(id)) continue;
      this.samples.delete(id);
      this.left.delete(id);
    }
  }

  /** Milliseconds to the end; undefined until some VM has ended. */
  remaining(wave: string): number | undefined {
    const list = this.samples.get(wave);
    const left = this.left.get(wave);
    if (!list || list.length < 2 || left === undefined) return undefined;
    const first = list[0];
    const last = list[list.length - 1];
    const ended = last.ended - first.ended;
    if (ended <= 0) return left === 0 ? 0 : undefined;
    return Math.round((left * (last.at - first.at)) / ended);
  }
}
