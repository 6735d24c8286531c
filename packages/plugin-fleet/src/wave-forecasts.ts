import type {Clock} from '@gentiandoor/kernel';
import type {FleetState} from '@gentiandoor/shared-state';

interface ProgressSample {
  readonly atMilliseconds: number;
  readonly ended: number;
}

/** Samples kept of a wave, about one a minute: the forecast follows the last hour. */
const MAXIMUM_SAMPLES = 60;
const SAMPLE_INTERVAL_MILLISECONDS = 60_000;

/** Forecasts the end of waves from the pace that this daemon saw over the last hour. */
export class WaveForecasts {
  private readonly samples = new Map<string, ProgressSample[]>();
  private readonly unfinishedVms = new Map<string, number>();
  private readonly clock: Clock;

  constructor(dependencies: {readonly clock: Clock}) {
    this.clock = dependencies.clock;
  }

  /** Takes a sample of each wave; called once a planning round on every daemon. */
  observe(state: FleetState): void {
    const now = this.clock.monotonicMilliseconds();
    for (const wave of state.waves.values()) {
      this.unfinishedVms.set(wave.id, wave.remaining + wave.active);
      const ended = wave.total - wave.remaining - wave.active;
      const list = this.samples.get(wave.id) ?? [];
      const last = list.at(-1);
      if (last && now - last.atMilliseconds < SAMPLE_INTERVAL_MILLISECONDS)
        continue;
      list.push({atMilliseconds: now, ended});
      if (list.length > MAXIMUM_SAMPLES) list.shift();
      this.samples.set(wave.id, list);
    }
    for (const id of this.samples.keys()) {
      if (state.waves.has(id)) continue;
      this.samples.delete(id);
      this.unfinishedVms.delete(id);
    }
  }

  /** Milliseconds to the end; undefined until some VM has ended. */
  remainingMilliseconds(wave: string): number | undefined {
    const list = this.samples.get(wave);
    const left = this.unfinishedVms.get(wave);
    if (!list || list.length < 2 || left === undefined) return undefined;
    const first = list[0];
    const last = list[list.length - 1];
    const ended = last.ended - first.ended;
    if (ended <= 0) return left === 0 ? 0 : undefined;
    return Math.round(
      (left * (last.atMilliseconds - first.atMilliseconds)) / ended,
    );
  }
}
