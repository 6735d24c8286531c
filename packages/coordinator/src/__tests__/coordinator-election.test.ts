import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SeededRandom, SilentLogger, VirtualClock} from '@gentiandoor/kernel';
import {CoordinatorElection, coordinatorStrength} from '../index.js';
import {
  MemoryStore,
  StoreFault,
  type StoreConnection,
} from '../stand-ins/index.js';

interface Candidate {
  readonly election: CoordinatorElection;
  readonly store: StoreConnection;
  readonly began: number[];
}

class Candidates {
  readonly clock = new VirtualClock();
  private readonly store = new MemoryStore(this.clock);

  constructor(private seed = 1) {}

  add(node: string, strength: number, isFirstStart = false): Candidate {
    const began: number[] = [];
    const store = this.store.connect();
    const election = new CoordinatorElection(
      store,
      {node, incarnation: `${node}/${this.seed}`, strength, isFirstStart},
      this.clock,
      new SeededRandom(this.seed++),
      new SilentLogger(),
      {
        onTermStarted: () => began.push(this.clock.monotonicMilliseconds()),
        onTermEnded: () => undefined,
      },
    );
    election.start();
    return {election, store, began};
  }
}

const WEAK = 0.2;
const STRONG = 1.35;

/** Kills a strong coordinator among weak daemons and one more strong one. */
async function loseStrongCoordinator(seed: number): Promise<{
  all: Candidates;
  weak: readonly Candidate[];
  strong: Candidate;
}> {
  const all = new Candidates(seed);
  const first = all.add('strong-1', STRONG);
  await all.clock.advanceAsync(100);
  const weak = Array.from({length: 8}, (_, index) =>
    all.add(`weak-${index}`, WEAK),
  );
  const strong = all.add('strong-2', STRONG);
  await all.clock.advanceAsync(2_000);
  first.store.kill();
  return {all, weak, strong};
}

/**
 * Returns when the only other daemon takes the term after a strong coordinator was
 * killed.
 */
async function loseCoordinatorBesideOne(strength: number): Promise<{
  began: readonly number[];
  lostAt: number;
}> {
  const all = new Candidates();
  const first = all.add('first', STRONG);
  await all.clock.advanceAsync(100);
  const {began} = all.add('second', strength);
  await all.clock.advanceAsync(2_000);
  first.store.kill();
  const lostAt = all.clock.monotonicMilliseconds();
  await all.clock.advanceAsync(3_000);
  return {began, lostAt};
}

