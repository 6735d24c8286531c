import type {ScenarioRow} from '../scenario.js';
import {DeploymentModel, type ModelPlan} from './deployment-model.js';
import type {Policy} from './policies.js';
import type {RequestStatistics} from './request-statistics.js';

/** A finished simulation. */
export interface ModelRun {
  readonly label: string;
  readonly model: DeploymentModel;
  /** Useful work as a share of the targets' capacity. */
  readonly goodput: number;
}

/** Simulates a plan under one policy. */
export function play(
  plan: ModelPlan,
  policy: Policy,
  label = policy.label,
): ModelRun {
  const model = new DeploymentModel(plan, policy);
  model.run();
  return {label, model, goodput: model.usefulWork / model.capacity()};
}

/** Returns a result row for each stream of a run. */
export function rowsOf(run: ModelRun): ScenarioRow[] {
  return [...run.model.statisticsByStream].map(([stream, statistics]) => ({
    label: `${run.label} / ${stream}`,
    values: {
      goodput: run.goodput,
      offered: statistics.offered,
      answered: statistics.answered / statistics.offered,
      late: statistics.late,
      failed: statistics.failed,
      p50_ms: statistics.percentile(50),
      p99_ms: statistics.percentile(99),
      'p99.9_ms': statistics.percentile(99.9),
      refusal_p99_ms: statistics.refusalLatency.getValueAtPercentile(99) / 1000,
      ...prefixed('refused', statistics.refusals),
      ...prefixed('retried', statistics.retries),
      busy_share: busyShare(run.model),
      standing_changes: run.model.ejectionStateChanges,
    },
  }));
}

/** Returns the statistics of a stream; throws if the run has no such stream. */
export function statisticsOf(run: ModelRun, stream: string): RequestStatistics {
  const statistics = run.model.statisticsByStream.get(stream);
  if (!statistics) throw new Error(`no stream ${stream}`);
  return statistics;
}

/** Returns the number of busy responses per offered request. */
export function busyShare(model: DeploymentModel): number {
  let busy = 0;
  let offered = 0;
  for (const daemon of model.daemons) busy += daemon.busyAnswers;
  for (const statistics of model.statisticsByStream.values())
    offered += statistics.offered;
  return busy / offered;
}

function prefixed(
  prefix: string,
  counts: ReadonlyMap<string, number>,
): Record<string, number> {
  return Object.fromEntries(
    [...counts].map(([name, value]) => [`${prefix}_${name}`, value]),
  );
}
