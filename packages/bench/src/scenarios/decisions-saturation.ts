import {
  AdditiveIncreaseLimiter,
  FirstInFirstOutQueue,
  AdaptiveLastInFirstOutQueue,
  StaticSplitLimiter,
  FullTargetLimiter,
} from '@gentiandoor/decisions';
import {NAIVE, STANDARD, variant, type Policy} from '../model/policies.js';
import {
  busyShare,
  play,
  rowsOf,
  statisticsOf,
  type ModelRun,
} from '../model/model-rows.js';
import {saturationRate, plan, shortStream} from '../model/request-streams.js';
import type {Scenario, ScenarioCheck, ScenarioResult} from '../scenario.js';

const TARGETS = 8;
const LOADS = [0.7, 1, 2, 4];
const REST = 0.7;
const HEAVIEST = 4;

const SHARES: readonly Policy[] = [
  variant('static split', (_clock, _random, daemons) => ({
    limiter: new StaticSplitLimiter(daemons),
  })),
  variant('whole target', () => ({limiter: new FullTargetLimiter()})),
  variant('additive increase', clock => ({
    limiter: new AdditiveIncreaseLimiter(clock),
  })),
];
const QUEUES: readonly Policy[] = [
  variant('first in first out', () => ({queue: new FirstInFirstOutQueue()})),
  variant('newest first', () => ({queue: new AdaptiveLastInFirstOutQueue()})),
];

/** Steady load of 0.7x to 4x of the targets' capacity. */
export const saturation: Scenario = {
  name: 'decisions-saturation',
  description:
    'steady short load at 0.7x, 1x, 2x and 4x of capacity; slot shares and queues against each other and the naive baseline',
  run({seed, scale}): Promise<ScenarioResult> {
    const policies = [STANDARD, NAIVE, ...SHARES, ...QUEUES];
    const runs = policies.flatMap(policy =>
      LOADS.map(load => {
        const stream = shortStream(load * saturationRate(TARGETS));
        return play(
          plan(seed, scale, [stream]),
          policy,
          `${policy.label} ${load}x`,
        );
      }),
    );
    const rows = runs.flatMap(rowsOf);
    return Promise.resolve({rows, checks: checksOf(runs)});
  },
};

function checksOf(runs: readonly ModelRun[]): ScenarioCheck[] {
  const find = (policy: Policy, load: number) => {
    const label = `${policy.label} ${load}x`;
    const run = runs.find(item => item.label === label);
    if (!run) throw new Error(`no run ${label}`);
    return run;
  };
  const rest = statisticsOf(find(STANDARD, REST), 'short').percentile(99);
  const heavy = statisticsOf(find(STANDARD, HEAVIEST), 'short').percentile(99);
  const goodput = find(STANDARD, HEAVIEST).goodput;
  const naive = find(NAIVE, HEAVIEST).goodput;
  const busy = busyShare(find(STANDARD, HEAVIEST).model);
  const naiveBusy = busyShare(find(NAIVE, HEAVIEST).model);
  return [
    {
      name: 'goodput at 4x within 5% of capacity',
      passed: goodput >= 0.95,
      detail: goodput.toFixed(3),
    },
    {
      name: 'p99 at 4x within 2x of p99 at 0.7x',
      passed: heavy <= 2 * rest,
      detail: `${(heavy / rest).toFixed(2)}x`,
    },
    {
      name: 'goodput at 4x within 2% of sending everything at once, with a tenth of the busy answers',
      passed: goodput >= naive * 0.98 && busy <= naiveBusy / 10,
      detail: `${goodput.toFixed(3)} against ${naive.toFixed(3)}, ${busy.toFixed(4)} against ${naiveBusy.toFixed(3)} busy answers a request`,
    },
    {
      name: 'goodput at 1x above naive',
      passed: find(STANDARD, 1).goodput > find(NAIVE, 1).goodput,
      detail: `${find(STANDARD, 1).goodput.toFixed(3)} against ${find(NAIVE, 1).goodput.toFixed(3)}`,
    },
    {
      name: 'busy answers at 0.7x under 3% of requests',
      passed: busyShare(find(STANDARD, REST).model) < 0.03,
      detail: busyShare(find(STANDARD, REST).model).toFixed(4),
    },
  ];
}

/** All load arrives at one daemon; the slots in the other daemons' shares must not stay idle. */
export const oneSided: Scenario = {
  name: 'decisions-one-sided',
  description:
    'load at 0.9x of capacity through one daemon of seven; slot shares against each other',
  run({seed, scale}): Promise<ScenarioResult> {
    const stream = shortStream(0.9 * saturationRate(TARGETS), {daemons: 1});
    const runs = [STANDARD, NAIVE, ...SHARES].map(policy =>
      play(plan(seed, scale, [stream]), policy),
    );
    const [standard] = runs;
    const answered = statisticsOf(standard, 'short');
    const share = answered.answered / answered.offered;
    return Promise.resolve({
      rows: runs.flatMap(rowsOf),
      checks: [
        {
          name: 'one daemon can use all targets',
          passed: share >= 0.98,
          detail: `${(100 * share).toFixed(2)}% answered`,
        },
      ],
    });
  },
};

/** Targets accept 64 connections and queue the requests beyond their slots internally. */
export const targetBacklog: Scenario = {
  name: 'decisions-target-backlog',
  description:
    'as saturation, at targets that let 56 requests wait inside before they answer busy',
  run({seed, scale}): Promise<ScenarioResult> {
    const runs = [STANDARD, NAIVE].flatMap(policy =>
      LOADS.map(load => {
        const stream = shortStream(load * saturationRate(TARGETS));
        const label = `${policy.label} ${load}x`;
        return play(plan(seed, scale, [stream], {backlog: 56}), policy, label);
      }),
    );
    const [rest, , , heavy] = runs;
    const naive = runs[runs.length - 1];
    const p99 = (run: ModelRun) => statisticsOf(run, 'short').percentile(99);
    return Promise.resolve({
      rows: runs.flatMap(rowsOf),
      checks: [
        {
          name: 'goodput at 4x within 5% of capacity',
          passed: heavy.goodput >= 0.95,
          detail: heavy.goodput.toFixed(3),
        },
        {
          name: 'p99 at 4x within 2x of p99 at 0.7x',
          passed: p99(heavy) <= 2 * p99(rest),
          detail: `${(p99(heavy) / p99(rest)).toFixed(2)}x, naive ${(p99(naive) / p99(rest)).toFixed(2)}x`,
        },
      ],
    });
  },
};
