import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {LogEvent, MetricName} from '@gentiandoor/kernel';
import {PlacementShortage} from '@gentiandoor/scheduling';
import {StartBlock} from '../start-block.js';
import {StoreFault} from '../stand-ins/index.js';
import {LogStream} from '../record-log.js';
import {
  ANY_CALLER,
  SERVICE,
  TestDeployment,
  job,
  step,
  type TestDaemon,
} from './deployment.js';

const TIMEOUT = 3_000;

async function submit(
  deployment: TestDeployment,
  daemon: TestDaemon,
  id: string,
  overrides: Parameters<typeof step>[0] = {},
): Promise<void> {
  void daemon.jobIntake.submit(job(id, [step(overrides)]), TIMEOUT);
  await deployment.run(100);
}

function lastLine(daemon: TestDaemon): Readonly<Record<string, unknown>> {
  return daemon.events.lastFields.get(LogEvent.WorkStands) ?? {};
}

// Work stood for minutes and neither a log line nor a metric said so.
describe('work that stands for over a second', () => {
  it('is logged with the reason for which rounds leave it', async () => {
    const deployment = new TestDeployment(2);
    const daemon = await deployment.startDaemon('one');
    await submit(deployment, daemon, 'needs-label', {
      taskCount: 3,
      requiredLabel: 'missing',
    });
    await deployment.run(2_500);
    const reason = PlacementShortage.NoSuitableWorker;
    assert.equal(lastLine(daemon).service, SERVICE);
    assert.deepEqual(lastLine(daemon).waiting, {[reason]: 3});
    assert.equal(
      daemon.metrics.value(MetricName.TasksWaiting, {service: SERVICE, reason}),
      3,
    );
    assert.ok(
      daemon.metrics.value(MetricName.WorkStanding, {service: SERVICE}) > 1_000,
    );
  });

  it('is not measured any more once its job is cancelled', async () => {
    const deployment = new TestDeployment(2);
    const daemon = await deployment.startDaemon('one');
    await submit(deployment, daemon, 'needs-label', {requiredLabel: 'missing'});
    await deployment.run(2_500);
    void daemon.jobIntake.cancel('needs-label', TIMEOUT, ANY_CALLER);
    await deployment.run(2_000);
    const reason = PlacementShortage.NoSuitableWorker;
    const service = SERVICE;
    const {metrics} = daemon;
    assert.equal(metrics.value(MetricName.WorkStanding, {service}), 0);
    assert.equal(metrics.value(MetricName.TasksWaiting, {service, reason}), 0);
  });

  it('is logged with the reasons for which workers accept no starts', async () => {
    const deployment = new TestDeployment(2);
    const daemon = await deployment.startDaemon('one');
    for (const session of daemon.coordinator?.registry.all() ?? [])
      session.cordon('test');
    await submit(deployment, daemon, 'waits');
    await deployment.run(2_500);
    assert.equal(lastLine(daemon).workers, 2);
    assert.deepEqual(lastLine(daemon).blocked, {[StartBlock.Cordoned]: 2});
  });

  it('is logged with how long progress has waited for the store', async () => {
    const deployment = new TestDeployment(2);
    const daemon = await deployment.startDaemon('one');
    daemon.store.setFault(StoreFault.Refusing, LogStream.Jobs);
    await submit(deployment, daemon, 'unstored');
    await submit(deployment, daemon, 'waits', {requiredLabel: 'missing'});
    await deployment.run(2_500);
    assert.ok(Number(lastLine(daemon).storeWaitMilliseconds) > 1_000);
    assert.equal(daemon.events.of(LogEvent.ProgressNotStored), 1);
  });

  it('is not logged while tasks are placed', async () => {
    const deployment = new TestDeployment(2);
    const daemon = await deployment.startDaemon('one');
    for (let second = 0; second < 4; second++) {
      await submit(deployment, daemon, `job-${second}`, {taskCount: 2});
      await deployment.run(900);
    }
    assert.equal(daemon.events.of(LogEvent.WorkStands), 0);
  });
});

// A wake-up that is missing left work standing until the next event of its service.
describe('work that no event announces', () => {
  it('is placed by a round after a second and reported', async () => {
    const deployment = new TestDeployment(1);
    const daemon = await deployment.startDaemon('one');
    await submit(deployment, daemon, 'needs-label', {requiredLabel: 'b'});
    const worker = deployment.worker('worker-0')!;
    deployment.store.write(LogStream.Workers, {
      key: worker.id,
      value: Buffer.from(JSON.stringify(worker.entry(['rack-1', 'b']))),
    });
    await deployment.run(3_000);
    assert.equal(deployment.startedRuns().length, 1);
    assert.equal(daemon.events.of(LogEvent.WorkOverlooked), 1);
    assert.equal(
      daemon.metrics.value(MetricName.TasksOverlooked, {service: SERVICE}),
      1,
    );
  });
});
