import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {JobState, RecordKind, jobIndexOf} from '@gentiandoor/shared-state';
import {KINGSTON, LeaseFault} from '@gentiandoor/stand-ins';
import {FleetHarness} from './fleet-harness.js';

const MINUTE = 60_000;
const SMALL = {processors: 1, memoryGigabytes: 1, accelerators: 0, slots: 1};

interface JobPlan {
  readonly team?: string;
  readonly pool?: string;
  readonly idempotent?: boolean;
  readonly size?: typeof SMALL;
  readonly jobClass?: string;
}

async function submit(
  fleet: FleetHarness,
  key: string,
  plan: JobPlan = {},
): Promise<void> {
  await fleet.appendOperatorRecord({
    kind: RecordKind.JobSubmitted,
    key,
    team: plan.team ?? 'cooperatives',
    pool: plan.pool ?? 'crest-works',
    jobClass: plan.jobClass ?? 'badge-run',
    idempotent: plan.idempotent ?? true,
    size: plan.size ?? SMALL,
    payload: key,
  });
}

function job(fleet: FleetHarness, key: string) {
  return fleet.state.jobs.get(key);
}

describe('jobs', () => {
  it('run under a lease and finish', async () => {
    const fleet = await FleetHarness.start(KINGSTON);
    await submit(fleet, 'badge-1');
    await fleet.runUntil(
      () => job(fleet, 'badge-1')?.state === JobState.Finished,
    );
    assert.equal(fleet.leases.startCounts.get('badge-1/1'), 1);
  });

  it('submitted twice with the same key run once', async () => {
    const fleet = await FleetHarness.start(KINGSTON);
    await submit(fleet, 'badge-1');
    await fleet.runUntil(
      () => job(fleet, 'badge-1')?.state === JobState.Finished,
    );
    await submit(fleet, 'badge-1');
    await fleet.run(5 * MINUTE);
    assert.deepEqual([...fleet.leases.startCounts], [['badge-1/1', 1]]);
  });

  // A caller waits for this job. It arrives right after a planning round, and the next
  // one is up to two seconds away: the planner must wake for the job instead of waiting
  // for that round.
  it('start within 1.9 s of their submission', async () => {
    const fleet = await FleetHarness.start(KINGSTON);
    for (let n = 0; n < 20; n++) {
      const key = `preview-${n}`;
      const started = `${key}/1`;
      await submit(fleet, key, {team: 'counter'});
      await fleet.runUntil(
        () => fleet.leases.startCounts.has(started),
        1700,
        100,
      );
      await fleet.run(137);
    }
  });

  it('that can never run are rejected with the reason', async () => {
    const fleet = await FleetHarness.start(KINGSTON);
    const {publisher} = fleet.daemons[0];
    const published = publisher.publish({
      kind: RecordKind.JobSubmitted,
      writer: 'moana',
      key: 'huge',
      team: 'cooperatives',
      pool: 'crest-works',
      jobClass: 'badge-run',
      idempotent: true,
      size: {...SMALL, memoryGigabytes: 4000},
      payload: '',
    });
    await fleet.run(5000);
    const {rejection} = await published;
    assert.equal(rejection?.reason, 'job_impossible');
    assert.match(rejection?.detail ?? '', /4000 GB.*128/);
  });

  describe('of an urgent team behind many others', () => {
    it('run first once capacity is free', async () => {
      const fleet = await FleetHarness.start(KINGSTON);
      for (let n = 0; n < 150; n++) await submit(fleet, `night-${n}`);
      await submit(fleet, 'preview', {team: 'counter'});
      await fleet.runUntil(
        () => job(fleet, 'preview')?.state === JobState.Finished,
      );
      const waiting = jobIndexOf(fleet.state).queuedCountOfPool('crest-works');
      assert.ok(
        waiting > 0,
        'all other jobs had left the queue before the urgent one finished',
      );
    });
  });

  describe('that are not idempotent', () => {
    // The holder of the lease is disconnected from the platform for longer than the
    // lease, and the task may have continued. The platform then reports it as lapsed: its
    // outcome is unknown, so the job ends with an unknown outcome and is never started
    // again.
    it('are not run again when the lease lapsed', async () => {
      const fleet = await FleetHarness.start(KINGSTON);
      fleet.behaviour = () => ({
        runMilliseconds: 10 * MINUTE,
        fails: false,
        usage: SMALL,
      });
      await submit(fleet, 'billing-1', {idempotent: false});
      await fleet.runUntil(() => fleet.leases.startCounts.size === 1);
      fleet.leases.faults.add(LeaseFault.Outage);
      await fleet.run(5 * MINUTE);
      fleet.leases.faults.delete(LeaseFault.Outage);
      await fleet.run(30 * MINUTE);
      assert.equal(job(fleet, 'billing-1')?.state, JobState.OutcomeUnknown);
      assert.deepEqual([...fleet.leases.startCounts], [['billing-1/1', 1]]);
    });

    // Every response of the platform is lost although the start took effect. A start with
    // the same id is the same task, so it runs once.
    it('run once when every response of the platform is lost', async () => {
      const fleet = await FleetHarness.start(KINGSTON);
      fleet.leases.faults.add(LeaseFault.LostResponses);
      await submit(fleet, 'billing-1', {idempotent: false});
      await fleet.runUntil(
        () => job(fleet, 'billing-1')?.state !== JobState.Placed,
        30 * MINUTE,
      );
      await fleet.run(5 * MINUTE);
      assert.deepEqual([...fleet.leases.startCounts], [['billing-1/1', 1]]);
    });

    // The planner pauses between placing and starting a job, and another takes over and starts the
    // task. The first one resumes and starts it too; both use the id of the same attempt.
    it('run once when the planner was paused between placing and starting', async () => {
      const fleet = await FleetHarness.start(KINGSTON, 3);
      const paused = fleet.planningDaemon;
      assert.ok(paused);
      fleet.leases.faults.add(LeaseFault.Outage);
      await submit(fleet, 'billing-1', {idempotent: false});
      await fleet.run(5000);
      paused.sharedState.isDisconnected = true;
      await fleet.run(3 * MINUTE);
      fleet.leases.faults.delete(LeaseFault.Outage);
      await fleet.run(MINUTE);
      paused.sharedState.isDisconnected = false;
      await fleet.run(10 * MINUTE);
      const [, ...otherCounts] = [...fleet.leases.startCounts.values()];
      assert.deepEqual(otherCounts, []);
      assert.equal(fleet.leases.startCounts.get('billing-1/1'), 1);
    });

    it('delay a drain instead of being stopped', async () => {
      const fleet = await FleetHarness.start(KINGSTON);
      await submit(fleet, 'billing-1', {idempotent: false});
      await fleet.runUntil(() => fleet.leases.startCounts.size === 1);
      const vm = job(fleet, 'billing-1')?.vm;
      await fleet.appendOperatorRecord({
        kind: RecordKind.DrainStarted,
        vm,
        reason: 'disk',
      });
      await fleet.run(10_000);
      assert.equal(job(fleet, 'billing-1')?.state, JobState.Placed);
      await fleet.runUntil(
        () => job(fleet, 'billing-1')?.state === JobState.Finished,
      );
    });
  });

  describe('on a VM that drains', () => {
    it('are checkpointed, stopped and run elsewhere when they are idempotent', async () => {
      const fleet = await FleetHarness.start(KINGSTON);
      await submit(fleet, 'badge-1');
      await fleet.runUntil(() => fleet.leases.startCounts.size === 1);
      const vm = job(fleet, 'badge-1')?.vm;
      await fleet.appendOperatorRecord({
        kind: RecordKind.DrainStarted,
        vm,
        reason: 'disk',
      });
      await fleet.runUntil(
        () => job(fleet, 'badge-1')?.state === JobState.Finished,
      );
      assert.ok(fleet.leases.wasCheckpointed('badge-1/1'));
      assert.equal(job(fleet, 'badge-1')?.attempt, 2);
      assert.notEqual(job(fleet, 'badge-1')?.vm, vm);
    });
  });

  describe('that fail', () => {
    it('everywhere are set aside after three VMs, and no VM is suspected', async () => {
      const fleet = await FleetHarness.start(KINGSTON);
      fleet.behaviour = ({payload}) => ({
        runMilliseconds: 1000,
        fails: payload.startsWith('bad'),
        usage: SMALL,
      });
      for (let n = 0; n < 10; n++) await submit(fleet, `good-${n}`);
      await submit(fleet, 'bad-1');
      await fleet.runUntil(
        () => job(fleet, 'bad-1')?.state === JobState.SetAside,
      );
      assert.match(job(fleet, 'bad-1')?.reason ?? '', /fails everywhere/);
      assert.equal(fleet.state.conditions.size, 0);
    });

    // One VM fails each task within a second and so always has free capacity. Distinct
    // jobs fail on it while they succeed elsewhere: it must be suspected, get no more
    // jobs and be repaired.
    it('all on one VM lead to the repair of that VM', async () => {
      const fleet = await FleetHarness.start(KINGSTON);
      const broken = 'crest-works-1';
      fleet.behaviour = ({vm}) => ({
        runMilliseconds: 1000,
        fails: vm === broken,
        usage: SMALL,
      });
      for (let n = 0; n < 60; n++) await submit(fleet, `badge-${n}`);
      await fleet.runUntil(
        () => fleet.actions.startedActions.some(action => action.vm === broken),
        30 * MINUTE,
      );
      const jobs = [...fleet.state.jobs.values()];
      assert.ok(jobs.every(entry => entry.state === JobState.Finished));
    });
  });

  describe('cancelled 10,000 at a time', () => {
    // A caller cancels 10,000 jobs together. One record holds up to 2,000 keys and each
    // key is one step of the fold; queued jobs must not start, and the few that run are
    // stopped.
    it('end at once, and none starts later', async () => {
      const fleet = await FleetHarness.start(KINGSTON);
      fleet.behaviour = () => ({
        runMilliseconds: 60 * MINUTE,
        fails: false,
        usage: SMALL,
      });
      const keys = Array.from({length: 10_000}, (_, n) => `badge-${n}`);
      const publisher = fleet.daemons[0].publisher;
      for (let from = 0; from < keys.length; from += 400) {
        const group = keys.slice(from, from + 400).map(key =>
          publisher.publish({
            kind: RecordKind.JobSubmitted,
            writer: 'moana',
            key,
            team: 'cooperatives',
            pool: 'crest-works',
            jobClass: 'badge-run',
            idempotent: true,
            size: SMALL,
            payload: '',
          }),
        );
        await fleet.run(2000);
        await Promise.all(group);
      }
      const started = fleet.leases.startCounts.size;
      assert.ok(started > 0);
      for (let from = 0; from < keys.length; from += 2000) {
        const batch = keys.slice(from, from + 2000);
        await fleet.appendOperatorRecord({
          kind: RecordKind.JobsCancelled,
          keys: batch,
        });
      }
      await fleet.run(MINUTE);
      const states = new Set(
        [...fleet.state.jobs.values()].map(entry => entry.state),
      );
      assert.deepEqual([...states], [JobState.Cancelled]);
      assert.ok(fleet.leases.startCounts.size <= started + 48);
      assert.equal(jobIndexOf(fleet.state).queuedCountOfPool('crest-works'), 0);
    });
  });
});
