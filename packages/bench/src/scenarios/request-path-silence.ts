import {SilentLogger, SystemClock} from '@gentiandoor/kernel';
import {
  HttpTargetTransport,
  targetHttpOptions,
} from '@gentiandoor/plugin-target-http';
import {SilentDropProxy, TargetServer} from '@gentiandoor/stand-ins';
import type {
  Scenario,
  ScenarioContext,
  ScenarioResult,
  ScenarioRow,
} from '../scenario.js';
import {
  PathUnderLoad,
  guaranteeChecks,
  rowsOfLedger,
} from './request-path-deployment.js';

const DEADLINE_MILLISECONDS = 1000;
/** Allowance for waiting for a slot and for late timers on a busy machine. */
const ALLOWANCE_MILLISECONDS = 1500;
const DROPS = 5;
const BETWEEN_MILLISECONDS = 2000;
const IDLE_CONNECTIONS = 16;
const SHORT_DEADLINE_MILLISECONDS = 200;

/** Baseline: keeps using the other idle connections after one of them timed out. */
class IdleKeepingTransport extends HttpTargetTransport {
  protected override closeIdleConnections(): void {}
}

async function run(context: ScenarioContext): Promise<ScenarioResult> {
  const loaded = await underLoad(context);
  const closing = await countTimedOutCallers(
    'siblings closed',
    HttpTargetTransport,
  );
  const keeping = await countTimedOutCallers(
    'siblings kept',
    IdleKeepingTransport,
  );
  return {
    rows: [...loaded.rows, closing.row, keeping.row],
    checks: [
      ...loaded.checks,
      {
        name: 'fewer callers wait than with siblings kept',
        passed: closing.waited < keeping.waited,
        detail: `${closing.waited} against ${keeping.waited} of ${IDLE_CONNECTIONS}`,
      },
    ],
  };
}

/** Repeatedly drops all open connections to every target silently under steady load. */
async function underLoad({
  seed,
  scale,
}: ScenarioContext): Promise<ScenarioResult> {
  const path = new PathUnderLoad({
    seed,
    daemons: 2,
    callers: 32,
    pauseMilliseconds: 30,
    deadlineMilliseconds: DEADLINE_MILLISECONDS,
    daemonPlan: {},
  });
  await path.start();
  const proxies = await insertProxies(path);
  path.startLoad();
  for (let round = 0; round < Math.max(1, DROPS * scale); round++) {
    await path.pause(BETWEEN_MILLISECONDS);
    for (const proxy of proxies) proxy.dropOpenConnections();
  }
  await path.pause(BETWEEN_MILLISECONDS);
  await path.stopLoad();
  const {guaranteeChecker, outcomes} = path.load;
  const violations = guaranteeChecker.violations(
    path.deployment.targets.values(),
  );
  await path.stop();
  for (const proxy of proxies) await proxy.stop();
  const longest = Math.max(...outcomes.map(outcome => outcome.milliseconds));
  return {
    rows: [
      ...rowsOfLedger(guaranteeChecker),
      {label: 'longest wait', values: {milliseconds: longest}},
    ],
    checks: [
      ...guaranteeChecks(violations),
      {
        name: 'callers wait at most the deadline and an allowance',
        passed: longest <= DEADLINE_MILLISECONDS + ALLOWANCE_MILLISECONDS,
        detail: `${longest.toFixed(0)} ms with a deadline of ${DEADLINE_MILLISECONDS} ms`,
      },
    ],
  };
}

async function insertProxies(path: PathUnderLoad): Promise<SilentDropProxy[]> {
  const {list} = path.deployment;
  const proxies: SilentDropProxy[] = [];
  for (const listed of list.visible()) {
    const proxy = new SilentDropProxy(listed.address);
    await proxy.start();
    list.put({...listed, address: proxy.address});
    proxies.push(proxy);
  }
  return proxies;
}

/**
 * Silently drops the idle connections, then sends as many requests one after another and counts
 * timeouts.
 */
async function countTimedOutCallers(
  label: string,
  Transport: typeof HttpTargetTransport,
): Promise<{row: ScenarioRow; waited: number}> {
  const target = new TargetServer('hall-a-r1-1');
  await target.start('127.0.0.1:0');
  const proxy = new SilentDropProxy(target.address);
  await proxy.start();
  const transport = new Transport({
    clock: new SystemClock(),
    logger: new SilentLogger(),
    targetHttpOptions: targetHttpOptions.parse({idle_milliseconds: 60_000}),
  });
  const send = async (responseHeadTimeoutMilliseconds: number) => {
    const exchange = transport.startExchange(
      {id: target.id, address: proxy.address},
      {
        method: 'GET',
        path: '/x',
        headers: [],
        body: null,
        idempotent: true,
        responseHeadTimeoutMilliseconds,
      },
      {onHead() {}, onData: () => true, onEnd() {}},
    );
    return (await exchange.done).end;
  };
  await Promise.all(
    Array.from({length: IDLE_CONNECTIONS}, () => send(DEADLINE_MILLISECONDS)),
  );
  proxy.dropOpenConnections();
  let waited = 0;
  for (let caller = 0; caller < IDLE_CONNECTIONS; caller++) {
    const start = performance.now();
    await send(SHORT_DEADLINE_MILLISECONDS);
    if (performance.now() - start >= SHORT_DEADLINE_MILLISECONDS - 1) waited++;
  }
  await transport.stop();
  await proxy.stop();
  await target.stop();
  return {row: {label, values: {callers_that_waited: waited}}, waited};
}

/** The network between daemons and targets silently drops open connections. */
export const SILENT_CONNECTIONS: Scenario = {
  name: 'silent-connections',
  description:
    'the path to every target forgets all open connections, five times under steady load; and with siblings closed against kept',
  run,
};
