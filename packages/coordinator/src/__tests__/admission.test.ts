import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {AdmissionRefusal, decodePressureReport} from '@gentiandoor/admission';
import {LogEvent, MetricName} from '@gentiandoor/kernel';
import {LogStream, SubmitAnswer} from '../index.js';
import {StoreFault} from '../stand-ins/index.js';
import {
  ANY_CALLER,
  TestDaemon,
  TestDeployment,
  job,
  step,
} from './deployment.js';

const TIMEOUT = 3_000;
const BURST_STEP_MILLISECONDS = 100;
const BURST_STEP_JOBS = 30;
/** A report is not used once it is older than this. */
const REPORT_AGE_MILLISECONDS = 1_500;

/** A coordinator, a daemon that decides, and one that sends load without deciding. */
class Overload {
  private submitted = 0;

  private constructor(
    readonly feeder: TestDaemon,
    readonly deployment: TestDeployment,
  ) {}

  static async start(isAdmissionControlled = true): Promise<Overload> {
    const deployment = new TestDeployment(1);
    const feeder = new TestDaemon(deployment, 'feeder');
    feeder.startIntakeOnly();
    deployment.isAdmissionControlled = isAdmissionControlled;
    return new Overload(feeder, deployment);
  }

  /** Starts a daemon that has read the jobs' streams, as one that takes callers has. */
  async intake(node: string): Promise<TestDaemon> {
    const daemon = new TestDaemon(this.deployment, node);
    daemon.startIntakeOnly();
    void daemon.jobs.refresh();
    await this.deployment.run(100);
    return daemon;
  }

  /** Sends twenty times what the pool can do. */
  async burst(milliseconds: number): Promise<void> {
    for (let at = 0; at < milliseconds; at += BURST_STEP_MILLISECONDS) {
      for (let index = 0; index < BURST_STEP_JOBS; index++)
        void this.feeder.jobIntake.submit(
          this.job(`load-${this.submitted++}`),
          TIMEOUT,
        );
      await this.deployment.run(BURST_STEP_MILLISECONDS);
    }
  }

  /** Submits a job that is larger than those of the burst. */
  async submit(daemon: TestDaemon, id: string): Promise<SubmitAnswer> {
    let answer: SubmitAnswer | undefined;
    const large = this.job(id, 4);
    void daemon.jobIntake.submit(large, TIMEOUT).then(result => {
      answer = result;
    });
    for (let at = 0; at < TIMEOUT && answer === undefined; at += 10)
      await this.deployment.run(10);
    assert.ok(answer, 'no answer within the timeout');
    return answer;
  }

  startsOf(id: string): number {
    const runs = this.deployment.startedRuns();
    return runs.filter(({task}) => task.startsWith(`${id}.`)).length;
  }

  reports() {
    const records = this.deployment.store.history(LogStream.Pressure);
    return records.map(({value}) => decodePressureReport(value as Buffer));
  }

  private job(id: string, taskCount = 1) {
    const submittedAtMilliseconds = this.deployment.clock.wallMilliseconds();
    return {...job(id, [step({taskCount})]), submittedAtMilliseconds};
  }
}

/** Starts an overload with a coordinator, and returns a daemon that takes callers beside it. */
async function startOverload(): Promise<{
  overload: Overload;
  daemon: TestDaemon;
}> {
  const overload = await Overload.start();
  await overload.deployment.startDaemon('one');
  return {overload, daemon: await overload.intake('two')};
}

