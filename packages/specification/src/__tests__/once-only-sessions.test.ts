import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {InjectedAppendResult} from './faulty-log.js';
import {assertGolden} from './golden.js';
import {RecordedSession} from './recorded-session.js';

const MINUTE = 60_000;

describe('sessions of keyed requests', () => {
  // The caller is cut off and retries through another daemon: while the first still runs it
  // waits for that one's end, afterwards it gets the same whole answer. Nothing runs twice,
  // because the first claim in log order holds the key and the others ask its holder.
  it('retries through another daemon', async () => {
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

  // The same request comes to two daemons at once. Both claim, the log has one of them
  // first, and only that one runs; the other waits for its answer.
  it('is doubled on its way', async () => {
    const session = new RecordedSession(
      'the same request at two daemons at once',
    );
    const one = await session.start('entry-1');
    const two = await session.start('entry-2', 'hall-b');
    const asked = [one, two, two].map(daemon =>
      session.askInBackground(daemon, 'order-1'),
    );
    await session.fleet.advance(50);
    const run = await Promise.race(asked);
    session.finish(run, 'stitched 400');
    const decided = await Promise.all(
      asked.map(item => session.fleet.settle(item)),
    );
    assert.equal(
      decided.filter(({decision: said}) => said === 'run').length,
      1,
    );
    await session.fleet.stopAll();
    assertGolden('doubled', session.lines);
  });

  // The daemon dies while its request runs. Nobody knows whether it ran, so it is never run
  // again; what had finished before the crash is told as run, from its outcome in the log.
  it('loses its owner', async () => {
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

  // The log is out for ten minutes. The first callers wait a bounded time, the later ones
  // are refused at once and told when to come back; answers that are held are replayed all
  // the while. Nothing that was refused runs when the log is back.
  it('meets a log that is down', async () => {
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

  // The answer to an append is lost. Whether it took effect, takes effect later or twice,
  // the caller is told the truth, and the key is neither blocked nor run twice.
  it('loses the answer to its claim', async () => {
    const session = new RecordedSession('the answer to a claim is lost');
    const one = await session.start('entry-1');
    const two = await session.start('entry-2', 'hall-b');
    one.log.nextAppendResults.push(InjectedAppendResult.ResponseLost);
    session.recordLine(
      'the next append of entry-1 takes effect, its answer is lost',
    );
    const landed = await session.ask(one, 'order-1');
    session.finish(landed, 'stitched 400');
    const fates = Array.from({length: 12}, () => InjectedAppendResult.Delayed);
    one.log.nextAppendResults.push(...fates);
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

  // A data centre is cut off from the log and from its peers. It ends what runs; a retry on
  // the other side hears that the outcome is not known and when to ask again, and gets the
  // whole answer after the cut.
  it('is in a data centre that is cut off', async () => {
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

  // A key comes again after its claim was forgotten. An issued key tells its birth by its
  // offset and is refused; a caller's own key runs again after the documented window.
  it('is forgotten', async () => {
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

  // All daemons are replaced one after the other by plan. Each hands its held answers to
  // another before it goes, so that a retry still gets its whole answer; only a crash
  // leaves keys whose answer is gone.
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
