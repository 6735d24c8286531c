import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ConnectionRanking, ConnectionStage} from '../connection-ranking.js';

describe('ConnectionRanking', () => {
  it('gives up the connections whose clients owe something first', () => {
    const ranking = new ConnectionRanking<ConnectionStage>();
    const order = [
      ConnectionStage.Fresh,
      ConnectionStage.Receiving,
      ConnectionStage.Unread,
      ConnectionStage.Idle,
    ];
    for (const stage of [ConnectionStage.Busy, ...order.toReversed()])
      ranking.note(stage, stage);
    const givenUp = order.map(() => {
      const stage = ranking.leastUseful();
      if (stage) ranking.remove(stage);
      return stage;
    });
    assert.deepEqual(givenUp, order);
    assert.equal(ranking.leastUseful(), undefined);
    assert.equal(ranking.size, 1);
  });

  it('gives up the one that has been in its stage for longest', () => {
    const ranking = new ConnectionRanking<string>();
    ranking.note('old', ConnectionStage.Idle);
    ranking.note('young', ConnectionStage.Idle);
    ranking.note('old', ConnectionStage.Busy);
    ranking.note('old', ConnectionStage.Idle);
    assert.equal(ranking.leastUseful(), 'young');
    ranking.note('young', ConnectionStage.Idle);
    assert.equal(ranking.leastUseful(), 'young');
  });
});
