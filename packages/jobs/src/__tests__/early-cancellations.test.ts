import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import type {Caller} from '@gentiandoor/organisations';
import {
  JobRecordKind,
  JobState,
  JobTable,
  PLAIN_STEP,
  encodeJobRecord,
  type JobSubmission,
  type KeyedRecord,
} from '../index.js';

const JOB = '00000000000000aa';
const OWNER: Caller = {
  organisation: 'advisers',
  queue: 'quotes',
  isPublicQueue: false,
};
const STRANGER: Caller = {...OWNER, organisation: 'auditors'};
const PUBLIC: Caller = {
  organisation: undefined,
  queue: 'quotes',
  isPublicQueue: true,
};

function submission(overrides: Partial<JobSubmission> = {}): KeyedRecord {
  const job: JobSubmission = {
    id: JOB,
    queue: 'quotes',
    service: 'advice',
    organisation: 'advisers',
    payload: '',
    steps: [PLAIN_STEP],
    submittedAtMilliseconds: 0,
    ...overrides,
  };
  return encodeJobRecord({kind: JobRecordKind.Submission, job});
}

function cancelledBy(caller: Caller): KeyedRecord {
  return encodeJobRecord({
    kind: JobRecordKind.EarlyCancellation,
    jobId: JOB,
    caller,
  });
}

describe('an early cancellation in the job table', () => {
  let table: JobTable;

  beforeEach(() => {
    table = new JobTable();
  });

  function stateAfter(...records: KeyedRecord[]): JobState | undefined {
    for (const record of records) table.apply(record);
    const job = table.find(JOB);
    return job && table.stateOf(job);
  }

  it('is not a job', () => {
    assert.equal(stateAfter(cancelledBy(OWNER)), undefined);
    assert.deepEqual([...table.all()], []);
  });

  it('cancels a submission that comes after it, or came before', () => {
    assert.equal(
      stateAfter(cancelledBy(OWNER), submission()),
      JobState.Cancelled,
    );
    table = new JobTable();
    assert.equal(
      stateAfter(submission(), cancelledBy(OWNER)),
      JobState.Cancelled,
    );
  });

  it('tells its listener of the cancelled job once, and of each record', () => {
    const told: string[] = [];
    table.listen({
      submitted: ({cancelled}) => told.push(`submitted ${cancelled}`),
      cancelled: jobId => told.push(`cancelled ${jobId}`),
      cancelledEarly: ({jobId}) => told.push(`early ${jobId}`),
    });
    stateAfter(submission(), cancelledBy(OWNER), cancelledBy(OWNER));
    assert.deepEqual(told, [
      'submitted false',
      `cancelled ${JOB}`,
      `early ${JOB}`,
      `early ${JOB}`,
    ]);
  });

  it('does not apply to a job that its caller may not access', () => {
    const records = [cancelledBy(STRANGER), cancelledBy(PUBLIC)];
    const elsewhere = submission({queue: 'reviews'});
    assert.equal(stateAfter(...records, elsewhere), JobState.Queued);
  });

  it('applies to a job of a queue that was public when its caller cancelled', () => {
    assert.equal(
      stateAfter(cancelledBy(PUBLIC), submission()),
      JobState.Cancelled,
    );
  });

  it('has a key of its own for each organisation', () => {
    const keys = [OWNER, STRANGER, PUBLIC].map(caller => cancelledBy(caller));
    assert.equal(new Set(keys.map(({key}) => key)).size, 3);
    assert.equal(
      cancelledBy({...OWNER, queue: 'reviews'}).key,
      cancelledBy(OWNER).key,
    );
  });

  // The record of one caller expires while the job, or the record of another, is still needed.
  it('takes nothing but itself away when it is deleted', () => {
    const {key} = cancelledBy(OWNER);
    stateAfter(cancelledBy(OWNER), cancelledBy(STRANGER), submission());
    assert.equal(stateAfter({key, value: undefined}), JobState.Cancelled);
    assert.equal(table.earlyCancellationCount(OWNER), 0);
    assert.equal(table.earlyCancellationCount(STRANGER), 1);
    assert.equal([...table.earlyCancellationNames()].length, 1);
  });

  it('is unreadable without its caller', () => {
    const {key} = cancelledBy(OWNER);
    for (const value of ['{}', '[]', '{"queue":1,"isPublicQueue":true}'])
      assert.throws(() => table.apply({key, value: Buffer.from(value)}));
    assert.equal(table.earlyCancellationCount(OWNER), 0);
  });
});
