import assert from 'node:assert/strict';
import http from 'node:http';
import {after, before, describe, it} from 'node:test';
import {SeededRandom, SilentLogger, VirtualClock} from '@gentiandoor/kernel';
import {ListedState} from '@gentiandoor/shared-state';
import {HttpVmList} from '../http-vm-list.js';

const A = {
  id: 'a',
  address: '127.0.0.1:1',
  dataCentre: 'd',
  rack: 'r',
  state: ListedState.Live,
};
const POLL_MILLISECONDS = 1000;

/** Responds to each poll with the next scripted response; undefined is a platform failure. */
class ScriptedPlatform {
  readonly requestedPaths: string[] = [];
  private readonly server = http.createServer((request, response) => {
    const body = this.responses[this.requestedPaths.length];
    this.requestedPaths.push(request.url ?? '');
    response.statusCode = body === undefined ? 503 : 200;
    response.end(JSON.stringify(body ?? {error: 'out'}));
  });

  constructor(private readonly responses: ReadonlyArray<object | undefined>) {}

  async start(): Promise<string> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    const address = this.server.address();
    return `127.0.0.1:${typeof address === 'object' ? address?.port : 0}`;
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

describe('HttpVmList', () => {
  const platform = new ScriptedPlatform([
    {version: 4, whole: true, vms: [A], removed: []},
    {version: 4, whole: false, vms: [], removed: []},
    undefined,
    {version: 6, whole: false, vms: [{...A, id: 'b'}], removed: ['a']},
  ]);
  const clock = new VirtualClock();
  let list: HttpVmList;
  let changes = 0;

  before(async () => {
    list = new HttpVmList({
      clock,
      logger: new SilentLogger(),
      random: new SeededRandom(1),
      platformListOptions: {
        address: await platform.start(),
        poll_milliseconds: POLL_MILLISECONDS,
        timeout_milliseconds: 2000,
      },
    });
    list.onChange(() => changes++);
    await list.start();
  });

  after(async () => {
    await list.stop();
    platform.stop();
  });

  async function pollOnce(): Promise<void> {
    const expectedCount = platform.requestedPaths.length + 1;
    clock.advance(POLL_MILLISECONDS);
    while (platform.requestedPaths.length < expectedCount)
      await new Promise(resolve => setImmediate(resolve));
    for (let turn = 0; turn < 50; turn++)
      await new Promise(resolve => setTimeout(resolve, 1));
  }

  it('reads the whole list first, then only changes, and keeps the last list through a failure', async () => {
    // The platform fails at the third poll. Routing continues with the last list, and the next
    // poll requests changes since the same version, so that no change is lost.
    assert.deepEqual([...list.current().keys()], ['a']);
    await pollOnce();
    assert.equal(changes, 1);
    await pollOnce();
    assert.deepEqual([...list.current().keys()], ['a']);
    await pollOnce();
    assert.deepEqual([...list.current().keys()], ['b']);
    assert.equal(changes, 2);
    assert.deepEqual(platform.requestedPaths, [
      '/vms',
      '/vms?since=4',
      '/vms?since=4',
      '/vms?since=4',
    ]);
  });
});
