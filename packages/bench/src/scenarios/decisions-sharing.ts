import {
  FirstInFirstOutQueue,
  EqualWorkLengthPolicy,
  type TeamPolicy,
} from '@gentiandoor/decisions';
import type {RequestStream} from '../model/deployment-model.js';
import {
  play,
  rowsOf,
  statisticsOf,
  type ModelRun,
} from '../model/model-rows.js';
import {NAIVE, STANDARD, variant} from '../model/policies.js';
import {
  LONG_MILLISECONDS,
  saturationRate,
  longStream,
  plan,
  shortStream,
  team,
} from '../model/request-streams.js';
import type {Scenario, ScenarioResult} from '../scenario.js';

const TARGETS = 8;
const FIFO = variant('first in first out', () => ({
  queue: new FirstInFirstOutQueue(),
}));
const NO_CLASSES = variant('no classes', () => ({
  workLengthPolicy: new EqualWorkLengthPolicy(),
}));
const URGENT_START_MILLISECONDS = 1900;

function answeredShare(run: ModelRun, stream: string): number {
  const statistics = statisticsOf(run, stream);
  return statistics.answered / statistics.offered;
}

function p99(run: ModelRun, stream: string): number {
  return statisticsOf(run, stream).percentile(99);
}

/** Moderate load with short bursts above the targets' capacity. */
export const burst: Scenario = {
  name: 'decisions-burst',
  description: 'load 0.5x with bursts of 3x for 200 ms every 2 s',
  run({seed, scale}): Promise<ScenarioResult> {
    const full = saturationRate(TARGETS);
    const stream = shortStream(0.5 * full, {
      perSecond: now => (now % 2000 < 200 ? 3 : 0.5) * full,
      peakPerSecond: 3 * full,
    });
    const runs = [STANDARD, FIFO, NAIVE].map(policy =>
      play(plan(seed, scale, [stream]), policy),
    );
    const periodicSummaries = play(
      plan(seed, scale, [stream], {sendsEarlySummaries: false}),
      STANDARD,
      'summaries in turn only',
    );
    const [standard, , naive] = runs;
    return Promise.resolve({
      rows: [...runs, periodicSummaries].flatMap(rowsOf),
      checks: [
        {
          name: 'more of the bursts answered than naive',
          passed:
            answeredShare(standard, 'short') > answeredShare(naive, 'short'),
          detail: `${answeredShare(standard, 'short').toFixed(4)} against ${answeredShare(naive, 'short').toFixed(4)}`,
        },
      ],
    });
  },
};

/** One caller sends most of the load, next to light callers and an urgent team. */
export const heavyCallers: Scenario = {
  name: 'decisions-heavy-callers',
  description:
    'one caller of one team sends 1.5x of capacity, fifty callers of another 0.3x, an urgent team 0.1x',
  run({seed, scale}): Promise<ScenarioResult> {
    const full = saturationRate(TARGETS);
    const named = (
      name: string,
      load: number,
      callers: number,
      terms: TeamPolicy,
    ) =>
      shortStream(load * full, {
        name,
        callers,
        team: terms,
        service: 'counter-preview',
      });
    const streams: RequestStream[] = [
      named('heavy', 1.5, 1, team('cooperative')),
      named('light', 0.3, 50, team('counter')),
      named('urgent', 0.1, 10, team('rescue', {urgent: true})),
    ];
    const runs = [STANDARD, FIFO, NAIVE].map(policy =>
      play(plan(seed, scale, streams), policy),
    );
    const [standard, fifo] = runs;
    const light = answeredShare(standard, 'light');
    const urgentLatency = statisticsOf(standard, 'urgent').percentile(99.9);
    return Promise.resolve({
      rows: runs.flatMap(rowsOf),
      checks: [
        {
          name: 'light callers answered',
          passed: light >= 0.99,
          detail: `${light.toFixed(4)}, first in first out ${answeredShare(fifo, 'light').toFixed(4)}`,
        },
        {
          name: 'p99 of light callers under half of first in first out',
          passed: p99(standard, 'light') < p99(fifo, 'light') / 2,
          detail: `${p99(standard, 'light').toFixed(0)} ms against ${p99(fifo, 'light').toFixed(0)} ms`,
        },
        {
          name: 'urgent work answered',
          passed: answeredShare(standard, 'urgent') >= 0.999,
          detail: answeredShare(standard, 'urgent').toFixed(4),
        },
        {
          name: 'urgent work starts within 1.9 s (p99.9 of its whole time)',
          passed: urgentLatency <= URGENT_START_MILLISECONDS,
          detail: `${urgentLatency.toFixed(0)} ms`,
        },
        {
          name: 'targets stay used',
          passed: standard.goodput >= 0.95,
          detail: standard.goodput.toFixed(3),
        },
      ],
    });
  },
};

