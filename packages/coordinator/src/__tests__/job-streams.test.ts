import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {JobTable} from '@gentiandoor/jobs';
import {SilentLogger, VirtualClock} from '@gentiandoor/kernel';
import {
  JobStreams,
  LogStream,
  SUBMISSION_PARTITIONS,
  submissionPartition,
  type AppendConditions,
  type AppendResult,
  type NewestByKeyResult,
  type ReadResult,
  type RecordLog,
} from '../index.js';
import {MemoryStore, StoreFault} from '../stand-ins/index.js';
import {job} from './deployment.js';

/** Counts how many initial reads are in flight at once. */
class CountedReads implements RecordLog {
  maximumInFlight = 0;
  total = 0;
  private inFlight = 0;

  constructor(private readonly log: RecordLog) {}

  append(
    stream: LogStream,
    records: ReadonlyArray<{key: string; value: Buffer | undefined}>,
    conditions?: AppendConditions,
  ): Promise<AppendResult> {
    return this.log.append(stream, records, conditions);
  }

  read(
    stream: LogStream,
    offset: number,
    wait: number,
    partition?: number,
  ): Promise<ReadResult> {
    return this.log.read(stream, offset, wait, partition);
  }

  async newestByKey(
    stream: LogStream,
    partition?: number,
  ): Promise<NewestByKeyResult> {
    this.total++;
    this.maximumInFlight = Math.max(this.maximumInFlight, ++this.inFlight);
    const result = await this.log.newestByKey(stream, partition);
    this.inFlight--;
    return result;
  }
}

function streams() {
  const clock = new VirtualClock();
  const store = new MemoryStore(clock);
  const connection = store.connect();
  const log = new CountedReads(connection);
  const table = new JobTable();
  const jobs = new JobStreams(log, table, clock, new SilentLogger());
  return {clock, store, connection, log, table, jobs};
}

describe('JobStreams', () => {
  // All daemons lose power at once. Each reads every job of the last minutes, seven
  // streams in parallel over the same link and store; none completes within its timeout,
  // and all start over, forever.
  it('reads one stream after the other at startup, whoever requests it', async () => {
    const {clock, log, jobs} = streams();
    void jobs.refreshStale();
    void jobs.refresh();
    for (const id of ['a', 'b', 'c', 'd']) void jobs.refreshJob(id);
    await clock.advanceAsync(1_000);
    assert.equal(log.maximumInFlight, 1);
    assert.ok(log.total >= 1 + SUBMISSION_PARTITIONS);
  });

  it('continues after an initial read that failed', async () => {
    const {clock, connection, jobs} = streams();
    connection.setFault(StoreFault.Refusing);
    const failed = jobs.refresh();
    await clock.advanceAsync(1_000);
    assert.equal(await failed, false);
    connection.setFault(undefined);
    const read = jobs.refresh();
    await clock.advanceAsync(1_000);
    assert.equal(await read, true);
  });

  it('finds a job that was submitted elsewhere by reading its own partition', async () => {
    const {clock, store, table, jobs} = streams();
    void jobs.refresh();
    await clock.advanceAsync(1_000);
    const submission = {
      key: 'j/a',
      value: Buffer.from(JSON.stringify(job('a'))),
    };
    store.write(LogStream.Submissions, submission, submissionPartition('a'));
    const before = store.calls.read;
    void jobs.refreshJob('a');
    await clock.advanceAsync(100);
    assert.ok(table.find('a'));
    assert.equal(store.calls.read - before, 2);
  });
});