describe('admission control', () => {
  // A refused job that was stored all the same starts although its caller was told that it never
  // would.
  it('stores nothing of a refused job, and accepts its id later', async () => {
    const {overload, daemon} = await startOverload();
    await overload.burst(2_500);
    const answer = await overload.submit(daemon, 'large');
    assert.equal(answer, SubmitAnswer.Overloaded);
    await overload.deployment.run(60_000);
    assert.equal(overload.startsOf('large'), 0);
    assert.equal(await overload.submit(daemon, 'large'), SubmitAnswer.Accepted);
    await overload.deployment.run(2_000);
    assert.equal(overload.startsOf('large'), 4);
  });

  it('logs the figures and the report of a refusal, and counts it', async () => {
    const {overload, daemon} = await startOverload();
    await overload.burst(2_500);
    await overload.submit(daemon, 'large');
    const fields = daemon.events.lastFields.get(LogEvent.JobRefused);
    assert.equal(fields?.answer, 'overloaded');
    assert.equal(fields?.job, 'large');
    assert.equal(fields?.reason, 'not_in_time');
    assert.equal(fields?.reportTerm, 1);
    assert.ok(Number(fields?.reportSequence) > 3);
    assert.ok(Number(fields?.reportAgeMilliseconds) < 1_000);
    assert.ok(Number(fields?.waitMilliseconds) > 4_500);
    const tags = {reason: 'not_in_time'};
    assert.equal(daemon.metrics.value(MetricName.AdmissionRefusals, tags), 1);
  });

  it('publishes at most every 300 ms, and once when the pressure is over', async () => {
    const overload = await Overload.start();
    await overload.deployment.startDaemon('one');
    await overload.burst(1_500);
    await overload.deployment.run(60_000);
    const reports = overload.reports();
    assert.ok(reports.length > 4, `${reports.length}`);
    for (let index = 1; index < reports.length; index++) {
      const before = reports[index - 1];
      const interval =
        reports[index].wallMilliseconds - before.wallMilliseconds;
      assert.ok(interval >= 300, `${interval} ms`);
      assert.ok(before.services.length > 0);
    }
    assert.deepEqual(reports.at(-1)?.services, []);
  });

  // A job that needs a label that no worker has waits until it is cancelled. Reports about it would
  // cost every daemon a read each, three times a second.
  it('publishes nothing about work that is of no use any more', async () => {
    const overload = await Overload.start();
    const {deployment} = overload;
    const daemon = await deployment.startDaemon('one');
    const submittedAtMilliseconds = deployment.clock.wallMilliseconds();
    const stuck = job('stuck', [step({requiredLabel: 'absent'})]);
    void daemon.jobIntake.submit({...stuck, submittedAtMilliseconds}, TIMEOUT);
    await deployment.run(10_000);
    const before = overload.reports();
    assert.ok(before.length > 4, 'it has waited while it was of use');
    assert.deepEqual(before.at(-1)?.services, []);
    await deployment.run(60_000);
    assert.equal(overload.reports().length, before.length);
  });

  // No placement round follows the cancellation of a job that waits alone.
  it('stops publishing when the waiting job is cancelled', async () => {
    const overload = await Overload.start();
    const {deployment} = overload;
    const daemon = await deployment.startDaemon('one');
    const submittedAtMilliseconds = deployment.clock.wallMilliseconds();
    const stuck = job('stuck', [step({requiredLabel: 'absent'})]);
    void daemon.jobIntake.submit({...stuck, submittedAtMilliseconds}, TIMEOUT);
    await deployment.run(1_000);
    void daemon.jobIntake.cancel('stuck', TIMEOUT, ANY_CALLER);
    await deployment.run(1_000);
    assert.deepEqual(overload.reports().at(-1)?.services, []);
  });

  it('costs an idle daemon few calls to the store', async () => {
    const callsOf = async (isOn: boolean) => {
      const {deployment} = await Overload.start(isOn);
      const daemon = await deployment.startDaemon('one');
      await deployment.run(60_000);
      return daemon.store.reads;
    };
    const extra = (await callsOf(true)) - (await callsOf(false));
    assert.ok(extra <= 25, `${extra} reads more in a minute`);
  });

  it('changes nothing in a deployment that does not enable it', async () => {
    const overload = await Overload.start(false);
    await overload.deployment.startDaemon('one');
    const daemon = await overload.intake('two');
    await overload.burst(2_500);
    assert.equal(await overload.submit(daemon, 'large'), SubmitAnswer.Accepted);
    assert.equal(daemon.pressure, undefined);
    assert.deepEqual(overload.reports(), []);
  });

  describe('never refuses', () => {
    it('a job that the daemon knows', async () => {
      const {overload, daemon} = await startOverload();
      assert.equal(
        await overload.submit(daemon, 'large'),
        SubmitAnswer.Accepted,
      );
      await overload.burst(2_500);
      assert.equal(
        await overload.submit(daemon, 'large'),
        SubmitAnswer.Accepted,
      );
    });

    // The store has the job, but its response to the daemon was lost: a refusal of the retry would
    // be a refusal of a job that runs.
    it('a job whose acceptance is in doubt', async () => {
      const {overload, daemon} = await startOverload();
      daemon.store.setFault(StoreFault.AnswersLost, LogStream.Submissions);
      assert.equal(
        await overload.submit(daemon, 'large'),
        SubmitAnswer.Unknown,
      );
      daemon.store.setFault(undefined);
      await overload.burst(2_500);
      assert.equal(
        await overload.submit(daemon, 'large'),
        SubmitAnswer.Accepted,
      );
    });

    // A caller sends a job twice at once: the second copy must not be refused while the first one's
    // append is in flight.
    it('a job whose append is in flight', async () => {
      const {overload, daemon} = await startOverload();
      daemon.store.setFault(StoreFault.Silent, LogStream.Submissions);
      const large = job('large', [step({taskCount: 4})]);
      const attempt = daemon.jobIntake.submit(large, TIMEOUT);
      await overload.burst(1_000);
      daemon.store.setFault(undefined);
      assert.notEqual(
        await overload.submit(daemon, 'large'),
        SubmitAnswer.Overloaded,
      );
      await overload.deployment.run(TIMEOUT);
      assert.notEqual(await attempt, SubmitAnswer.Overloaded);
    });

    // The same, with a retry that reaches another daemon, which knows nothing of the first attempt.
    it('a job that another daemon has stored without learning so', async () => {
      const overload = await Overload.start();
      await overload.deployment.startDaemon('one');
      const first = await overload.intake('two');
      const second = await overload.intake('three');
      await overload.burst(1_500);
      first.store.setFault(StoreFault.AnswersLost, LogStream.Submissions);
      // Small enough to be admitted, so that it reaches the store.
      const small = job('large', [step({estimatedMilliseconds: 1})]);
      const attempt = first.jobIntake.submit(small, TIMEOUT);
      await overload.burst(1_000);
      assert.equal(
        await overload.submit(second, 'large'),
        SubmitAnswer.Accepted,
      );
      await overload.deployment.run(TIMEOUT);
      assert.notEqual(await attempt, SubmitAnswer.Overloaded);
    });
  });

  describe('after a fault', () => {
    // Reports of a coordinator that is gone describe a burst that may be over.
    it('accepts jobs 1.5 s after the coordinator was killed', async () => {
      const overload = await Overload.start();
      const coordinator = await overload.deployment.startDaemon('one');
      const daemon = await overload.intake('two');
      await overload.burst(2_500);
      coordinator.kill();
      assert.equal(
        await overload.submit(daemon, 'early'),
        SubmitAnswer.Overloaded,
      );
      await overload.burst(REPORT_AGE_MILLISECONDS + 100);
      assert.equal(
        await overload.submit(daemon, 'late'),
        SubmitAnswer.Accepted,
      );
    });

    // A predecessor's report that arrives late would replace that of its successor.
    it('uses the reports of the highest term only', async () => {
      const overload = await Overload.start();
      const {deployment} = overload;
      const first = await deployment.startDaemon('one');
      const daemon = await overload.intake('two');
      await overload.burst(2_000);
      first.kill();
      await deployment.startDaemon('three');
      await overload.burst(10_000);
      const last = overload.reports().at(-1);
      assert.equal(last?.term, 2);
      assert.equal(
        await overload.submit(daemon, 'large'),
        SubmitAnswer.Overloaded,
      );
      const [old] = deployment.store.history(LogStream.Pressure);
      deployment.store.write(LogStream.Pressure, old);
      await deployment.run(20);
      const event = LogEvent.PressureReportIgnored;
      assert.equal(daemon.events.of(event), 1);
      assert.equal(daemon.events.lastFields.get(event)?.reason, 'not_later');
      assert.equal(
        await overload.submit(daemon, 'other'),
        SubmitAnswer.Overloaded,
      );
    });

    // A record of another writer must neither end the daemon's reading nor refuse anything.
    it('skips an unreadable report', async () => {
      const overload = await Overload.start();
      const {deployment} = overload;
      await deployment.startDaemon('one');
      const daemon = await overload.intake('two');
      await overload.burst(1_500);
      deployment.store.write(LogStream.Pressure, {
        key: 'pressure',
        value: Buffer.from('{"term":'),
      });
      await overload.burst(1_000);
      assert.equal(
        await overload.submit(daemon, 'large'),
        SubmitAnswer.Overloaded,
      );
      const event = LogEvent.PressureReportIgnored;
      assert.equal(daemon.events.lastFields.get(event)?.reason, 'unreadable');
    });

    it('reads on after the history was deleted', async () => {
      const overload = await Overload.start();
      const {deployment} = overload;
      await deployment.startDaemon('one');
      const daemon = await overload.intake('two');
      await overload.burst(1_500);
      deployment.store.forgetHistory(LogStream.Pressure);
      await overload.burst(1_000);
      assert.equal(
        await overload.submit(daemon, 'large'),
        SubmitAnswer.Overloaded,
      );
    });

    it('refuses by reports whose store response was lost', async () => {
      const overload = await Overload.start();
      const coordinator = await overload.deployment.startDaemon('one');
      coordinator.store.setFault(StoreFault.AnswersLost, LogStream.Pressure);
      const daemon = await overload.intake('two');
      await overload.burst(4_000);
      assert.equal(
        await overload.submit(daemon, 'large'),
        SubmitAnswer.Overloaded,
      );
    });

    // A store of 376 ms per response, 94 times slower than usual.
    it('refuses jobs with a slow store', async () => {
      const overload = await Overload.start();
      const coordinator = await overload.deployment.startDaemon('one');
      const daemon = await overload.intake('two');
      for (const {store} of [coordinator, daemon])
        store.answerMilliseconds = 376;
      await overload.burst(4_500);
      assert.equal(
        await overload.submit(daemon, 'large'),
        SubmitAnswer.Overloaded,
      );
    });

    // Reports that wait for the store would delay the start of tasks.
    it('starts tasks as without reports while none is answered', async () => {
      const startsWith = async (
        fault: StoreFault | undefined,
        isAdmissionControlled = true,
      ) => {
        const overload = await Overload.start(isAdmissionControlled);
        const coordinator = await overload.deployment.startDaemon('one');
        coordinator.store.setFault(fault, LogStream.Pressure);
        await overload.burst(3_000);
        await overload.deployment.run(3_000);
        return {
          starts: overload.deployment.startedRuns().length,
          appends: overload.deployment.store.calls.append,
          dropped: coordinator.events.of(LogEvent.PressureReportDropped),
        };
      };
      const normal = await startsWith(undefined);
      const silent = await startsWith(StoreFault.Silent);
      const off = await startsWith(undefined, false);
      assert.equal(silent.starts, off.starts);
      assert.ok(
        silent.appends < normal.appends,
        'one report in flight at most',
      );
      assert.equal(silent.dropped, 1);
    });

    // A daemon that the store turns away knows neither the pressure nor whether it is over.
    it('does not refuse for overload at a daemon that the store refuses', async () => {
      const {overload, daemon} = await startOverload();
      await overload.burst(2_500);
      daemon.store.setFault(StoreFault.Refusing);
      assert.equal(
        await overload.submit(daemon, 'early'),
        SubmitAnswer.Refused,
        'a refusal needs a read that shows that nothing is stored',
      );
      await overload.burst(REPORT_AGE_MILLISECONDS);
      assert.equal(await overload.submit(daemon, 'late'), SubmitAnswer.Refused);
      for (const reason of Object.values(AdmissionRefusal))
        assert.equal(
          daemon.metrics.value(MetricName.AdmissionRefusals, {reason}),
          0,
        );
    });
  });

  // Two daemons that see the same report admit the same free capacity twice.
  it('bounds what two daemons accept at the same time', async () => {
    const overload = await Overload.start();
    const {deployment} = overload;
    await deployment.startDaemon('one');
    const daemons = [
      await overload.intake('two'),
      await overload.intake('three'),
    ];
    await overload.burst(1_000);
    const answers: Array<Promise<SubmitAnswer>> = [];
    for (let index = 0; index < 400; index++) {
      const submission = job(`job-${index}`, [step({taskCount: 4})]);
      answers.push(daemons[index % 2].jobIntake.submit(submission, TIMEOUT));
    }
    await deployment.run(TIMEOUT);
    const accepted = (await Promise.all(answers)).filter(
      answer => answer === SubmitAnswer.Accepted,
    );
    assert.ok(accepted.length < 100, `${accepted.length} accepted`);
  });
});
