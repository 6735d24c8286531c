import {
  AdditiveIncreaseShare,
  FirstInFirstOutQueue,
  NewestFirstWhenStandingQueue,
  StaticSplit,
  WholeTarget,
} from '@gentiandoor/decisions';
import {NAIVE, STANDARD, variant, type Policy} from '../model/policies.js';
import {play, rowsOf, tallyOf, type ModelRun} from '../model/model-rows.js';
import {fullRate, plan, shortStream} from '../model/streams.js';
import type {Scenario, ScenarioCheck, ScenarioResult} from '../scenario.js';

const TARGETS = 8;
const LOADS = [0.7, 1, 2, 4];
const REST = 0.7;
const HEAVIEST = 4;

const SHARES: readonly Policy[] = [
  variant('static split', (_clock, _random, daemons) => ({
    share: new StaticSplit(daemons),
  })),
  variant('whole target', () => ({share: new WholeTarget()})),
  variant('additive increase', clock => ({
    share: new AdditiveIncreaseShare(clock),
  })),
];
const QUEUES: readonly Policy[] = [
  variant('first in first out', () => ({queue: new FirstInFirstOutQueue()})),
  variant('newest first', () => ({queue: new NewestFirstWhenStandingQueue()})),
];

/** Saturation at 0.7x to 4x of what the targets can do. */
export const saturation: Scenario = {
  name: 'decisions-saturation',
  description:
    'steady short load at 0.7x, 1x, 2x and 4x of capacity; slot shares and queues against each other and the naive baseline',
  run({seed, scale}): Promise<ScenarioResult> {
    const policies = [STANDARD, NAIVE, ...SHARES, ...QUEUES];
    const runs = policies.flatMap(policy =>
      LOADS.map(load => {
        const stream = shortStream(load * fullRate(TARGETS));
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
  const rest = tallyOf(find(STANDARD, REST), 'short').percentile(99);
  const heavy = tallyOf(find(STANDARD, HEAVIEST), 'short').percentile(99);
  const goodput = find(STANDARD, HEAVIEST).goodput;
  const naive = find(NAIVE, HEAVIEST).goodput;
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
      name: 'goodput at 4x no worse than naive',
      passed: goodput >= naive,
      detail: `${goodput.toFixed(3)} against ${naive.toFixed(3)}`,
    },
  ];
}

/** All load on one daemon: the slots of the others' shares must not stay idle. */
export const oneSided: Scenario = {
  name: 'decisions-one-sided',
  description:
    'load at 0.9x of capacity through one daemon of seven; slot shares against each other',
  run({seed, scale}): Promise<ScenarioResult> {
    const stream = shortStream(0.9 * fullRate(TARGETS), {daemons: 1});
    const runs = [STANDARD, NAIVE, ...SHARES].map(policy =>
      play(plan(seed, scale, [stream]), policy),
    );
    const [standard] = runs;
    const answered = tallyOf(standard, 'short');
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
