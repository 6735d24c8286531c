import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {PLAIN_STEP, type StepSpecification} from '@gentiandoor/jobs';
import {LeaseClock, worstCaseLeaseMilliseconds} from '../lease-clock.js';
import {
  PlacementShortage,
  indicatesFullPool,
  shortageOf,
} from '../placement-shortage.js';
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
    totalMegabytes: 10_000,
    totalAccelerators: 0,
    latencySensitiveTaskCount: 0,
    bestEffortTaskCount: 0,
    taskCount: 0,
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
  // A pool in which every VM carries a little work cannot release any.
  it('fills one worker before it uses the next', () => {
    const workers = [worker('empty'), worker('used', {freeMillicores: 3_000})];
    assert.equal(choose(workers), 'used');
  });

  it('skips workers without free capacity, without the required label or at the step’s limit of tasks', () => {
    assert.equal(choose([worker('full', {freeMillicores: 1_000})]), undefined);
    assert.equal(choose([worker('other')], {requiredLabel: 'gpu'}), undefined);
    const crowded = worker('crowded', {taskCountOfStep: () => 1});
    assert.equal(choose([crowded], {maximumPerWorker: 1}), undefined);
  });

  it('avoids a worker on which the task has failed while there is another', () => {
    const workers = [worker('a', {freeMillicores: 3_000}), worker('b')];
    assert.equal(choose(workers, {}, ['a']), 'b');
    assert.equal(choose([workers[0]], {}, ['a']), 'a');
  });

  it('prefers a worker on the preferred rack', () => {
    const workers = [
      worker('near', {labels: ['rack-2']}),
      worker('used', {freeMillicores: 3_000}),
    ];
    assert.equal(choose(workers, {preferredRack: 'rack-2'}), 'near');
  });

  it('isolates a task that may crash its worker from other jobs', () => {
    const used = worker('used', {
      freeMillicores: 3_000,
      hasCrashRiskFromOtherJob: () => true,
    });
    assert.equal(choose([used, worker('empty')], {}, [], true), 'empty');
    assert.equal(choose([used], {}, [], true), undefined);
    assert.equal(choose([used, worker('empty')]), 'used');
  });

  it('places only tasks of the same job next to an isolated task', () => {
    const other = worker('other', {isolatedJob: () => 'b'});
    const own = worker('own', {isolatedJob: () => 'a'});
    assert.equal(choose([other]), undefined);
    assert.equal(choose([other, own]), 'own');
  });

  it('places best-effort tasks where the fewest serving tasks run', () => {
    const workers = [
      worker('serving', {latencySensitiveTaskCount: 2}),
      worker('quiet'),
    ];
    assert.equal(choose(workers, {bestEffort: true}), 'quiet');
  });
});

describe('LeaseClock', () => {
  // A worker's clock may be 2% slow, so by the local clock its lease lasts longer than
  // its nominal duration.
  it('reports a lease as expired only when it has expired on the slowest clock', () => {
    const lease = new LeaseClock();
    lease.observe(50_000, 1_000);
    lease.recordGrant(lease.leaseEnd(1_000, 8_000));
    assert.equal(lease.hasLapsed(1_000 + 8_000), false);
    assert.equal(
      lease.hasLapsed(1_000 + worstCaseLeaseMilliseconds(8_000) + 1),
      true,
    );
  });

  it('never reports a lease as expired before the first reading of the worker’s clock', () => {
    assert.equal(new LeaseClock().hasLapsed(1e9), false);
  });
});

describe('shortageOf', () => {
  const plainStep = {...PLAIN_STEP, processorMillicores: 1_000};

  function shortage(
    workers: readonly PlacementWorker[],
    overrides: Partial<StepSpecification> = {},
  ): PlacementShortage {
    return shortageOf(
      {
        stepKey: 'a',
        step: {...plainStep, ...overrides},
        job: 'job',
        avoid: {workers: new Set(), isMandatory: false},
        isIsolated: false,
        now: 0,
      },
      workers,
    );
  }

  it('tells what a task lacks', () => {
    const full = worker('full', {freeMillicores: 500});
    const taken = worker('taken', {taskCountOfStep: () => 1});
    assert.equal(shortage([]), PlacementShortage.NoWorker);
    assert.equal(
      shortage([full], {requiredLabel: 'missing'}),
      PlacementShortage.NoSuitableWorker,
    );
    assert.equal(
      shortage([full], {processorMillicores: 20_000}),
      PlacementShortage.NoSuitableWorker,
    );
    assert.equal(
      shortage([taken], {maximumPerWorker: 1}),
      PlacementShortage.SpreadLimit,
    );
    assert.equal(shortage([full]), PlacementShortage.Capacity);
    assert.equal(
      shortage([worker('suspect', {reliability: 0, taskCount: 1})]),
      PlacementShortage.Restricted,
    );
  });

  it('indicates a full pool only if capacity is short and half of it in use', () => {
    const full = worker('full', {freeMillicores: 500});
    const idle = worker('idle', {
      freeMillicores: 10_000,
      freeMegabytes: 10_000,
    });
    const {Capacity, SpreadLimit} = PlacementShortage;
    assert.equal(indicatesFullPool(Capacity, [full]), true);
    assert.equal(indicatesFullPool(Capacity, [full, idle, idle]), false);
    assert.equal(indicatesFullPool(SpreadLimit, [full]), false);
  });
});
