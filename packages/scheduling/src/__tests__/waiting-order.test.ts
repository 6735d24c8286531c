import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SeededRandom} from '@gentiandoor/kernel';
import {feasibilityOf, compareWaitingJobs, rankOf} from '../job-order.js';
import {orderWaiting, type WaitingWork} from '../waiting-order.js';

const MILLICORES = 1_000;
/** Jobs a second at the height of a turn that asks for about twice the pool. */
const OVERLOAD = 120;

interface Asked {
  readonly at: number;
  readonly actual: number;
  readonly estimated: number;
  readonly millicores: number;
}

interface Waiting extends WaitingWork {
  readonly asked: Asked;
}

type Order = (jobs: readonly Waiting[], now: number) => Waiting[];

/** A turn of eight seconds: jobs come at a rate that rises and falls, each takes a part of the pool. */
function turn(seed: number, jobsPerSecond: number): Asked[] {
  const random = new SeededRandom(seed);
  const asked: Asked[] = [];
  for (let at = 0; at < 8_000; at += 10) {
    const rate = jobsPerSecond * Math.sin((Math.PI * at) / 8_000);
    if (random.nextFraction() >= rate / 100) continue;
    const actual = 300 + 1_200 * random.nextFraction();
    asked.push({
      at,
      actual,
      // Estimates are off by up to a third either way.
      estimated: actual * (0.7 + 0.6 * random.nextFraction()),
      // One to 24 tasks, few of them large.
      millicores:
        5 *
        Math.min(24, 1 - Math.floor(8 * Math.log(1 - random.nextFraction()))),
    });
  }
  return asked;
}

function waiting(asked: Asked, now: number): Waiting {
  const objective = 1.6 * asked.estimated + 600;
  const job = {
    priority: 0,
    dueAt: asked.at + objective,
    expiresAt: asked.at + 3 * objective,
    remainingCriticalPathMilliseconds: asked.estimated,
  };
  return {
    ...job,
    rank: rankOf(feasibilityOf(job, now), false),
    remainingMillicoreMilliseconds: asked.millicores * asked.estimated,
    asked,
  };
}

/** How many jobs of a turn end in time on a pool of fixed size. */
function inTime(turnOf: readonly Asked[], order: Order): number {
  let queue: Asked[] = [];
  let running: Array<{endsAt: number; millicores: number}> = [];
  let count = 0;
  for (let now = 0; now < 16_000; now += 10) {
    queue.push(...turnOf.filter(one => one.at === now));
    running = running.filter(run => run.endsAt > now);
    let free = MILLICORES;
    for (const run of running) free -= run.millicores;
    const left: Asked[] = [];
    for (const {asked} of order(
      queue.map(one => waiting(one, now)),
      now,
    )) {
      if (asked.millicores > free) {
        left.push(asked);
        continue;
      }
      free -= asked.millicores;
      const endsAt = now + asked.actual;
      running.push({endsAt, millicores: asked.millicores});
      if (endsAt <= asked.at + 1.6 * asked.actual + 600) count++;
    }
    queue = left;
  }
  return count;
}

const planned: Order = (jobs, now) =>
  orderWaiting(
    jobs,
    {usableMillicores: MILLICORES, incomingMillicores: 0},
    now,
  );
const byLatestStart: Order = jobs => [...jobs].sort(compareWaitingJobs);
const byEnd: Order = jobs =>
  [...jobs].sort(
    (left, right) => left.rank - right.rank || left.dueAt - right.dueAt,
  );

function total(order: Order, jobsPerSecond: number): number {
  let sum = 0;
  for (let seed = 1; seed <= 5; seed++)
    sum += inTime(turn(seed, jobsPerSecond), order);
  return sum;
}

describe('orderWaiting', () => {
  // Callers of a turn that asks for half as much again as the fleet holds. By latest start each job
  // begins as late as it may, and nearly all of them end a little too late.
  it('leaves more jobs in time than other orders where not all can be', () => {
    const own = total(planned, OVERLOAD);
    assert.ok(own > 1.1 * total(byLatestStart, OVERLOAD), `${own}`);
    assert.ok(own > total(byEnd, OVERLOAD), `${own}`);
  });

  it('costs nothing where all can be in time', () => {
    assert.ok(total(planned, 45) >= 0.99 * total(byLatestStart, 45));
  });

  it('goes by the latest start while VMs that are on their way suffice', () => {
    const jobs = [1, 2, 3].map(index =>
      waiting(
        {
          at: 0,
          actual: 400 * index,
          estimated: 400 * index,
          millicores: 500,
        },
        0,
      ),
    );
    const room = {usableMillicores: 100, incomingMillicores: 50_000};
    const ordered = orderWaiting(jobs, room, 0);
    assert.deepEqual(ordered, [...jobs].sort(compareWaitingJobs));
  });

  it('puts what it has put off before what is late', () => {
    const jobs = Array.from({length: 30}, (_, index) =>
      waiting(
        {
          at: index < 3 ? -2_500 : 0,
          actual: 1_000,
          estimated: 1_000,
          millicores: 400,
        },
        0,
      ),
    );
    const ordered = planned(jobs, 0);
    assert.deepEqual(
      ordered.slice(-3).map(job => job.asked.at),
      [-2_500, -2_500, -2_500],
    );
  });
});
