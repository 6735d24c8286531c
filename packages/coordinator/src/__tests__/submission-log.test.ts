import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualClock} from '@gentiandoor/kernel';
import {
  BatchedAppendOutcome,
  LogStream,
  SUBMISSION_PARTITIONS,
  SubmissionLog,
  submissionPartition,
} from '../index.js';
import {MemoryStore, StoreFault} from '../stand-ins/index.js';

const PATIENCE = 450;
const TIMEOUT = 2_750;
const DAEMONS = 80;

function record(id: string) {
  return {key: `j/${id}`, value: Buffer.from('{}')};
}

describe('SubmissionLog', () => {
  // The store is slowed down 37 times: it responds after 150 ms and handles an append
  // each 37 ms in a partition. Eighty daemons submit a hundred jobs a second. With a
  // single partition, most wait for longer than a caller may wait, and are refused
  // although the store is available.
  it('accepts the submissions of a hundred callers a second while the store is slow', async () => {
    const clock = new VirtualClock();
    const store = new MemoryStore(clock);
    store.appendMilliseconds = 37;
    const logs = Array.from({length: DAEMONS}, () => {
      const connection = store.connect();
      connection.answerMilliseconds = 150;
      return new SubmissionLog(connection, clock);
    });
    const kept: Array<Promise<BatchedAppendOutcome>> = [];
    for (let count = 0; count < 500; count++) {
      const id = `job-${count}`;
      kept.push(
        logs[count % DAEMONS].append(id, record(id), PATIENCE, TIMEOUT),
      );
      await clock.advanceAsync(10);
    }
    await clock.advanceAsync(5_000);
    const outcomes = await Promise.all(kept);
    const refused = outcomes.filter(
      outcome => outcome !== BatchedAppendOutcome.Appended,
    );
    assert.ok(refused.length <= 5, `${refused.length} of 500 not taken`);
  });

  // The same job is submitted to two daemons. In two partitions its cancellation could be
  // read without it.
  it('keeps all records of a job in one partition, whichever daemon appends them', async () => {
    const clock = new VirtualClock();
    const store = new MemoryStore(clock);
    const one = new SubmissionLog(store.connect(), clock);
    const other = new SubmissionLog(store.connect(), clock);
    void one.append('a', record('a'), PATIENCE, TIMEOUT);
    void other.append('a', {key: 'c/a', value: undefined}, PATIENCE, TIMEOUT);
    await clock.advanceAsync(100);
    const partition = submissionPartition('a');
    const connection = store.connect();
    const read = connection.read(LogStream.Submissions, 0, 0, partition);
    await clock.advanceAsync(100);
    const result = await read;
    assert.equal('records' in result && result.records.length, 2);
  });

  it('spreads jobs over all partitions', () => {
    const counts = new Map<number, number>();
    for (let count = 0; count < 6_000; count++) {
      const partition = submissionPartition(`job-${count}`);
      counts.set(partition, (counts.get(partition) ?? 0) + 1);
    }
    assert.equal(counts.size, SUBMISSION_PARTITIONS);
    assert.ok(Math.min(...counts.values()) > 850);
  });

  // Appends are reset one after the other. One record probes whether the store is back; a
  // record of each partition in doubt would leave as many callers without a certain
  // response.
  it('sends one record at a time across all partitions while appends fail', async () => {
    const clock = new VirtualClock();
    const connection = new MemoryStore(clock).connect();
    const log = new SubmissionLog(connection, clock);
    connection.setFault(StoreFault.Silent);
    const first = log.append('first', record('first'), PATIENCE, TIMEOUT);
    await clock.advanceAsync(1_600);
    const others = Array.from({length: 12}, (_, index) =>
      log.append(`job-${index}`, record(`job-${index}`), PATIENCE, TIMEOUT),
    );
    await clock.advanceAsync(3_000);
    assert.equal(await first, BatchedAppendOutcome.Unknown);
    const outcomes = await Promise.all(others);
    assert.ok(
      outcomes.every(outcome => outcome === BatchedAppendOutcome.NotAppended),
    );
  });
});
