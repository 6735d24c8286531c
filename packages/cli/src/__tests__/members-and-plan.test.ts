import assert from 'node:assert/strict';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {json} from 'node:stream/consumers';
import {after, before, beforeEach, describe, it} from 'node:test';
import {processContext} from '../process-context.js';
import {ExitCode} from '../exit-codes.js';
import {runProgram} from '../program.js';

const MEMBERS = [
  {
    name: 'entry-hall-a-2',
    incarnation: 'i-2',
    dataCentre: 'hall-a',
    peerAddress: '127.0.0.1:7901',
    linked: false,
    plans: false,
    holdsUp: ['r1-1', 'r1-2', 'r1-3', 'r1-4', 'r1-5', 'r1-6', 'r1-7'],
  },
];
const PLAN = {
  left: 3,
  active: 0,
  limit: 1,
  order: [{dataCentre: 'hall-a', rack: 'hall-a-r1', vms: 3}],
  next: ['hall-a-r1-1'],
  heldBack: [],
  turnedDown: [{choice: 'take hall-a-r1-2', because: 'no room'}],
};
const RESPONSES: Readonly<Record<string, unknown>> = {
  '/fleet/members': MEMBERS,
  '/fleet/waves/preview': PLAN,
  '/fleet/members/removals': {accepted: true, offset: 7},
};

describe('the command line', () => {
  const receivedRequests: Array<{url: string; body: unknown}> = [];
  let printed: string[] = [];
  let diagnostics: string[] = [];
  const server = http.createServer((request, response) => {
    void respond(request, response);
  });

  async function respond(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const url = request.url ?? '';
    const body = request.method === 'POST' ? await json(request) : undefined;
    receivedRequests.push({url, body});
    response.end(JSON.stringify(RESPONSES[url.split('?')[0]]));
  }

  before(
    () => new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve)),
  );
  after(() => {
    server.close();
    server.closeAllConnections();
  });
  beforeEach(() => {
    receivedRequests.length = 0;
    printed = [];
    diagnostics = [];
  });

  function run(...args: string[]): Promise<ExitCode> {
    const {port} = server.address() as AddressInfo;
    const common = ['--admin', `127.0.0.1:${port}`, '--key', 'k'];
    return runProgram(['node', 'gentiandoor', ...args, ...common], {
      ...processContext(),
      environment: {USER: 'moana'},
      print: line => printed.push(line),
      printDiagnostic: line => diagnostics.push(line),
    });
  }

  describe('member list', () => {
    it('shows the first VMs that a daemon holds up and counts the rest', async () => {
      assert.equal(await run('member', 'list'), ExitCode.Done);
      assert.match(
        printed[1],
        /^entry-hall-a-2 +hall-a .* NO .*r1-1, r1-2, r1-3, r1-4, r1-5 and 2 more$/,
      );
    });

    it('prints all members as JSON', async () => {
      assert.equal(await run('member', 'list', '--json'), ExitCode.Done);
      assert.deepEqual(JSON.parse(printed.join('\n')), MEMBERS);
    });
  });

  describe('member remove', () => {
    it('warns that the daemon must be stopped and sends operator and reason', async () => {
      const reason = 'host is dead';
      const args = ['member', 'remove', 'entry-hall-a-2', '--reason', reason];
      assert.equal(await run(...args), ExitCode.Done);
      assert.match(diagnostics[0], /must really be stopped/);
      const body = {name: 'entry-hall-a-2', reason, operator: 'moana'};
      assert.deepEqual(receivedRequests, [
        {url: '/fleet/members/removals', body},
      ]);
      assert.match(printed[0], /taken out of the members at offset 7/);
    });

    it('sends nothing without a reason', async () => {
      const code = await run('member', 'remove', 'entry-hall-a-2');
      assert.equal(code, ExitCode.BadInput);
      assert.match(diagnostics[0], /--reason/);
      assert.deepEqual(receivedRequests, []);
    });
  });

  describe('maintenance plan', () => {
    it('shows the limit, the next VMs, what holds the wave back and the order', async () => {
      const args = ['maintenance', 'plan', '--data-centres', 'hall-a,hall-b'];
      assert.equal(await run(...args), ExitCode.Done);
      assert.equal(
        receivedRequests[0].url,
        '/fleet/waves/preview?dataCentres=hall-a%2Chall-b',
      );
      assert.deepEqual(printed, [
        '3 VMs are left, 0 are under way, at most 1 at one time now',
        'would take now: hall-a-r1-1',
        'held back: cannot take hall-a-r1-2: no room',
        'data centre  rack       VMs',
        'hall-a       hall-a-r1  3',
      ]);
    });

    it('rejects a wave combined with a scope', async () => {
      const args = ['maintenance', 'plan', '--wave', 'w', '--pools', 'p'];
      assert.equal(await run(...args), ExitCode.BadInput);
      assert.deepEqual(receivedRequests, []);
    });
  });
});
