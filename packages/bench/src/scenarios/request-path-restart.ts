import type {Scenario, ScenarioContext, ScenarioResult} from '../scenario.js';
import {
  PathUnderLoad,
  guaranteeChecks,
  rowsOfLedger,
} from './request-path-deployment.js';

const DAEMONS = 3;
const BEFORE_MILLISECONDS = 1000;
const ROUNDS = 2;

async function run({seed, scale}: ScenarioContext): Promise<ScenarioResult> {
  const path = new PathUnderLoad({
    seed,
    daemons: DAEMONS,
    callers: 400,
    pauseMilliseconds: 1500,
    callerDelayMilliseconds: 3,
    deadlineMilliseconds: 10_000,
    daemonPlan: {
      callerHttp: {
        drain_grace_milliseconds: 500,
        keep_alive_milliseconds: 1000,
      },
    },
  });
  await path.start();
  path.startLoad();
  await path.pause(BEFORE_MILLISECONDS);
  const restarts = Math.max(1, Math.round(ROUNDS * DAEMONS * scale));
  const drains: number[] = [];
  for (let restart = 0; restart < restarts; restart++) {
    const {daemons} = path.deployment;
    const [leaving] = daemons;
    const from = performance.now();
    await leaving.daemon.drainAndStop();
    drains.push(performance.now() - from);
    daemons.shift();
    await path.startDaemon();
  }
  await path.pause(BEFORE_MILLISECONDS);
  await path.stopLoad();
  const {guaranteeChecker} = path.load;
  const violations = guaranteeChecker.violations(
    path.deployment.targets.values(),
  );
  await path.stop();
  const incomplete = guaranteeChecker.outcomes.filter(
    outcome => !outcome.isComplete,
  ).length;
  return {
    rows: [
      ...rowsOfLedger(guaranteeChecker),
      {
        label: 'graceful stops',
        values: {stops: drains.length, longest_ms: Math.max(...drains)},
      },
    ],
    checks: [
      ...guaranteeChecks(violations),
      {
        name: 'every request sent got its whole answer',
        passed: incomplete === 0,
        detail: `${incomplete} of ${guaranteeChecker.outcomes.length} did not`,
      },
    ],
  };
}

/** Stops daemons gracefully and replaces them one after another under steady load. */
export const ROLLING_RESTART: Scenario = {
  name: 'rolling-restart',
  description:
    'each of 3 daemons is stopped gracefully and replaced, twice, under 400 kept connections of GET and POST without keys, callers 3 ms away',
  run,
};
