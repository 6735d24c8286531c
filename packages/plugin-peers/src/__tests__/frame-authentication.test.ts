import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  FrameAuthenticator,
  LinkSide,
  handshakeProof,
  handshakeTranscript,
} from '../frame-authentication.js';

const KEY = 'a key for tests only';
const DIALER_HELLO = Buffer.from('hello');
const LISTENER_HELLO = Buffer.from('other');

describe('frame authentication', () => {
  it('gives each side a different proof, so that a reflected proof is not valid', () => {
    const transcript = handshakeTranscript(DIALER_HELLO, LISTENER_HELLO);
    assert.notDeepEqual(
      handshakeProof(KEY, LinkSide.Dialer, transcript),
      handshakeProof(KEY, LinkSide.Listener, transcript),
    );
  });

  it('binds the transcript to the boundary between the two hellos', () => {
    assert.notDeepEqual(
      handshakeTranscript(Buffer.from('ab'), Buffer.from('c')),
      handshakeTranscript(Buffer.from('a'), Buffer.from('bc')),
    );
  });

  it('accepts frames in order and rejects modified, repeated and foreign ones', () => {
    const transcript = handshakeTranscript(DIALER_HELLO, LISTENER_HELLO);
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
