import assert from 'node:assert/strict';
import net from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {CallerEdge} from './caller-edge.js';

const MEGABYTE = 1_048_576;
const TOTAL_BYTES = 256 * MEGABYTE;
/** Upper limit of what the socket buffers of both connections and the daemon may hold. */
const BUFFERED_BYTES = 64 * MEGABYTE;
const CHUNK = Buffer.alloc(65_536, 'x');
const STABLE_CHECKS = 10;

describe('a stream larger than the daemon may buffer', () => {
  const closers: Array<() => Promise<void>> = [];

  afterEach(async () => {
    for (const close of closers.splice(0)) await close();
  });

  async function listen(serve: (socket: net.Socket) => void): Promise<string> {
    const sockets = new Set<net.Socket>();
    const server = net.createServer(socket => {
      sockets.add(socket);
      socket.on('error', () => {});
      serve(socket);
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    closers.push(async () => {
      for (const socket of sockets) socket.destroy();
      await new Promise(resolve => server.close(resolve));
    });
    const {port} = server.address() as net.AddressInfo;
    return `127.0.0.1:${port}`;
  }

  async function startEdge(target: string, settings: Record<string, number>) {
    const edge = new CallerEdge({targets: [target], settings});
    await edge.start();
    closers.push(() => edge.stop());
    return edge;
  }

  function connect(edge: CallerEdge): net.Socket {
    const socket = net.connect(edge.server.port, '127.0.0.1');
    socket.on('error', () => {});
    closers.push(async () => void socket.destroy());
    return socket;
  }

  describe('when the caller reads nothing for a while', () => {
    // The target sends 256 MB as fast as it can and the caller does not read. Without
    // backpressure the daemon would hold all of it in memory. When the caller reads again, it
    // gets everything.
    it('pauses the target, and continues when the caller reads', async () => {
      let written = 0;
      const target = await listen(socket => {
        socket.once('data', () => {
          socket.write(
            `HTTP/1.1 200 OK\r\ncontent-length: ${TOTAL_BYTES}\r\n\r\n`,
          );
          void writeAll(socket, count => {
            written = count;
          });
        });
      });
      const edge = await startEdge(target, {});
      const caller = connect(edge);
      caller.pause();
      caller.write('GET /desk/x HTTP/1.1\r\nhost: a\r\n\r\n');
      await untilStable(() => written);
      assert.ok(written > 0 && written < BUFFERED_BYTES, `${written} bytes`);
      assert.ok((await countBytes(caller)) > TOTAL_BYTES);
    });
  });

  describe('when the caller reads nothing for too long', () => {
    // A caller that never reads would hold a slot and a connection of the target indefinitely.
    it('aborts the response and releases the slot', async () => {
      const target = await listen(socket => {
        socket.once('data', () => {
          socket.write(
            `HTTP/1.1 200 OK\r\ncontent-length: ${TOTAL_BYTES}\r\n\r\n`,
          );
          void writeAll(socket, () => {});
        });
      });
      const edge = await startEdge(target, {progress_milliseconds: 100});
      const caller = connect(edge);
      caller.pause();
      caller.write('GET /desk/x HTTP/1.1\r\nhost: a\r\n\r\n');
      await until(() => edge.router.outcomes.length > 0);
      await until(() => edge.router.inUse === 0);
    });
  });

  describe('when the target reads nothing for a while', () => {
    it('pauses the caller, and continues when the target reads', async () => {
      let targetSocket: net.Socket | undefined;
      const target = await listen(socket => {
        socket.pause();
        targetSocket = socket;
      });
      const edge = await startEdge(target, {body_bytes: TOTAL_BYTES});
      const caller = connect(edge);
      caller.write(
        `POST /desk/x HTTP/1.1\r\nhost: a\r\ncontent-length: ${TOTAL_BYTES}\r\n\r\n`,
      );
      let written = 0;
      void writeAll(caller, count => {
        written = count;
      });
      await until(() => targetSocket !== undefined);
      await untilStable(() => written);
      assert.ok(written > 0 && written < BUFFERED_BYTES, `${written} bytes`);
      let received = 0;
      targetSocket?.on('data', chunk => {
        received += chunk.length;
        if (received > TOTAL_BYTES)
          targetSocket?.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n');
      });
      targetSocket?.resume();
      const [answer] = await once(caller);
      assert.match(answer.toString('latin1'), /^HTTP\/1\.1 200 /);
    });
  });
});

/** Writes `TOTAL_BYTES` at the reader's pace; `onWritten` gets the bytes written so far. */
async function writeAll(
  socket: net.Socket,
  onWritten: (written: number) => void,
): Promise<void> {
  for (let written = 0; written < TOTAL_BYTES;) {
    if (socket.destroyed) return;
    const readOn = socket.write(CHUNK);
    written += CHUNK.length;
    onWritten(written);
    if (!readOn) await drained(socket);
  }
}

function drained(socket: net.Socket): Promise<void> {
  return new Promise(resolve => {
    const finish = () => {
      socket.off('drain', finish);
      socket.off('close', finish);
      resolve();
    };
    socket.on('drain', finish);
    socket.on('close', finish);
  });
}

function once(socket: net.Socket): Promise<[Buffer]> {
  return new Promise(resolve => socket.once('data', data => resolve([data])));
}

async function countBytes(socket: net.Socket): Promise<number> {
  let count = 0;
  await new Promise<void>(resolve => {
    socket.on('data', chunk => {
      count += chunk.length;
      if (count > TOTAL_BYTES) resolve();
    });
    socket.on('close', () => resolve());
    socket.resume();
  });
  return count;
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await pause();
}

/** Resolves when the count is above zero and has not changed over several checks. */
async function untilStable(count: () => number): Promise<void> {
  let last = -1;
  for (let still = 0; still < STABLE_CHECKS;) {
    await pause();
    still = count() === last && last > 0 ? still + 1 : 0;
    last = count();
  }
}

function pause(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, 20));
}