describe('the next term', () => {
  describe('among VMs of several sizes', () => {
    // The coordinator's VM is lost, one of the many small ones is the quickest to take
    // the term, and its processor and link can't carry the load. Callers wait for seconds
    // and are then refused.
    it('goes to a strong VM while one is available', async () => {
      for (const seed of [100, 200, 300, 400]) {
        const {all, weak, strong} = await loseStrongCoordinator(seed);
        await all.clock.advanceAsync(2_000);
        assert.equal(strong.began.length, 1, `seed ${seed}`);
        assert.ok(weak.every(one => one.began.length === 0));
      }
    });

    // The store is unavailable for seconds, for all daemons. When it is back all of them
    // have long been due, and the first of many small VMs to reach it took the term.
    it('goes to a strong VM when the store comes back from an outage', async () => {
      for (const seed of [100, 200, 300, 400]) {
        const {all, weak, strong} = await loseStrongCoordinator(seed);
        const others = [strong, ...weak];
        for (const {store} of others) store.setFault(StoreFault.Refusing);
        await all.clock.advanceAsync(4_000);
        for (const {store} of others) store.setFault(undefined);
        await all.clock.advanceAsync(2_000);
        assert.equal(strong.began.length, 1, `seed ${seed}`);
        assert.ok(weak.every(one => one.began.length === 0));
      }
    });

    // All strong VMs are lost permanently; a weak coordinator is better than none.
    it('goes to a weak VM soon after if no strong one takes it', async () => {
      const {began, lostAt} = await loseCoordinatorBesideOne(WEAK);
      assert.equal(began.length, 1);
      assert.ok(began[0] - lostAt < 2_200);
    });

    // Forty daemons that each read every renewal of the term cost the store more calls
    // than all the jobs of a normal day, and callers are refused where the store limits
    // its calls. Daemons that would not take the next term anyway read rarely; the strong
    // ones continue to read each renewal.
    it('is watched closely by strong VMs only', async () => {
      const all = new Candidates();
      const strong = [all.add('strong-0', STRONG), all.add('strong-1', STRONG)];
      const weak = all.add('weak', WEAK);
      await all.clock.advanceAsync(2_000);
      const before = weak.store.reads;
      const other = strong.find(one => one.began.length === 0);
      const beforeOther = other?.store.reads ?? 0;
      await all.clock.advanceAsync(10_000);
      const reads = weak.store.reads - before;
      assert.ok(reads <= 20, `${reads} reads in ten seconds`);
      assert.ok((other?.store.reads ?? 0) - beforeOther >= 38);
    });

    // Each daemon publishes its strength at startup, and the first one to start would
    // not wait for the others to do so.
    it('goes to a strong VM when all start for the first time', async () => {
      const all = new Candidates();
      const weak = Array.from({length: 8}, (_, index) =>
        all.add(`weak-${index}`, WEAK, true),
      );
      await all.clock.advanceAsync(300);
      const strong = all.add('strong', STRONG, true);
      await all.clock.advanceAsync(2_000);
      assert.equal(strong.began.length, 1);
      assert.ok(weak.every(one => one.began.length === 0));
    });

    // A restarted weak coordinator must not take its term again ahead of a strong VM.
    it('is not taken again by a weak VM that has restarted', async () => {
      const all = new Candidates();
      const weak = all.add('weak', WEAK);
      await all.clock.advanceAsync(500);
      const strong = all.add('strong', STRONG);
      await all.clock.advanceAsync(1_000);
      weak.store.kill();
      const again = all.add('weak', WEAK);
      await all.clock.advanceAsync(2_500);
      assert.equal(strong.began.length, 1);
      assert.equal(again.began.length, 0);
    });
  });

  describe('among VMs of one size', () => {
    it('takes no longer than without published strengths', async () => {
      const {began, lostAt} = await loseCoordinatorBesideOne(STRONG);
      assert.ok(began[0] - lostAt < 1_650);
    });

    // Nothing starts without a coordinator: callers of a burst wait for as long as the
    // term lasts.
    it('goes to another daemon within 1.1 s of the loss of its holder', async () => {
      const {began, lostAt} = await loseCoordinatorBesideOne(STRONG);
      assert.ok(began[0] - lostAt < 1_100);
    });

    // A store that is slowed down sixty times responds in 240 ms. A term as short as on a
    // normal day would expire between two renewals, and no orders could be given for part
    // of each.
    it('is kept without a gap while the store is slow', async () => {
      const all = new Candidates();
      const holder = all.add('one', STRONG);
      const other = all.add('two', STRONG);
      await all.clock.advanceAsync(1_000);
      for (const {store} of [holder, other]) store.answerMilliseconds = 240;
      await all.clock.advanceAsync(600);
      let invalid = 0;
      for (let step = 0; step < 400; step++) {
        await all.clock.advanceAsync(10);
        if (!holder.election.isValid) invalid++;
      }
      assert.equal(invalid, 0);
      assert.deepEqual(other.began, []);
    });
  });
});

describe('coordinatorStrength', () => {
  it('is the smaller of the limits that processor and link set', () => {
    const strong = coordinatorStrength({cores: 1.35, megabitsPerSecond: 200});
    const thin = coordinatorStrength({cores: 1.35, megabitsPerSecond: 10});
    assert.ok(thin < strong);
    assert.equal(strong, 1.35);
  });
});
