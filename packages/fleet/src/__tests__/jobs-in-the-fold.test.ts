import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  JobOutcome,
  JobState,
  MAXIMUM_QUEUED_JOBS_PER_TEAM,
  RecordKind,
  RejectionReason,
  jobIndexOf,
} from '@gentiandoor/shared-state';
import {KINGSTON} from '@gentiandoor/stand-ins';
import {JobSizeEstimator} from '../job-size-estimator.js';
import {TeamOrder} from '../team-order.js';
import {FaultyVmDetector} from '../faulty-vm-detector.js';
import {FoldedFleet, PLANNER} from './fold-helpers.js';

const SIZE = {processors: 2, memoryGigabytes: 4, accelerators: 0, slots: 1};

function submit(fleet: FoldedFleet, key: string, overrides: object = {}) {
  return fleet.write('moana', {
    kind: RecordKind.JobSubmitted,
    key,
    team: 'cooperatives',
    pool: 'crest-works',
    jobClass: 'badge-run',
    idempotent: true,
    size: SIZE,
    payload: 'badges',
    ...overrides,
  });
}

function place(fleet: FoldedFleet, key: string, attempt: number, vm: string) {
  return fleet.write(PLANNER, {
    kind: RecordKind.JobPlaced,
    term: 1,
    key,
    attempt,
    vm,
  });
}

function report(fleet: FoldedFleet, key: string, outcome: JobOutcome) {
  const attempt = fleet.state.jobs.get(key)?.attempt ?? 0;
  const reports = [{key, attempt, outcome}];
  return fleet.write(PLANNER, {
    kind: RecordKind.JobsReported,
    term: 1,
    reports,
  });
}

function fleetWithPlanner(): FoldedFleet {
  const fleet = new FoldedFleet(KINGSTON);
  fleet.takeTerm(PLANNER, 0);
  return fleet;
}

describe('jobs in the fold', () => {
  it('are rejected under a key that is in use, also after the end of its job', () => {
    const fleet = fleetWithPlanner();
    submit(fleet, 'badge-1');
    const {rejection} = submit(fleet, 'badge-1', {payload: 'other'});
    assert.equal(rejection?.reason, RejectionReason.JobDuplicate);
    place(fleet, 'badge-1', 1, 'crest-works-1');
    report(fleet, 'badge-1', JobOutcome.Finished);
    assert.equal(submit(fleet, 'badge-1').rejection, undefined);
    const late = submit(fleet, 'badge-1', {payload: 'other'});
    assert.equal(late.rejection?.reason, RejectionReason.JobDuplicate);
    assert.equal(fleet.state.jobs.get('badge-1')?.state, JobState.Finished);
  });

  // Two planners placed the same job one after the other; the second planner's record names an
  // attempt that the first has used.
  it('accept the same attempt only once', () => {
    const fleet = fleetWithPlanner();
    submit(fleet, 'badge-1');
    assert.equal(
      place(fleet, 'badge-1', 1, 'crest-works-1').rejection,
      undefined,
    );
    const again = place(fleet, 'badge-1', 1, 'crest-works-2');
    assert.equal(again.rejection?.reason, RejectionReason.JobState);
  });

  it('return to the queue only if no VM can have run them, or they are idempotent', () => {
    const stateAfter = (idempotent: boolean, outcome: JobOutcome) => {
      const fleet = fleetWithPlanner();
      submit(fleet, 'job', {idempotent});
      place(fleet, 'job', 1, 'crest-works-1');
      report(fleet, 'job', outcome);
      return fleet.state.jobs.get('job')?.state;
    };
    assert.equal(stateAfter(false, JobOutcome.NeverStarted), JobState.Queued);
    assert.equal(stateAfter(false, JobOutcome.Lapsed), JobState.OutcomeUnknown);
    assert.equal(
      stateAfter(false, JobOutcome.Stopped),
      JobState.OutcomeUnknown,
    );
    assert.equal(stateAfter(false, JobOutcome.Failed), JobState.Failed);
    assert.equal(stateAfter(true, JobOutcome.Lapsed), JobState.Queued);
  });

  it('stay within the quota of a team and the slots of a VM', () => {
    const fleet = fleetWithPlanner();
    for (let n = 0; n < 9; n++) submit(fleet, `job-${n}`, {team: 'ledger'});
    for (let n = 0; n < 8; n++)
      assert.equal(
        place(fleet, `job-${n}`, 1, 'crest-works-1').rejection,
        undefined,
      );
    const {rejection} = place(fleet, 'job-8', 1, 'crest-works-1');
    assert.match(rejection?.detail ?? '', /8 slots and 8 are taken/);
  });

  it('are rejected above the maximum that one team may have waiting', () => {
    const fleet = fleetWithPlanner();
    for (let n = 0; n < MAXIMUM_QUEUED_JOBS_PER_TEAM; n++)
      submit(fleet, `job-${n}`);
    const {rejection} = submit(fleet, 'one-more');
    assert.equal(rejection?.reason, RejectionReason.QuotaExceeded);
    const other = submit(fleet, 'preview', {team: 'counter'});
    assert.equal(other.rejection, undefined);
    assert.equal(
      jobIndexOf(fleet.state).queuedCountOfTeam('cooperatives'),
      MAXIMUM_QUEUED_JOBS_PER_TEAM,
    );
  });
});

