import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {FrameSeal, LinkSide, proofOf, transcriptOf} from '../peer-seal.js';

const KEY = 'a key for tests only';
const HELLO = Buffer.from('hello');
const OTHER = Buffer.from('other');

describe('proofs and seals of a link', () => {
  it('differ by side, so that a proof sent back proves nothing', () => {
    const transcript = transcriptOf(HELLO, OTHER);
    assert.notDeepEqual(
      proofOf(KEY, LinkSide.Dialer, transcript),
      proofOf(KEY, LinkSide.Listener, transcript),
    );
  });

  it('are bound to where one hello ends and the other begins', () => {
    assert.notDeepEqual(
      transcriptOf(Buffer.from('ab'), Buffer.from('c')),
      transcriptOf(Buffer.from('a'), Buffer.from('bc')),
    );
  });

  it('open frames in order and refuse changed, repeated and foreign ones', () => {
    const transcript = transcriptOf(HELLO, OTHER);
    const sender = new FrameSeal(KEY, LinkSide.Dialer, transcript);
    const receiver = new FrameSeal(KEY, LinkSide.Dialer, transcript);
    const first = sender.seal(Buffer.from('one'));
    assert.deepEqual(receiver.open(first), Buffer.from('one'));
    assert.equal(receiver.open(first), undefined);
    const fresh = () => new FrameSeal(KEY, LinkSide.Dialer, transcript);
    const changed = Buffer.from(first);
    changed[changed.length - 1] ^= 1;
    assert.equal(fresh().open(changed), undefined);
    assert.equal(fresh().open(Buffer.from('short')), undefined);
    const foreign = new FrameSeal(KEY, LinkSide.Listener, transcript);
    assert.equal(foreign.open(first), undefined);
  });
});
