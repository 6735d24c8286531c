import type {Socket} from 'node:net';
import type {RawRequest} from './raw-target.js';

/** What a raw target does with a request. */
export enum RawTargetBehaviour {
  /** Answers 200 with the body "whole". */
  None = 'none',
  /** Takes requests and answers nothing. */
  Silent = 'silent',
  /** Resets the connection instead of an answer. */
  ResetOnRequest = 'reset_on_request',
  /** Closes the connection instead of an answer. */
  CloseOnRequest = 'close_on_request',
  /** Resets within the head of the answer. */
  ResetInHead = 'reset_in_head',
  /** Resets within a body of known length. */
  ResetInBody = 'reset_in_body',
  /** Closes cleanly within a body of known length. */
  CloseInBody = 'close_in_body',
  /** Closes cleanly within a chunked body. */
  CloseInChunks = 'close_in_chunks',
  /** Begins a body and then sends nothing more. */
  SilentInBody = 'silent_in_body',
  /** Ends a body without a length by closing. */
  NoLength = 'no_length',
  /** Sends more bytes than the length says. */
  LongBody = 'long_body',
  /** Sends two answers to one request. */
  TwoAnswers = 'two_answers',
  /** Gives a length and chunks, which readers take differently. */
  LengthAndChunks = 'length_and_chunks',
  /** Gives two lengths. */
  TwoLengths = 'two_lengths',
  /** Sends what is no HTTP. */
  Garbage = 'garbage',
  /** Sends a head over any limit. */
  OversizedHead = 'oversized_head',
  /** Switches protocols unasked. */
  Upgrade = 'upgrade',
  /** Sends interim answers before the final one. */
  Interim = 'interim',
  /** Sends chunks with trailers. */
  Trailers = 'trailers',
  /** Answers as soon as the head of the request is there. */
  EarlyAnswer = 'early_answer',
  /** Says that it did not run the request. */
  Busy = 'busy',
  /** Answers and closes the connection as announced. */
  AnnouncedClose = 'announced_close',
  /** Gives a keep-alive time of two seconds. */
  KeepAliveHint = 'keep_alive_hint',
  /** Answers, and says that the target is leaving. */
  Leaving = 'leaving',
  /** Tries to set headers of the system and of the connection. */
  SpoofedHeaders = 'spoofed_headers',
}

const WHOLE = 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole';

/** Faults that send fixed bytes and leave the connection open. */
const FIXED_ANSWERS: Readonly<Partial<Record<RawTargetBehaviour, string>>> = {
  [RawTargetBehaviour.None]: WHOLE,
  [RawTargetBehaviour.EarlyAnswer]: WHOLE,
  [RawTargetBehaviour.SilentInBody]:
    'HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\npart',
  [RawTargetBehaviour.LongBody]:
    'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole+more',
  [RawTargetBehaviour.TwoAnswers]: `${WHOLE}HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond`,
  [RawTargetBehaviour.LengthAndChunks]:
    'HTTP/1.1 200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n',
  [RawTargetBehaviour.TwoLengths]:
    'HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 5\r\n\r\nwhole',
  [RawTargetBehaviour.Garbage]: 'no HTTP at all\r\n\r\n',
  [RawTargetBehaviour.OversizedHead]: `HTTP/1.1 200 OK\r\nx-long: ${'x'.repeat(100_000)}\r\ncontent-length: 0\r\n\r\n`,
  [RawTargetBehaviour.Upgrade]:
    'HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: other\r\n\r\n',
  [RawTargetBehaviour.Interim]: `HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n${WHOLE}`,
  [RawTargetBehaviour.Trailers]:
    'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntrailer: x-sum\r\n\r\n5\r\nwhole\r\n0\r\nx-sum: 17\r\ngentiandoor-run: no\r\n\r\n',
  [RawTargetBehaviour.Busy]:
    'HTTP/1.1 503 Busy\r\ngentiandoor-run: no\r\nretry-after: 7\r\ncontent-length: 4\r\n\r\nbusy',
  [RawTargetBehaviour.KeepAliveHint]:
    'HTTP/1.1 200 OK\r\nkeep-alive: timeout=2\r\ncontent-length: 5\r\n\r\nwhole',
  [RawTargetBehaviour.Leaving]:
    'HTTP/1.1 200 OK\r\ngentiandoor-leaving: yes\r\ncontent-length: 5\r\n\r\nwhole',
  [RawTargetBehaviour.SpoofedHeaders]:
    'HTTP/1.1 200 OK\r\ngentiandoor-run: no\r\ngentiandoor-replayed: yes\r\nconnection: x-hop\r\nx-hop: 1\r\nx-kept: 1\r\nproxy-authenticate: basic\r\ncontent-length: 5\r\n\r\nwhole',
};

/** Faults that send some bytes and then reset or close. */
const CUT_ANSWERS: Readonly<
  Partial<
    Record<
      RawTargetBehaviour,
      {readonly bytes: string; readonly reset: boolean}
    >
  >
> = {
  [RawTargetBehaviour.ResetOnRequest]: {bytes: '', reset: true},
  [RawTargetBehaviour.CloseOnRequest]: {bytes: '', reset: false},
  [RawTargetBehaviour.ResetInHead]: {
    bytes: 'HTTP/1.1 200 OK\r\ncont',
    reset: true,
  },
  [RawTargetBehaviour.ResetInBody]: {
    bytes: 'HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\npart',
    reset: true,
  },
  [RawTargetBehaviour.CloseInBody]: {
    bytes: 'HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\npart',
    reset: false,
  },
  [RawTargetBehaviour.CloseInChunks]: {
    bytes: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n',
    reset: false,
  },
  [RawTargetBehaviour.NoLength]: {
    bytes: 'HTTP/1.1 200 OK\r\n\r\npart',
    reset: false,
  },
  [RawTargetBehaviour.AnnouncedClose]: {
    bytes:
      'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 5\r\n\r\nwhole',
    reset: false,
  },
};

/** Answers a request as the fault says. */
export function respondWith(
  fault: RawTargetBehaviour,
  request: RawRequest,
  socket: Socket,
): void {
  const fixed = FIXED_ANSWERS[fault];
  if (fixed !== undefined) {
    const noBody = request.head.startsWith('HEAD ');
    socket.write(
      noBody ? fixed.slice(0, fixed.indexOf('\r\n\r\n') + 4) : fixed,
    );
    return;
  }
  const cut = CUT_ANSWERS[fault];
  if (!cut) return;
  const close = () =>
    cut.reset ? socket.resetAndDestroy() : socket.destroySoon();
  if (cut.bytes === '') close();
  else socket.write(cut.bytes, close);
}