describe('TeamOrder', () => {
  it('puts urgent teams first and shares the rest by weight', () => {
    const fleet = fleetWithPlanner();
    for (const team of ['cooperatives', 'ledger', 'counter'])
      for (let n = 0; n < 30; n++) submit(fleet, `${team}-${n}`, {team});
    const order = new TeamOrder(fleet.state, 'crest-works');
    const taken: string[] = [];
    for (let n = 0; n < 10; n++) {
      const team = order.next() ?? '';
      const [key] = order.queuedKeys(team);
      order.recordTaken(team, key, 1);
      taken.push(team);
    }
    assert.deepEqual(new Set(taken), new Set(['counter']));
    order.exclude('counter');
    const rest = Array.from({length: 10}, () => {
      const team = order.next() ?? '';
      order.recordTaken(team, `${team}-x`, 1);
      return team;
    });
    const ledger = rest.filter(team => team === 'ledger').length;
    assert.equal(ledger, 5);
  });
});

describe('JobSizeEstimator', () => {
  const limit = {processors: 32, memoryGigabytes: 128, accelerators: 0};

  it('uses the declared size until it has enough reports of the class', () => {
    const fleet = fleetWithPlanner();
    submit(fleet, 'badge-1');
    const job = fleet.state.jobs.get('badge-1');
    assert.ok(job);
    const estimator = new JobSizeEstimator();
    assert.equal(estimator.sizeOf(job, limit).memoryGigabytes, 4);
    for (let n = 0; n < 5; n++)
      estimator.observe('badge-run', {
        ...limit,
        memoryGigabytes: 40,
        processors: 1,
      });
    const estimate = estimator.sizeOf(job, limit);
    assert.ok(estimate.memoryGigabytes > 40);
    assert.ok(estimate.processors < 2);
  });
});

describe('FaultyVmDetector', () => {
  it('finds a VM faulty on which distinct jobs fail while the pool succeeds', () => {
    const detector = new FaultyVmDetector();
    for (let n = 0; n < 20; n++)
      detector.observe('p', `vm-${n % 4}`, `j${n}`, false);
    for (let n = 0; n < 3; n++) detector.observe('p', 'bad', `k${n}`, true);
    assert.deepEqual([...detector.faultyVms(() => 'p')], ['bad']);
  });

  it('finds no VM faulty for one job that fails everywhere', () => {
    const detector = new FaultyVmDetector();
    for (let n = 0; n < 9; n++)
      detector.observe('p', `vm-${n % 3}`, 'same', true);
    assert.equal(detector.faultyVms(() => 'p').size, 0);
  });

  // A shared dependency is down and every VM fails every job. Suspecting all VMs would leave none,
  // and would reboot the pool for nothing.
  it('finds no VM faulty when the whole pool fails', () => {
    const detector = new FaultyVmDetector();
    for (let n = 0; n < 200; n++)
      detector.observe('p', `vm-${n % 8}`, `j${n}`, true);
    assert.equal(detector.faultyVms(() => 'p').size, 0);
  });
});
