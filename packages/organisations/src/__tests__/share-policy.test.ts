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

function claims(ledger: ResourceReservations): PoolShares {
  return {
    capacity: POOL,
    totalWeight: 5,
    weightOf: name => WEIGHTS.get(name) ?? 0,
    usedBy: name => ledger.usedBy(name),
  };
}

interface Job extends OrganisationWork {
  readonly id: number;
  readonly at: number;
}

/** A pool in which jobs take a second on average; counts the jobs of each organisation that wait for no more than that. */
class Pool {
  private readonly ledger = new ResourceReservations();
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
      if (until <= now) this.ledger.release(String(id));
    this.running = this.running.filter(({until}) => until > now);
    const started = new Set<Job>();
    for (const job of this.order.order(this.waiting, claims(this.ledger))) {
      if (this.running.length >= 100) break;
      const takes = 200 + 1_600 * this.random.nextFraction();
      this.running.push({id: job.id, until: now + takes});
      this.ledger.reserve(String(job.id), job.organisation ?? '', TASK);
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

/** Ten seconds in which `hot` sends `times` its usual of 40 jobs a second, the others half of the room. */
function playHotOrganisation(order: SharePolicy, times: number): Pool {
  const pool = new Pool(order);
  const random = new SeededRandom(5);
  const rates = new Map([
    ['hot', 0.04 * times],
    ['small', 0.015],
    ['other', 0.035],
  ]);
  for (let now = 0; now < 10_000; now += 10) {
    for (const [organisation, rate] of rates)
      for (let chance = rate * 10; chance > 0; chance--)
        if (random.nextFraction() < chance) pool.send(organisation, now);
    pool.step(now);
  }
  return pool;
}

describe('one organisation that sends five times its usual', () => {
  // Everybody's jobs wait behind those of one organisation, which takes as much of the pool as it sends.
  it('makes the others wait where nobody looks at shares', () => {
    const pool = playHotOrganisation(new UnchangedOrder(), 5);
    assert.ok(pool.promptShare('small') < 0.5);
    assert.ok(pool.promptShare('other') < 0.5);
  });

  for (const order of [new LeastShareFirst(), new OverShareLast()])
    it(`costs the others nothing with ${order.constructor.name}`, () => {
      const pool = playHotOrganisation(order, 5);
      assert.ok(pool.promptShare('small') > 0.98);
      assert.ok(pool.promptShare('other') > 0.98);
      assert.equal(pool.used, 100, 'what the others leave is used');
    });

  it('changes nothing while there is room for all', () => {
    const pool = playHotOrganisation(new OverShareLast(), 1);
    for (const name of WEIGHTS.keys())
      assert.equal(pool.promptShare(name), 1, name);
  });
});

describe('useOfShare', () => {
  it('counts the amount of which an organisation has most, for its weight', () => {
    const ledger = new ResourceReservations();
    ledger.reserve('a', 'small', {...TASK, memoryMegabytes: 40_000});
    assert.equal(shareUtilisation('small', claims(ledger)), 1);
    ledger.reserve('b', 'other', {...TASK, processorMillicores: 80_000});
    assert.equal(shareUtilisation('other', claims(ledger)), 2);
  });

  it('gives no share to a weight of 0: its work goes last', () => {
    const ledger = new ResourceReservations();
    const work: OrganisationWork[] = [
      {organisation: 'nobody'},
      {organisation: 'small'},
      {organisation: undefined},
    ];
    const order = [...new OverShareLast().order(work, claims(ledger))].map(
      ({organisation}) => organisation,
    );
    assert.deepEqual(order, ['small', undefined, 'nobody']);
  });
});
