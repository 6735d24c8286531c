import type {DeploymentModel, ModelPlan} from '../model/deployment-model.js';
import {
  play,
  rowsOf,
  statisticsOf,
  type ModelRun,
} from '../model/model-rows.js';
import {NAIVE, STANDARD} from '../model/policies.js';
import {saturationRate, plan, shortStream} from '../model/request-streams.js';
import type {
  Scenario,
  ScenarioCheck,
  ScenarioResult,
  ScenarioRow,
} from '../scenario.js';

const TARGETS = 12;
const DATA_CENTRES = 3;
const CUT_AT = 10_000;
const CUT_MILLISECONDS = 15_000;

/**
 * Returns plan settings for three data centres, each with four targets in a rack and two daemons.
 */
function threeDataCentres(
  changes: Partial<ModelPlan> = {},
): Partial<ModelPlan> {
  return {
    daemons: 6,
    targets: TARGETS,
    dataCentres: DATA_CENTRES,
    ...changes,
  };
}

function crossings(run: ModelRun): number {
  let count = 0;
  for (const daemon of run.model.daemons)
    count += daemon.crossDataCentreExchanges;
  return count;
}

function withCrossings(run: ModelRun): ScenarioRow[] {
  return rowsOf(run).map(({label, values}) => ({
    label,
    values: {...values, crossings: crossings(run)},
  }));
}

function answeredShare(run: ModelRun, stream: string): number {
  const statistics = statisticsOf(run, stream);
  return statistics.answered / statistics.offered;
}

function check(name: string, passed: boolean, detail: string): ScenarioCheck {
  return {name, passed, detail};
}

/** Overloads one data centre while the others have idle targets. */
export const spill: Scenario = {
  name: 'decisions-spill',
  description:
    'one of three data centres gets 1.6x of what its own targets can do, the others 0.3x',
  run({seed, scale}): Promise<ScenarioResult> {
    const capacity = saturationRate(TARGETS / DATA_CENTRES);
    const streams = [
      shortStream(1.6 * capacity, {name: 'busy', dataCentre: 0}),
      shortStream(0.3 * capacity, {name: 'calm-1', dataCentre: 1}),
      shortStream(0.3 * capacity, {name: 'calm-2', dataCentre: 2}),
    ];
    const run = (changes: Partial<ModelPlan>, label: string) =>
      play(
        plan(seed, scale, streams, threeDataCentres(changes)),
        STANDARD,
        label,
      );
    const near = run({}, 'near first');
    const any = run({prefersSameDataCentre: false}, 'any target');
    const only = run({allowsOtherDataCentres: false}, 'near only');
    return Promise.resolve({
      rows: [near, any, only].flatMap(withCrossings),
      checks: [
        check(
          'the busy data centre is answered',
          answeredShare(near, 'busy') >= 0.99,
          `${answeredShare(near, 'busy').toFixed(4)}, near only ${answeredShare(only, 'busy').toFixed(4)}`,
        ),
        check(
          'fewer than half of the crossings of any target',
          crossings(near) < crossings(any) / 2,
          `${crossings(near)} against ${crossings(any)}`,
        ),
      ],
    });
  },
};

/** Partitions a data centre from the others for 15 s. */
export const partition: Scenario = {
  name: 'decisions-partition',
  description:
    'one of three data centres is cut off for 15 s; connections over the cut fail after 500 ms; load 0.5x, and 1.3x in the one cut off',
  run({seed, scale}): Promise<ScenarioResult> {
    const capacity = saturationRate(TARGETS / DATA_CENTRES);
    const streams = [
      shortStream(1.3 * capacity, {name: 'cut-off', dataCentre: 0}),
      shortStream(0.5 * capacity, {name: 'rest-1', dataCentre: 1}),
      shortStream(0.5 * capacity, {name: 'rest-2', dataCentre: 2}),
    ];
    const script = (model: DeploymentModel) => {
      model.clock.schedule(CUT_AT, () => model.isolate(0));
      model.clock.schedule(CUT_AT + CUT_MILLISECONDS, () =>
        model.isolate(undefined),
      );
    };
    const cutPlan = plan(seed, scale, streams, threeDataCentres({script}));
    const runs = [STANDARD, NAIVE].map(policy => play(cutPlan, policy));
    const [standard, naive] = runs;
    const failed = (run: ModelRun, stream: string) =>
      statisticsOf(run, stream).failed / statisticsOf(run, stream).offered;
    return Promise.resolve({
      rows: runs.flatMap(withCrossings),
      checks: [
        check(
          'the others notice nothing',
          answeredShare(standard, 'rest-1') >= 0.999,
          `${answeredShare(standard, 'rest-1').toFixed(4)} answered`,
        ),
        check(
          'the one cut off answers what its own targets can do',
          answeredShare(standard, 'cut-off') >= 0.85,
          `${answeredShare(standard, 'cut-off').toFixed(4)}, naive ${answeredShare(naive, 'cut-off').toFixed(4)}`,
        ),
        check(
          'under 0.1% of its requests fail',
          failed(standard, 'cut-off') < 0.001,
          `${failed(standard, 'cut-off').toFixed(5)}, naive ${failed(naive, 'cut-off').toFixed(5)}`,
        ),
      ],
    });
  },
};
