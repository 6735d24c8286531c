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
/** Waiting for a slot and timers that run late on a busy machine. */
const ALLOWANCE_MILLISECONDS = 1500;
const FORGETS = 5;
const BETWEEN_MILLISECONDS = 2000;
const IDLE_CONNECTIONS = 16;
const SHORT_DEADLINE_MILLISECONDS = 200;

/** The baseline: after a silence, the siblings stay in use. */
class TrustingTransport extends HttpTargetTransport {
  protected override closeIdleConnections(): void {}
}

async function run(context: ScenarioContext): Promise<ScenarioResult> {
  const whole = await underLoad(context);
  const suspecting = await callersThatWait(
    'siblings closed',
    HttpTargetTransport,
  );
  const trusting = await callersThatWait('siblings kept', TrustingTransport);
  return {
    rows: [...whole.rows, suspecting.row, trusting.row],
    checks: [
      ...whole.checks,
      {
        name: 'fewer callers wait than with siblings kept',
        passed: suspecting.waited < trusting.waited,
        detail: `${suspecting.waited} against ${trusting.waited} of ${IDLE_CONNECTIONS}`,
      },
    ],
  };
}

/** Each target's path forgets all open connections, again and again, under steady load. */
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
  const ways = await putPathsBetween(path);
  path.startLoad();
  for (let round = 0; round < Math.max(1, FORGETS * scale); round++) {
    await path.pause(BETWEEN_MILLISECONDS);
    for (const way of ways) way.dropOpenConnections();
  }
  await path.pause(BETWEEN_MILLISECONDS);
  await path.stopLoad();
  const {guaranteeChecker: ledger, outcomes} = path.load;
  const broken = ledger.violations(path.deployment.targets.values());
  await path.stop();
  for (const way of ways) await way.stop();
  const longest = Math.max(...outcomes.map(outcome => outcome.milliseconds));
  return {
    rows: [
      ...rowsOfLedger(ledger),
      {label: 'longest wait', values: {milliseconds: longest}},
    ],
    checks: [
      ...guaranteeChecks(broken),
      {
        name: 'callers wait at most the deadline and an allowance',
        passed: longest <= DEADLINE_MILLISECONDS + ALLOWANCE_MILLISECONDS,
        detail: `${longest.toFixed(0)} ms with a deadline of ${DEADLINE_MILLISECONDS} ms`,
      },
    ],
  };
}

async function putPathsBetween(
  path: PathUnderLoad,
): Promise<SilentDropProxy[]> {
  const {list} = path.deployment;
  const ways: SilentDropProxy[] = [];
  for (const listed of list.visible()) {
    const way = new SilentDropProxy(listed.address);
    await way.start();
    list.put({...listed, address: way.address});
    ways.push(way);
  }
  return ways;
}

/** Idle connections are forgotten; then as many callers come, one after another. */
async function callersThatWait(
  label: string,
  Transport: typeof HttpTargetTransport,
): Promise<{row: ScenarioRow; waited: number}> {
  const target = new TargetServer('hall-a-r1-1');
  await target.start('127.0.0.1:0');
  const way = new SilentDropProxy(target.address);
  await way.start();
  const transport = new Transport({
    clock: new SystemClock(),
    logger: new SilentLogger(),
    targetHttpOptions: targetHttpOptions.parse({idle_milliseconds: 60_000}),
  });
  const send = async (responseHeadTimeoutMilliseconds: number) => {
    const exchange = transport.startExchange(
      {id: target.id, address: way.address},
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
  way.dropOpenConnections();
  let waited = 0;
  for (let caller = 0; caller < IDLE_CONNECTIONS; caller++) {
    const start = performance.now();
    await send(SHORT_DEADLINE_MILLISECONDS);
    if (performance.now() - start >= SHORT_DEADLINE_MILLISECONDS - 1) waited++;
  }
  await transport.stop();
  await way.stop();
  await target.stop();
  return {row: {label, values: {callers_that_waited: waited}}, waited};
}

/** Open connections are forgotten by the path between daemons and targets. */
export const SILENT_CONNECTIONS: Scenario = {
  name: 'silent-connections',
  description:
    'the path to every target forgets all open connections, five times under steady load; and with siblings closed against kept',
  run,
};
