import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  DecisionJournal,
  ErrorKind,
  RequestError,
  SubjectKind,
  VirtualClock,
} from '@gentiandoor/kernel';
import {RefusalJournal} from '../refusal-journal.js';

describe('RefusalJournal', () => {
  // A saturated service refuses a thousand requests per second for ten seconds. An entry for each
  // would evict older decisions; operators still see the reason and the number of refusals.
  it('records one entry per second and kind, with the number of refusals', () => {
    const clock = new VirtualClock();
    const journal = new DecisionJournal(clock);
    const refusals = new RefusalJournal(clock, journal);
    for (let millisecond = 0; millisecond < 10_000; millisecond++) {
      refusals.record(
        'desk',
        new RequestError(ErrorKind.QueueFull, 'turned away'),
      );
      clock.advance(1);
    }
    const entries = journal.entriesAbout(SubjectKind.Service, 'desk');
    assert.equal(entries.length, 10);
    assert.equal(entries[1].decision, 'refused 1000 requests with queue_full');
    assert.equal(entries[1].evidence.run, 'no');
  });
});
