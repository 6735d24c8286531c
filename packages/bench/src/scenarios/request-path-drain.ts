import {ListedState} from '@gentiandoor/shared-state';
import type {TargetServer} from '@gentiandoor/stand-ins';
import type {Scenario, ScenarioContext, ScenarioResult} from '../scenario.js';
import {
  PathUnderLoad,
  guaranteeChecks,
  rowsOfLedger,
} from './request-path-deployment.js';

const LEAVING_LIMIT_MILLISECONDS = 3000;
const BETWEEN_MILLISECONDS = 1000;
const WATCH_STEP_MILLISECONDS = 5;

async function run({seed, scale}: ScenarioContext): Promise<ScenarioResult> {
  const path = new PathUnderLoad({
    seed,
    daemons: 2,
    callers: 32,
    pauseMilliseconds: 30,
    deadlineMilliseconds: 10_000,
    daemonPlan: {},
  });
  await path.start();
  path.startLoad();
  await path.pause(BETWEEN_MILLISECONDS);
  const targets = [...path.deployment.targets.values()];
  const drained = targets.slice(
    0,
    Math.max(1, Math.round(targets.length * scale)),
  );
  const lastNew: number[] = [];
  for (const target of drained)
    lastNew.push(await drainAndReturn(path, target));
  await path.pause(BETWEEN_MILLISECONDS);
  await path.stopLoad();
  const {guaranteeChecker} = path.load;
  const violations = guaranteeChecker.violations(targets);
  await path.stop();
  const incomplete = guaranteeChecker.outcomes.filter(
    outcome => !outcome.isComplete,
  ).length;
  const latest = Math.max(...lastNew);
  return {
    rows: [
      ...rowsOfLedger(guaranteeChecker),
      {
        label: 'drained targets',
        values: {targets: drained.length, last_new_request_after_ms: latest},
      },
    ],
    checks: [
      ...guaranteeChecks(violations),
      {
        name: 'every request sent got its whole answer',
        passed: incomplete === 0,
        detail: `${incomplete} of ${guaranteeChecker.outcomes.length} did not`,
      },
      {
        name: 'a leaving target gets nothing new after 3 s',
        passed: latest < LEAVING_LIMIT_MILLISECONDS,
        detail: `the last new request came ${latest.toFixed(0)} ms after the mark in the list`,
      },
    ],
  };
}

/**
 * Drains, stops and returns a target; resolves with the time from its leaving mark to its last new
 * request.
 */
async function drainAndReturn(
  path: PathUnderLoad,
  target: TargetServer,
): Promise<number> {
  const {list} = path.deployment;
  const listed = list.visible().find(vm => vm.id === target.id);
  if (!listed) throw new Error(`${target.id} is not in the list`);
  list.put({...listed, state: ListedState.Leaving});
  const start = performance.now();
  let runs = target.executedRequests.length;
  let last = 0;
  while (performance.now() - start < LEAVING_LIMIT_MILLISECONDS) {
    await path.pause(WATCH_STEP_MILLISECONDS);
    if (target.executedRequests.length === runs) continue;
    runs = target.executedRequests.length;
    last = performance.now() - start;
  }
  // The VM reboots, which closes all of its connections, also those in use.
  const {address} = target;
  await target.stop();
  await path.pause(BETWEEN_MILLISECONDS);
  await target.start(address);
  list.put({...listed, state: ListedState.Live});
  await path.pause(BETWEEN_MILLISECONDS);
  return last;
}

/** Drains and returns targets one after another under steady load. */
export const ROLLING_DRAIN: Scenario = {
  name: 'rolling-drain',
  description:
    'each of 4 targets is marked leaving, stopped and returned under 32 kept connections of GET and POST without keys',
  run,
};
