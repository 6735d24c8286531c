import type {Socket} from 'node:net';
import type {RawRequest} from './raw-target.js';

/** How a raw target responds to a request. */
export enum RawTargetBehaviour {
  /** Responds with 200 and the body "whole". */
  None = 'none',
  /** Reads requests and never responds. */
  Silent = 'silent',
  /** Resets the connection instead of responding. */
  ResetOnRequest = 'reset_on_request',
  /** Closes the connection instead of responding. */
  CloseOnRequest = 'close_on_request',
  /** Resets within the head of the response. */
  ResetInHead = 'reset_in_head',
  /** Resets within a body of known length. */
  ResetInBody = 'reset_in_body',
  /** Closes cleanly within a body of known length. */
  CloseInBody = 'close_in_body',
  /** Closes cleanly within a chunked body. */
  CloseInChunks = 'close_in_chunks',
  /** Starts a body and then sends nothing more. */
  SilentInBody = 'silent_in_body',
  /** Sends a body without a length and closes the connection at its end. */
  NoLength = 'no_length',
  /** Sends more bytes than `content-length` states. */
  LongBody = 'long_body',
  /** Sends two responses to one request. */
  TwoAnswers = 'two_answers',
  /** Sends both `content-length` and chunks, which parsers interpret differently. */
  LengthAndChunks = 'length_and_chunks',
  /** Sends two `content-length` headers. */
  TwoLengths = 'two_lengths',
  /** Sends bytes that are not HTTP. */
  Garbage = 'garbage',
  /** Sends a head of 100 kB, over any limit. */
  OversizedHead = 'oversized_head',
  /** Switches protocols although no upgrade was requested. */
  Upgrade = 'upgrade',
  /** Sends an interim response before the final one. */
  Interim = 'interim',
  /** Sends a chunked body with trailers. */
  Trailers = 'trailers',
  /** Responds as soon as the head of the request has arrived. */
  EarlyAnswer = 'early_answer',
  /** Responds with 503 and states that it did not run the request. */
  Busy = 'busy',
  /** Responds with `connection: close` and closes the connection. */
  AnnouncedClose = 'announced_close',
  /** Responds with a keep-alive timeout of two seconds. */
  KeepAliveHint = 'keep_alive_hint',
  /** Responds and announces that the target is leaving. */
  Leaving = 'leaving',
  /** Sends headers that are reserved for the daemon or for the connection. */
  SpoofedHeaders = 'spoofed_headers',
}

const WHOLE = 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole';

/** Behaviours that send fixed bytes and leave the connection open. */
const FIXED_RESPONSES: Readonly<Partial<Record<RawTargetBehaviour, string>>> = {
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

/** Behaviours that send some bytes and then reset or close the connection. */
const TRUNCATED_RESPONSES: Readonly<
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

/** Responds to a request according to a behaviour. */
export function respondWith(
  behaviour: RawTargetBehaviour,
  request: RawRequest,
  socket: Socket,
): void {
  const fixed = FIXED_RESPONSES[behaviour];
  if (fixed !== undefined) {
    const noBody = request.head.startsWith('HEAD ');
    socket.write(
      noBody ? fixed.slice(0, fixed.indexOf('\r\n\r\n') + 4) : fixed,
    );
    return;
  }
  const truncated = TRUNCATED_RESPONSES[behaviour];
  if (!truncated) return;
  const close = () =>
    truncated.reset ? socket.resetAndDestroy() : socket.destroySoon();
  if (truncated.bytes === '') close();
  else socket.write(truncated.bytes, close);
}
