import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  FrameAuthenticator,
  LinkSide,
  handshakeProof,
  handshakeTranscript,
} from '../frame-authentication.js';

const KEY = 'a key for tests only';
const HELLO = Buffer.from('hello');
const OTHER = Buffer.from('other');

describe('proofs and seals of a link', () => {
  it('differ by side, so that a proof sent back proves nothing', () => {
    const transcript = handshakeTranscript(HELLO, OTHER);
    assert.notDeepEqual(
      handshakeProof(KEY, LinkSide.Dialer, transcript),
      handshakeProof(KEY, LinkSide.Listener, transcript),
    );
  });

  it('are bound to where one hello ends and the other begins', () => {
    assert.notDeepEqual(
      handshakeTranscript(Buffer.from('ab'), Buffer.from('c')),
      handshakeTranscript(Buffer.from('a'), Buffer.from('bc')),
    );
  });

  it('open frames in order and refuse changed, repeated and foreign ones', () => {
    const transcript = handshakeTranscript(HELLO, OTHER);
    const sender = new FrameAuthenticator(KEY, LinkSide.Dialer, transcript);
    const receiver = new FrameAuthenticator(KEY, LinkSide.Dialer, transcript);
    const first = sender.prependTag(Buffer.from('one'));
    assert.deepEqual(receiver.verifyAndStripTag(first), Buffer.from('one'));
    assert.equal(receiver.verifyAndStripTag(first), undefined);
    const fresh = () =>
      new FrameAuthenticator(KEY, LinkSide.Dialer, transcript);
    const changed = Buffer.from(first);
    changed[changed.length - 1] ^= 1;
    assert.equal(fresh().verifyAndStripTag(changed), undefined);
    assert.equal(fresh().verifyAndStripTag(Buffer.from('short')), undefined);
    const foreign = new FrameAuthenticator(KEY, LinkSide.Listener, transcript);
    assert.equal(foreign.verifyAndStripTag(first), undefined);
  });
});
