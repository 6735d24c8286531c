import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {LogEvent} from '@gentiandoor/kernel';
import {LogStream, TERM_KEY} from '../index.js';
import {TestDeployment, job, type TestDaemon} from './deployment.js';
import {startedTasks, submit} from './submitted-jobs.js';

const TERM = {
  term: 2,
  holder: 'one',
  incarnation: 'one/1',
  released: false,
  validMilliseconds: 1_000,
};
/** Longest term and what its successors wait beyond it, with room for the first placement. */
const NEXT_TERM_MILLISECONDS = 3_000;

function writeTerm(deployment: TestDeployment, text: string): void {
  deployment.store.write(LogStream.Terms, {
    key: TERM_KEY,
    value: Buffer.from(text),
  });
}

/** Returns JSON of a term of which a field has a value written as `text`. */
function termWith(field: string, text: string): string {
  return JSON.stringify({...TERM, [field]: '?'}).replace('"?"', text);
}

/** Lets a daemon hold a term that follows `term`, and ends the daemon. */
async function endHolderAfter(
  deployment: TestDeployment,
  term: number,
): Promise<void> {
  writeTerm(deployment, JSON.stringify({...TERM, term, released: true}));
  const holder = await deployment.startDaemon('holder');
  await deployment.run(1_000);
  assert.equal(holder.coordinator?.term, term + 1);
  holder.kill();
}

async function assertServes(
  deployment: TestDeployment,
  daemon: TestDaemon,
  name: string,
): Promise<void> {
  await submit(deployment, daemon, job(name));
  await deployment.run(NEXT_TERM_MILLISECONDS);
  assert.equal(startedTasks(deployment, name), 1);
}

// No daemon took a term any more, as the damaged one seemed to be valid for ever.
describe('a stored term whose length can not be true', () => {
  for (const length of ['1e12', '1e308', '1e999', '-5', '"x"', 'null', '{}'])
    it(`is over after the longest term, and not before: ${length}`, async () => {
      const deployment = new TestDeployment(1);
      await endHolderAfter(deployment, 1);
      writeTerm(deployment, termWith('validMilliseconds', length));
      const daemon = await deployment.startDaemon('two');
      await deployment.run(1_000);
      assert.equal(daemon.coordinator, undefined);
      await assertServes(deployment, daemon, 'after');
    });
});

// The next term could not be told from it, so that no later daemon was accepted as its holder.
describe('a stored term whose number can not be true', () => {
  const numbers = ['9007199254740991', '9007199254740993', '1e308', '-7', '0'];
  for (const number of numbers)
    it(`is unreadable and leaves room for later terms: ${number}`, async () => {
      const deployment = new TestDeployment(1);
      await endHolderAfter(deployment, 1);
      writeTerm(deployment, termWith('term', number));
      const two = await deployment.startDaemon('two');
      await deployment.run(1_000);
      assert.ok(two.events.of(LogEvent.RecordUnreadable) > 0);
      await assertServes(deployment, two, 'by-two');
      const three = await deployment.startDaemon('three');
      two.kill();
      await deployment.run(NEXT_TERM_MILLISECONDS);
      assert.ok(Number(three.coordinator?.term) < 10);
      await assertServes(deployment, three, 'by-three');
    });
});

// The workers and the store refused each new term until as many had been taken as before.
describe('a stored term that can not be read', () => {
  for (const term of [40, 300, 5_000])
    it(`is followed by one that is accepted soon: ${term}`, async () => {
      const deployment = new TestDeployment(1);
      await endHolderAfter(deployment, term);
      writeTerm(deployment, 'not JSON');
      const daemon = await deployment.startDaemon('two');
      await deployment.run(2_000);
      await assertServes(deployment, daemon, 'after');
    });
});

// A candidate that read it together with a renewal took the term while its holder was valid.
describe('a record of another writer among the terms', () => {
  it('does not hide the renewal before it', async () => {
    const deployment = new TestDeployment(1);
    const holder = await deployment.startDaemon('one');
    const candidate = await deployment.startDaemon('two');
    const read = candidate.store.read.bind(candidate.store);
    candidate.store.read = async (stream, ...others) => {
      const result = await read(stream, ...others);
      if (stream !== LogStream.Terms || result.outcome !== 'read')
        return result;
      const strangers = result.records.map(record => ({
        ...record,
        key: 'stranger',
      }));
      return {...result, records: [...result.records, ...strangers]};
    };
    await deployment.run(10_000);
    assert.ok(holder.coordinator);
    assert.equal(candidate.coordinator, undefined);
    assert.equal(holder.events.of(LogEvent.TermLost), 0);
  });
});
