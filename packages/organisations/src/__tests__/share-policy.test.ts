import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SeededRandom} from '@gentiandoor/kernel';
import {
  OverShareLast,
  LeastShareFirst,
  ResourceReservations,
  UnchangedOrder,
  shareUtilisation,
  type PoolShares,
  type Resources,
  type SharePolicy,
  type OrganisationWork,
} from '../index.js';

const POOL: Resources = {
  processorMillicores: 100_000,
  memoryMegabytes: 200_000,
  accelerators: 0,
};
const TASK: Resources = {
  processorMillicores: 1_000,
  memoryMegabytes: 1_000,
  accelerators: 0,
};
const WEIGHTS = new Map([
  ['hot', 2],
  ['small', 1],
  ['other', 2],
]);

function poolShares(reservations: ResourceReservations): PoolShares {
  return {
    capacity: POOL,
    totalWeight: 5,
    weightOf: name => WEIGHTS.get(name) ?? 0,
    usedBy: name => reservations.usedBy(name),
  };
}

interface Job extends OrganisationWork {
  readonly id: number;
  readonly at: number;
}

/**
 * A pool in which jobs take one second on average; counts the jobs of each organisation
 * that wait for at most that long.
 */
class Pool {
  private readonly reservations = new ResourceReservations();
  private readonly random = new SeededRandom(11);
  private running: Array<{id: number; until: number}> = [];
  private waiting: Job[] = [];
  private readonly prompt = new Map<string, number>();
  private readonly sent = new Map<string, number>();
  private ids = 0;

  constructor(private readonly order: SharePolicy) {}

  send(organisation: string, at: number): void {
    this.waiting.push({organisation, id: this.ids++, at});
    this.sent.set(organisation, (this.sent.get(organisation) ?? 0) + 1);
  }

  step(now: number): void {
    for (const {id, until} of this.running)
      if (until <= now) this.reservations.release(String(id));
    this.running = this.running.filter(({until}) => until > now);
    const started = new Set<Job>();
    for (const job of this.order.order(
      this.waiting,
      poolShares(this.reservations),
    )) {
      if (this.running.length >= 100) break;
      const takes = 200 + 1_600 * this.random.nextFraction();
      this.running.push({id: job.id, until: now + takes});
      this.reservations.reserve(String(job.id), job.organisation ?? '', TASK);
      started.add(job);
      if (now - job.at <= 1_000) this.notePrompt(job);
    }
    this.waiting = this.waiting.filter(job => !started.has(job));
  }

  promptShare(organisation: string): number {
    const sent = this.sent.get(organisation) ?? 0;
    return (this.prompt.get(organisation) ?? 0) / sent;
  }

  get used(): number {
    return this.running.length;
  }

  private notePrompt({organisation = ''}: Job): void {
    this.prompt.set(organisation, (this.prompt.get(organisation) ?? 0) + 1);
  }
}

/**
 * Simulates ten seconds in which `hot` sends `times` its usual 40 jobs per second, and
 * the others use half of the capacity.
 */
function simulateOverload(order: SharePolicy, times: number): Pool {
  const pool = new Pool(order);
  const random = new SeededRandom(5);
  const rates = new Map([
    ['hot', 0.04 * times],
    ['small', 0.015],
    ['other', 0.035],
  ]);
  for (let now = 0; now < 10_000; now += 10) {
    for (const [organisation, rate] of rates)
      for (let expected = rate * 10; expected > 0; expected--)
        if (random.nextFraction() < expected) pool.send(organisation, now);
    pool.step(now);
  }
  return pool;
}

describe('an organisation that sends five times its usual load', () => {
  // All jobs wait behind those of one organisation, which takes capacity in proportion
  // to what it sends.
  it('makes the others wait if shares are ignored', () => {
    const pool = simulateOverload(new UnchangedOrder(), 5);
    assert.ok(pool.promptShare('small') < 0.5);
    assert.ok(pool.promptShare('other') < 0.5);
  });

  for (const order of [new LeastShareFirst(), new OverShareLast()])
    it(`does not delay the others with ${order.constructor.name}`, () => {
      const pool = simulateOverload(order, 5);
      assert.ok(pool.promptShare('small') > 0.98);
      assert.ok(pool.promptShare('other') > 0.98);
      assert.equal(pool.used, 100, 'capacity left by the others is used');
    });

  it('changes nothing while there is capacity for all', () => {
    const pool = simulateOverload(new OverShareLast(), 1);
    for (const name of WEIGHTS.keys())
      assert.equal(pool.promptShare(name), 1, name);
  });
});

describe('shareUtilisation', () => {
  it('uses the resource of which an organisation uses most, relative to its weight', () => {
    const reservations = new ResourceReservations();
    reservations.reserve('a', 'small', {...TASK, memoryMegabytes: 40_000});
    assert.equal(shareUtilisation('small', poolShares(reservations)), 1);
    reservations.reserve('b', 'other', {...TASK, processorMillicores: 80_000});
    assert.equal(shareUtilisation('other', poolShares(reservations)), 2);
  });

  it('defers the work of an organisation with a weight of 0', () => {
    const reservations = new ResourceReservations();
    const work: OrganisationWork[] = [
      {organisation: 'nobody'},
      {organisation: 'small'},
      {organisation: undefined},
    ];
    const order = [
      ...new OverShareLast().order(work, poolShares(reservations)),
    ].map(({organisation}) => organisation);
    assert.deepEqual(order, ['small', undefined, 'nobody']);
  });
});