/** A team exceeds its quota while another sends a moderate load. */
export const quotas: Scenario = {
  name: 'decisions-quotas',
  description:
    'a team with a quota of 16 of 64 slots sends 2x of capacity, another 0.5x',
  run({seed, scale}): Promise<ScenarioResult> {
    const full = saturationRate(TARGETS);
    const streams: RequestStream[] = [
      shortStream(2 * full, {
        name: 'bounded',
        team: team('cooperative', {slots: 16}),
      }),
      shortStream(0.5 * full, {name: 'others', team: team('counter')}),
    ];
    const runs = [STANDARD, NAIVE].map(policy =>
      play(plan(seed, scale, streams), policy),
    );
    const [standard] = runs;
    const used =
      statisticsOf(standard, 'bounded').usefulWork / standard.model.capacity();
    const others = answeredShare(standard, 'others');
    return Promise.resolve({
      rows: runs.flatMap(rowsOf),
      checks: [
        {
          name: 'the bounded team uses its quota and no more than a tenth above',
          passed: used > 0.2 && used < 0.275,
          detail: `${used.toFixed(3)} of all slots, quota 0.25`,
        },
        {
          name: 'the others are answered',
          passed: others >= 0.995,
          detail: others.toFixed(4),
        },
      ],
    });
  },
};

/** Long requests overload the targets, mixed with short requests. */
export const longAmongShort: Scenario = {
  name: 'decisions-long-among-short',
  description:
    'long work of 2 s at 1.5x of capacity among short work at 0.3x, one pool',
  run({seed, scale}): Promise<ScenarioResult> {
    const streams: RequestStream[] = [
      shortStream(0.3 * saturationRate(TARGETS)),
      longStream(1.5 * saturationRate(TARGETS, LONG_MILLISECONDS)),
    ];
    const changes = {milliseconds: 120_000 * scale, warmUpMilliseconds: 20_000};
    const runs = [STANDARD, NO_CLASSES, FIFO, NAIVE].map(policy =>
      play(plan(seed, scale, streams, changes), policy),
    );
    const alone = play(
      plan(seed, scale, [streams[0]], changes),
      STANDARD,
      'short alone',
    );
    const [standard, , , naive] = runs;
    return Promise.resolve({
      rows: [...runs, alone].flatMap(rowsOf),
      checks: [
        {
          name: 'short work is answered',
          passed: answeredShare(standard, 'short') >= 0.99,
          detail: `${answeredShare(standard, 'short').toFixed(4)}, naive ${answeredShare(naive, 'short').toFixed(4)}`,
        },
        {
          name: 'p99 of short work within 2x of short work alone',
          passed: p99(standard, 'short') <= 2 * p99(alone, 'short'),
          detail: `${(p99(standard, 'short') / p99(alone, 'short')).toFixed(2)}x`,
        },
        {
          name: 'long work is not starved: a quarter of the slots at least',
          passed:
            statisticsOf(standard, 'long').usefulWork /
              standard.model.capacity() >=
            0.25,
          detail: (
            statisticsOf(standard, 'long').usefulWork /
            standard.model.capacity()
          ).toFixed(3),
        },
      ],
    });
  },
};
