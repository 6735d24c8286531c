import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {PLAIN_STEP, type StepSpecification} from '@gentiandoor/jobs';
import {LeaseClock, worstCaseLeaseMilliseconds} from '../lease-clock.js';
import {FullestFirst} from '../worker-choice.js';
import type {PlacementWorker} from '../placement-worker.js';

const STEP: StepSpecification = {...PLAIN_STEP, processorMillicores: 2_000};

function worker(
  id: string,
  differences: Partial<PlacementWorker> = {},
): PlacementWorker {
  return {
    id,
    dataCentre: 'one',
    labels: ['rack-1'],
    freeMillicores: 8_000,
    freeMegabytes: 1_000,
    freeAccelerators: 0,
    totalMillicores: 10_000,
    latencySensitiveTaskCount: 0,
    bestEffortTasks: 0,
    tasks: 0,
    reliability: 1,
    taskCountOfStep: () => 0,
    isolatedJob: () => undefined,
    hasCrashRiskFromOtherJob: () => false,
    ...differences,
  };
}

function choose(
  workers: readonly PlacementWorker[],
  step: Partial<StepSpecification> = {},
  avoid: readonly string[] = [],
  isIsolated = false,
): string | undefined {
  return new FullestFirst().choose(
    {
      stepKey: 's',
      step: {...STEP, ...step},
      job: 'a',
      avoid: {workers: new Set(avoid), isMandatory: true},
      isIsolated,
      now: 0,
    },
    workers,
  )?.id;
}

describe('FullestFirst', () => {
  // A pool whose VMs all carry a little can give none away.
  it('fills one worker before it begins the next', () => {
    const workers = [worker('empty'), worker('used', {freeMillicores: 3_000})];
    assert.equal(choose(workers), 'used');
  });

  it('takes no worker without room, label or trust in the step’s bound', () => {
    assert.equal(choose([worker('full', {freeMillicores: 1_000})]), undefined);
    assert.equal(choose([worker('other')], {requiredLabel: 'gpu'}), undefined);
    const crowded = worker('crowded', {taskCountOfStep: () => 1});
    assert.equal(choose([crowded], {maximumPerWorker: 1}), undefined);
  });

  it('goes elsewhere after a failure, while it can', () => {
    const workers = [worker('a', {freeMillicores: 3_000}), worker('b')];
    assert.equal(choose(workers, {}, ['a']), 'b');
    assert.equal(choose([workers[0]], {}, ['a']), 'a');
  });

  it('prefers the rack of the data', () => {
    const workers = [
      worker('near', {labels: ['rack-2']}),
      worker('used', {freeMillicores: 3_000}),
    ];
    assert.equal(choose(workers, {preferredRack: 'rack-2'}), 'near');
  });

  it('keeps a task apart that may crash its worker', () => {
    const used = worker('used', {
      freeMillicores: 3_000,
      hasCrashRiskFromOtherJob: () => true,
    });
    assert.equal(choose([used, worker('empty')], {}, [], true), 'empty');
    assert.equal(choose([used], {}, [], true), undefined);
    assert.equal(choose([used, worker('empty')]), 'used');
  });

  it('lets only the job itself join a task that is kept apart', () => {
    const other = worker('other', {isolatedJob: () => 'b'});
    const own = worker('own', {isolatedJob: () => 'a'});
    assert.equal(choose([other]), undefined);
    assert.equal(choose([other, own]), 'own');
  });

  it('puts best-effort tasks where the least serves', () => {
    const workers = [
      worker('serving', {latencySensitiveTaskCount: 2}),
      worker('quiet'),
    ];
    assert.equal(choose(workers, {bestEffort: true}), 'quiet');
  });
});

describe('LeaseClock', () => {
  // A worker's clock may be 2% slow: by our clock its lease lasts longer than it was given for.
  it('does not call a lease over before it is on the slowest clock', () => {
    const lease = new LeaseClock();
    lease.observe(50_000, 1_000);
    lease.recordGrant(lease.leaseEnd(1_000, 8_000));
    assert.equal(lease.hasLapsed(1_000 + 8_000), false);
    assert.equal(
      lease.hasLapsed(1_000 + worstCaseLeaseMilliseconds(8_000) + 1),
      true,
    );
  });

  it('never calls a lease over on a worker that was not heard of', () => {
    assert.equal(new LeaseClock().hasLapsed(1e9), false);
  });
});
