import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {LogEvent, VirtualClock} from '@gentiandoor/kernel';
import {LogStream} from '../index.js';
import {LearnedDemandStore} from '../learned-demand-store.js';
import {ServiceDemand} from '../service-demand.js';
import {MemoryStore, StoreFault} from '../stand-ins/index.js';
import {EventCounts, job, step} from './deployment.js';

const QUEUE = 'quotes';
const ESTIMATED = step({estimatedMilliseconds: 3_000, taskCount: 4});
const RUN_MILLISECONDS = 700;

function setUp() {
  const clock = new VirtualClock();
  const store = new MemoryStore(clock);
  const logger = new EventCounts();
  const coordinator = () => {
    const demand = new ServiceDemand();
    const connection = store.connect();
    const parts = {log: connection, clock, logger};
    return {demand, connection, learned: new LearnedDemandStore(parts, demand)};
  };
  return {clock, store, logger, coordinator};
}

function recordObservations(demand: ServiceDemand): void {
  demand.note('service', {...job('a', [ESTIMATED]), queue: QUEUE}, 0);
  for (let index = 0; index < 40; index++)
    demand.noteDuration(
      QUEUE,
      ESTIMATED,
      `step-${index >> 2}`,
      RUN_MILLISECONDS,
    );
  demand.noteStartDelay(120);
}

async function load(
  clock: VirtualClock,
  learned: LearnedDemandStore,
): Promise<void> {
  const loaded = learned.load();
  await clock.advanceAsync(50);
  await loaded;
}

describe('LearnedDemandStore', () => {
  // The coordinator is lost during a burst. Its successor would use the callers'
  // estimates, four times too long here: it would order jobs and size pools by them until
  // a second of its own runs has ended.
  it('passes the learned run times on to the next coordinator', async () => {
    const {clock, coordinator} = setUp();
    const first = coordinator();
    recordObservations(first.demand);
    first.learned.start();
    await clock.advanceAsync(2_500);
    first.learned.close();
    const second = coordinator();
    await load(clock, second.learned);
    const expected = second.demand.expectedTime(QUEUE, ESTIMATED);
    assert.ok(Math.abs(expected - RUN_MILLISECONDS) < 1, `${expected} ms`);
    assert.deepEqual(second.demand.snapshot(), first.demand.snapshot());
  });

  it('writes only when something new was learned', async () => {
    const {clock, store, coordinator} = setUp();
    const {demand, learned} = coordinator();
    recordObservations(demand);
    learned.start();
    await clock.advanceAsync(20_000);
    learned.close();
    assert.equal(store.calls.append, 1);
  });

  // One job with estimates beyond measure made the sum of its queue infinite, and the figures of all
  // queues unreadable for the next coordinator.
  it('passes finite figures on whatever callers estimate', async () => {
    const {clock, coordinator, logger} = setUp();
    const first = coordinator();
    recordObservations(first.demand);
    const beyondMeasure = step({
      estimatedMilliseconds: 1e308,
      processorMillicores: 1e308,
      taskCount: 50,
    });
    first.demand.note('service', job('odd', [beyondMeasure]), 0);
    assert.ok(
      Number.isFinite(first.demand.offeredLoadMillicores('service', 0)),
    );
    first.learned.start();
    await clock.advanceAsync(2_500);
    first.learned.close();
    const second = coordinator();
    await load(clock, second.learned);
    assert.equal(logger.of(LogEvent.RecordUnreadable), 0);
    assert.deepEqual(second.demand.snapshot(), first.demand.snapshot());
  });

  it('leaves out only the queue whose figures are invalid', async () => {
    const {clock, coordinator, store} = setUp();
    const first = coordinator();
    recordObservations(first.demand);
    const {durations, ...others} = first.demand.snapshot();
    const invalid = ['odd', {...durations[0][1], weight: null}];
    const value = {...others, durations: [invalid, ...durations]};
    store.write(LogStream.Fleet, {
      key: 'learned',
      value: Buffer.from(JSON.stringify(value)),
    });
    const {demand, learned} = coordinator();
    await load(clock, learned);
    assert.deepEqual(demand.snapshot(), first.demand.snapshot());
  });

  it('begins with the estimates when the store does not respond', async () => {
    const {clock, coordinator} = setUp();
    const {demand, connection, learned} = coordinator();
    connection.setFault(StoreFault.Refusing);
    const loaded = learned.load();
    await clock.advanceAsync(50);
    await loaded;
    assert.equal(demand.expectedTime(QUEUE, ESTIMATED), 3_000);
  });

  for (const [what, value] of [
    ['that is truncated', '{"startDelay":{'],
    ['without figures', '{"startDelay":{"count":1,"mean":2}}'],
    [
      'with an invalid figure',
      '{"startDelay":{"count":1,"mean":null},"durations":[],"spreads":[],"work":[]}',
    ],
  ])
    it(`ignores a record ${what}`, async () => {
      const {clock, store, logger, coordinator} = setUp();
      store.write(LogStream.Fleet, {
        key: 'learned',
        value: Buffer.from(value),
      });
      const {demand, learned} = coordinator();
      const loaded = learned.load();
      await clock.advanceAsync(50);
      await loaded;
      assert.equal(demand.expectedTime(QUEUE, ESTIMATED), 3_000);
      assert.equal(logger.of(LogEvent.RecordUnreadable), 1);
    });
});
