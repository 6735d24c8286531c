import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {InjectedAppendResult} from './faulty-log.js';
import {assertGolden} from './golden.js';
import {RecordedSession} from './recorded-session.js';

const MINUTE = 60_000;

describe('a keyed request', () => {
  // Guards against a second run when a caller loses its connection and retries through another
  // daemon. The first claim in log order holds the key and other daemons ask its holder, so the
  // retry waits for the first run and gets the same complete answer.
  it('gets the same answer when retried through another daemon', async () => {
    const session = new RecordedSession('a retry through another daemon');
    const one = await session.start('entry-1');
    const two = await session.start('entry-2', 'hall-b');
    const first = await session.ask(one, 'order-1');
    const early = session.askInBackground(two, 'order-1');
    await session.fleet.advance(300);
    session.finish(first, 'stitched 400');
    await session.fleet.settle(early);
    await session.ask(two, 'order-1');
    await session.ask(one, 'order-1');
    const slow = await session.ask(two, 'order-2');
    await session.ask(one, 'order-2');
    slow.claim!.release();
    session.recordLine('order-2 is turned away unsent: the queue is full');
    const again = await session.ask(one, 'order-2');
    again.claim!.lose();
    session.recordLine('the target of order-2 falls silent');
    await session.ask(two, 'order-2');
    await session.fleet.settle(
      session.askInBackground(one, 'order-1', 'POST /another-path'),
    );
    await session.fleet.stopAll();
    assertGolden('retry-through-another-daemon', session.lines);
  });

  // Guards against two runs when the same request arrives at two daemons at once. Both claim the
  // key; only the first claim in the log runs, and the other daemon waits for its answer.
  it('runs once when duplicated to two daemons', async () => {
    const session = new RecordedSession(
      'the same request at two daemons at once',
    );
    const one = await session.start('entry-1');
    const two = await session.start('entry-2', 'hall-b');
    const requests = [one, two, two].map(daemon =>
      session.askInBackground(daemon, 'order-1'),
    );
    await session.fleet.advance(50);
    const run = await Promise.race(requests);
    session.finish(run, 'stitched 400');
    const outcomes = await Promise.all(
      requests.map(item => session.fleet.settle(item)),
    );
    assert.equal(outcomes.filter(({decision}) => decision === 'run').length, 1);
    await session.fleet.stopAll();
    assertGolden('doubled', session.lines);
  });

  // Guards against a second run after a daemon crashes while its request runs. The outcome is
  // unknown, so the key never runs again; a request that had finished before the crash is
  // reported as run, from its outcome in the log.
  it('does not run again after the owner of its claim crashes', async () => {
    const session = new RecordedSession('the owner of a claim dies');
    const one = await session.start('entry-1');
    const two = await session.start('entry-2', 'hall-b');
    const finished = await session.ask(one, 'order-1');
    session.finish(finished, 'stitched 400');
    await session.fleet.advance(1500);
    await session.ask(one, 'order-2');
    await session.fleet.crash(one);
    session.recordLine('entry-1 dies');
    await session.ask(two, 'order-1');
    await session.ask(two, 'order-2');
    const successor = await session.start('entry-1');
    await session.ask(successor, 'order-1');
    await session.ask(successor, 'order-2');
    await session.fleet.stopAll();
    assertGolden('owner-died', session.lines);
  });

  // Guards against callers that wait without limit, and against late runs, when the log is
  // unreachable for ten minutes. The first callers wait a bounded time; later ones are refused at
  // once with a time to retry. Held answers are still replayed, and no refused request runs later.
  it('is refused, and never runs later, while the log is unreachable', async () => {
    const session = new RecordedSession('the log is down for ten minutes');
    const one = await session.start('entry-1');
    const two = await session.start('entry-2', 'hall-b');
    const before = await session.ask(one, 'order-1');
    session.finish(before, 'stitched 400');
    for (const {log} of [one, two]) log.isUnreachable = true;
    session.recordLine('the log is down');
    await session.ask(one, 'order-2');
    await session.ask(one, 'order-2');
    await session.ask(two, 'order-1');
    await session.fleet.advance(10 * MINUTE);
    await session.ask(two, 'order-2');
    for (const {log} of [one, two]) log.isUnreachable = false;
    session.recordLine('the log is back');
    await session.fleet.advance(10_000);
    await session.ask(two, 'order-2');
    await session.fleet.stopAll();
    assertGolden('log-down', session.lines);
  });

  // Guards against a wrong response, a blocked key or a second run when the response to an append
  // is lost, whether the append took effect, takes effect later or takes effect twice.
  it('gets a correct response when the response to an append is lost', async () => {
    const session = new RecordedSession('the answer to a claim is lost');
    const one = await session.start('entry-1');
    const two = await session.start('entry-2', 'hall-b');
    one.log.nextAppendResults.push(InjectedAppendResult.ResponseLost);
    session.recordLine(
      'the next append of entry-1 takes effect, its answer is lost',
    );
    const landed = await session.ask(one, 'order-1');
    session.finish(landed, 'stitched 400');
    const results = Array.from(
      {length: 12},
      () => InjectedAppendResult.Delayed,
    );
    one.log.nextAppendResults.push(...results);
    session.recordLine('the next appends of entry-1 are held up on their way');
    await session.ask(one, 'order-2');
    const elsewhere = await session.ask(two, 'order-2');
    elsewhere.claim!.release();
    session.recordLine('order-2 is turned away unsent: the queue is full');
    await session.fleet.advance(100);
    one.log.nextAppendResults.length = 0;
    session.recordLine(`${await one.log.applyDelayed()} held up appends land`);
    const again = await session.ask(two, 'order-2');
    session.finish(again, 'stitched 500');
    await session.ask(one, 'order-2');
    await session.fleet.stopAll();
    assertGolden('lost-answer', session.lines);
  });

  // Guards against a second run while a data centre is partitioned from the log and its peers. It
  // finishes its active requests; a retry on the other side is told that the outcome is unknown
  // and when to retry, and gets the complete answer after the partition.
  it('runs once when its data centre is partitioned', async () => {
    const session = new RecordedSession('a data centre is cut off');
    const one = await session.start('entry-1');
    const two = await session.start('entry-2', 'hall-b');
    const first = await session.ask(one, 'order-1');
    one.log.isUnreachable = true;
    session.fleet.network.partition('hall-a', 'hall-b');
    session.recordLine('hall-a is cut off');
    session.finish(first, 'stitched 400');
    await session.ask(one, 'order-1');
    await session.ask(two, 'order-1');
    await session.fleet.advance(MINUTE);
    await session.ask(one, 'order-2');
    const other = await session.ask(two, 'order-2');
    session.finish(other, 'stitched 500');
    one.log.isUnreachable = false;
    session.fleet.network.heal('hall-a', 'hall-b');
    session.recordLine('the cut is mended');
    await session.fleet.advance(10_000);
    await session.ask(two, 'order-1');
    await session.ask(one, 'order-2');
    await session.fleet.stopAll();
    assertGolden('data-centre-cut-off', session.lines);
  });

  // Guards against a second run of an issued key after its claim was evicted. An issued key
  // contains the offset at which it was issued and is refused; a caller's own key runs again
  // after the documented retention window.
  it('is refused with an issued key whose claim was evicted', async () => {
    const session = new RecordedSession(
      'a key comes again after its claim is forgotten',
      {
        onceOnly: {keys: '3', key_secret: 'a secret of the deployment'},
      },
    );
    const one = await session.start('entry-1');
    const issued = one.claims.issueKey('crest-shop')!;
    for (const key of [issued, 'order-1', 'order-2']) {
      session.finish(await session.ask(one, key), `stitched ${key.length}`);
    }
    await session.ask(one, issued);
    for (const key of ['order-3', 'order-4'])
      session.finish(await session.ask(one, key), 'stitched');
    await session.ask(one, issued);
    session.finish(await session.ask(one, 'order-1'), 'stitched again');
    const forged = issued.replace(/^gd1-0/, 'gd1-z');
    await session.ask(one, forged);
    const young = one.claims.issueKey('crest-shop')!;
    session.finish(await session.ask(one, young), 'stitched');
    await session.fleet.stopAll();
    assertGolden('forgotten-key', session.lines);
  });

  // Guards against lost answers when all daemons are restarted one after the other. Each daemon
  // hands its held answers to another one before it stops, so a retry still gets the complete
  // answer; only a crash loses answers.
  it('outlives a rolling restart', async () => {
    const session = new RecordedSession('a rolling restart, then a crash');
    await session.start('entry-1');
    await session.start('entry-2');
    await session.start('entry-3', 'hall-b');
    const {daemons} = session.fleet;
    session.finish(
      await session.ask(daemons.get('entry-1')!, 'order-1'),
      'stitched 400',
    );
    for (const name of ['entry-1', 'entry-2', 'entry-3']) {
      await session.fleet.stop(daemons.get(name)!);
      session.recordLine(`${name} stops by plan`);
      await session.start(name);
      await session.ask(daemons.get(name)!, 'order-1');
    }
    for (const name of ['entry-1', 'entry-2', 'entry-3'])
      await session.fleet.crash(daemons.get(name)!);
    session.recordLine('all daemons die at once');
    await session.ask(await session.start('entry-1'), 'order-1');
    await session.fleet.stopAll();
    assertGolden('planned-hand-over', session.lines);
  });
});
