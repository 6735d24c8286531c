import {FleetPlanner, MAXIMUM_PLACEMENTS_PER_ROUND} from '@gentiandoor/fleet';
import {
  JobState,
  MAXIMUM_BATCH_ENTRIES,
  RecordKind,
  jobIndexOf,
} from '@gentiandoor/shared-state';
import {
  KINGSTON,
  largeDeployment,
  type ExampleDeployment,
} from '@gentiandoor/stand-ins';
import type {Scenario, ScenarioRow} from '../scenario.js';
import {FleetSimulator} from './fleet-simulator.js';

const JOBS = 20_000;
const CANCELLED = 10_000;
const RUN_MILLISECONDS = 3_600_000;
/**
 * Appends per second that the platform's log accepts, of several records each; placement must be
 * faster.
 */
const PLACEMENTS_PER_SECOND = 500;

function submitAll(
  simulator: FleetSimulator,
  deployment: ExampleDeployment,
): void {
  const {pools, teams} = deployment;
  for (let n = 0; n < JOBS; n++) {
    simulator.write({
      kind: RecordKind.JobSubmitted,
      key: `job-${n}`,
      team: teams[n % teams.length].name,
      pool: pools[n % pools.length].name,
      jobClass: 'ordinary',
      idempotent: true,
      size: {processors: 4, memoryGigabytes: 8, accelerators: 0, slots: 1},
      payload: String(RUN_MILLISECONDS),
    });
  }
}

function measure(label: string, deployment: ExampleDeployment): ScenarioRow {
  const simulator = new FleetSimulator(deployment, [
    ...new FleetPlanner().stages,
  ]);
  const submit = time(() => submitAll(simulator, deployment));
  let placed = 0;
  let rounds = 0;
  const place = time(() => {
    for (; rounds < 20; rounds++) {
      simulator.step(1000);
      const now = countPlaced(simulator);
      if (now === placed) break;
      placed = now;
    }
  });
  const keys = queuedKeys(simulator).slice(0, CANCELLED);
  const cancel = time(() => {
    for (let from = 0; from < keys.length; from += MAXIMUM_BATCH_ENTRIES) {
      const batch = keys.slice(from, from + MAXIMUM_BATCH_ENTRIES);
      simulator.write({kind: RecordKind.JobsCancelled, keys: batch});
    }
  });
  const cancelled = [...simulator.state.jobs.values()].filter(
    job => job.state === JobState.Cancelled,
  ).length;
  return {
    label,
    values: {
      jobs: JOBS,
      submit_microseconds_a_job: perItem(submit, JOBS),
      placed,
      placed_a_second: Math.round(placed / (place / 1000)),
      round_milliseconds: Math.round((place / Math.max(1, rounds)) * 10) / 10,
      cancelled,
      asked_to_cancel: keys.length,
      cancel_microseconds_a_job: perItem(cancel, keys.length),
      cancel_milliseconds: Math.round(cancel),
    },
  };
}

function queuedKeys(simulator: FleetSimulator): string[] {
  const keys: string[] = [];
  for (const teams of jobIndexOf(simulator.state).queues.values())
    for (const queue of teams.values()) keys.push(...queue);
  return keys;
}

function countPlaced(simulator: FleetSimulator): number {
  let count = 0;
  for (const keys of jobIndexOf(simulator.state).placedKeysByVm.values())
    count += keys.size;
  return count;
}

function time(action: () => void): number {
  const started = performance.now();
  action();
  return performance.now() - started;
}

function perItem(milliseconds: number, items: number): number {
  return Math.round((milliseconds * 10_000) / Math.max(1, items)) / 10;
}

/** Measures job placement and mass cancellation. */
export const FLEET_JOBS: Scenario = {
  name: 'jobs',
  description: `placement of ${JOBS} jobs at ${MAXIMUM_PLACEMENTS_PER_ROUND} a round and ${CANCELLED} cancellations, fold included`,
  async run() {
    const rows = [
      measure('kingston', KINGSTON),
      measure('31000 VMs, 239 pools', largeDeployment(31_000, 239)),
    ];
    return {
      rows,
      checks: rows.flatMap(({label, values}) => [
        {
          name: `${label}: every cancellation counted`,
          passed: values.cancelled === values.asked_to_cancel,
          detail: `${values.cancelled} of ${values.asked_to_cancel}`,
        },
        {
          name: `${label}: placement is faster than the log`,
          passed: values.placed_a_second >= PLACEMENTS_PER_SECOND,
          detail: `${values.placed_a_second} a second`,
        },
      ]),
    };
  },
};
