import type {ScenarioRow} from '../scenario.js';
import {DeploymentModel, type ModelPlan} from './deployment-model.js';
import type {Policy} from './policies.js';
import type {RequestStatistics} from './request-statistics.js';

/** A finished run. */
export interface ModelRun {
  readonly label: string;
  readonly model: DeploymentModel;
  /** Useful work as a share of what the targets could have run. */
  readonly goodput: number;
}

/** Plays a plan under one policy. */
export function play(
  plan: ModelPlan,
  policy: Policy,
  label = policy.label,
): ModelRun {
  const model = new DeploymentModel(plan, policy);
  model.run();
  return {label, model, goodput: model.usefulWork / model.capacity()};
}

/** A row for each stream of a run. */
export function rowsOf(run: ModelRun): ScenarioRow[] {
  return [...run.model.statisticsByStream].map(([stream, tally]) => ({
    label: `${run.label} / ${stream}`,
    values: {
      goodput: run.goodput,
      offered: tally.offered,
      answered: tally.answered / tally.offered,
      late: tally.late,
      failed: tally.failed,
      p50_ms: tally.percentile(50),
      p99_ms: tally.percentile(99),
      'p99.9_ms': tally.percentile(99.9),
      refusal_p99_ms: tally.refusalLatency.getValueAtPercentile(99) / 1000,
      ...prefixed('refused', tally.refusals),
      ...prefixed('retried', tally.retries),
      busy_share: busyShare(run.model),
      standing_changes: run.model.ejectionStateChanges,
    },
  }));
}

/** The tally of one stream. */
export function statisticsOf(run: ModelRun, stream: string): RequestStatistics {
  const tally = run.model.statisticsByStream.get(stream);
  if (!tally) throw new Error(`no stream ${stream}`);
  return tally;
}

/** Busy answers for each request offered. */
export function busyShare(model: DeploymentModel): number {
  let busy = 0;
  let offered = 0;
  for (const daemon of model.daemons) busy += daemon.busyAnswers;
  for (const tally of model.statisticsByStream.values())
    offered += tally.offered;
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
