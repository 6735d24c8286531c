import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  DecisionJournal,
  ErrorKind,
  MemoryMetrics,
  MetricName,
  RequestError,
  SeededRandom,
  SubjectKind,
  VirtualClock,
} from '@gentiandoor/kernel';
import {OutcomeKind, RetryDecision} from '@gentiandoor/decisions';
import {
  ListedState,
  NoPeerLinks,
  PeerTopic,
  emptyFleetState,
  parseSections,
  type ListedVm,
  type Peer,
  type PeerHandler,
} from '@gentiandoor/shared-state';
import {ServiceRouter, type AcquireRequest} from '../service-router.js';

const SERVICE = 'counter-preview';
const REFRESH = 100;
const BUNDLE = `
[bundle]
version = 1
base = 0
author = moana
sign_offs = 0
[rack.hall-a-r1]
data_centre = hall-a
vms = a-[1-2]
[pool.previews]
vms = a-[1-2]
slots = 2
[service.${SERVICE}]
pool = previews
wait_milliseconds = 1000
queue_limit = 3
[team.cooperative]
slots = 1
[caller.badges]
team = cooperative
key_digest = ${'0'.repeat(64)}
`;

class FakePeers extends NoPeerLinks {
  readonly sent: unknown[] = [];
  private handler: PeerHandler | undefined;

  override connected(): readonly Peer[] {
    return [{name: 'entry-2', incarnation: 'two', dataCentre: 'hall-a'}];
  }

  override broadcast(_topic?: PeerTopic, message?: unknown): void {
    this.sent.push(message);
  }

  override setHandler(_topic?: PeerTopic, handler?: PeerHandler): void {
    this.handler = handler;
  }

  async receive(message: unknown): Promise<void> {
    await this.handler?.(this.connected()[0], message);
  }
}

function listed(id: string, state = ListedState.Live): [string, ListedVm] {
  const address = `127.0.0.1:${id.length}`;
  return [id, {id, address, dataCentre: 'hall-a', rack: 'hall-a-r1', state}];
}

function build() {
  const clock = new VirtualClock();
  const metrics = new MemoryMetrics();
  const decisionJournal = new DecisionJournal(clock);
  const peerLinks = new FakePeers();
  const state = emptyFleetState({});
  const parsed = parseSections(BUNDLE, undefined);
  const {bundle} = parsed;
  state.inForce = {bundle, parsed, text: BUNDLE, digest: 'd', offset: 0};
  for (const id of ['a-1', 'a-2'])
    state.vms.set(id, {id, pool: 'previews', epoch: 1});
  const vms = new Map([listed('a-1'), listed('a-2')]);
  const listeners: Array<() => void> = [];
  const onChange = (listener: () => void) => listeners.push(listener);
  const router = new ServiceRouter({
    clock,
    metrics,
    decisionJournal,
    peerLinks,
    random: new SeededRandom(1),
    identity: {name: 'entry-1', dataCentre: 'hall-a', incarnation: 'one'},
    sharedState: {
      state,
      isLogReachable: true,
      publish: () => Promise.reject(new Error('not in this test')),
      onChange,
    },
    vmList: {current: () => vms, ageMilliseconds: () => 0, onChange},
  });
  const change = () => {
    for (const listener of listeners) listener();
    clock.advance(REFRESH);
  };
  const acquire = (wanted: Partial<AcquireRequest> = {}) =>
    router.acquire({service: SERVICE, ...wanted});
  return {
    ...{clock, metrics, decisionJournal, peerLinks, state, vms, router},
    ...{change, acquire},
  };
}

function kindOf(promise: Promise<unknown>): Promise<ErrorKind | 'granted'> {
  return promise.then(
    () => 'granted' as const,
    (error: unknown) => {
      assert.ok(error instanceof RequestError);
      return error.kind;
    },
  );
}

describe('ServiceRouter', () => {
  describe('with more requests than slots and places in the queue', () => {
    it('grants the slots, queues up to the limit and refuses the rest', async () => {
      const {acquire, clock} = build();
      const kinds = Array.from({length: 8}, () => kindOf(acquire()));
      clock.advance(1100);
      const found = await Promise.all(kinds);
      const count = (kind: string) =>
        found.filter(item => item === kind).length;
      assert.equal(count('granted'), 4);
      assert.equal(count(ErrorKind.QueueFull), 1);
      assert.equal(count(ErrorKind.QueueTimeout), 3);
    });
  });

  describe('with a caller that disconnects while it waits', () => {
    it('removes the request from the queue', async () => {
      const {acquire, router, clock} = build();
      const slots = await Promise.all([1, 2, 3, 4].map(() => acquire()));
      const gone = new AbortController();
      const waiting = kindOf(acquire({signal: gone.signal}));
      const next = acquire();
      gone.abort();
      assert.equal(await waiting, ErrorKind.CallerGone);
      slots[0].release();
      assert.equal((await next).id, slots[0].id);
      clock.advance(5000);
      assert.ok(router);
    });

    it('does not queue a request whose caller has already disconnected', async () => {
      const {acquire} = build();
      await Promise.all([1, 2, 3, 4].map(() => acquire()));
      const signal = AbortSignal.abort();
      assert.equal(await kindOf(acquire({signal})), ErrorKind.CallerGone);
    });
  });

  describe('with a team at its quota', () => {
    it('serves other teams first and gives the quota as reason on timeout', async () => {
      const {acquire, clock} = build();
      await acquire({caller: 'badges'});
      const second = kindOf(acquire({caller: 'badges'}));
      assert.equal(await kindOf(acquire()), 'granted');
      clock.advance(1100);
      assert.equal(await second, ErrorKind.QuotaExceeded);
    });
  });

  describe('with a VM that is leaving', () => {
    for (const sign of ['list', 'drain record', 'peer'] as const) {
      it(`sends it no new work after a signal from the ${sign}`, async () => {
        const {acquire, change, state, vms, peerLinks} = build();
        const first = await acquire();
        if (sign === 'list') vms.set(...listed(first.id, ListedState.Leaving));
        if (sign === 'drain record') {
          const vm = state.vms.get(first.id);
          assert.ok(vm);
          state.vms.set(first.id, {...vm, drainReason: 'maintenance'});
        }
        if (sign === 'peer') {
          const previews = {waiting: false, uses: [], leaving: [first.id]};
          const pools = {previews};
          const expiryMilliseconds = 1000;
          await peerLinks.receive({pools, teams: [], expiryMilliseconds});
        }
        change();
        assert.equal(first.isRoutable(), false);
        const others = await Promise.all([acquire(), acquire()]);
        assert.ok(others.every(slot => slot.id !== first.id));
      });
    }
  });

  describe('with no VM left', () => {
    it('refuses at once and says when to retry', async () => {
      const {acquire, change, vms} = build();
      vms.clear();
      change();
      await assert.rejects(acquire(), (error: RequestError) => {
        assert.equal(error.kind, ErrorKind.NoTarget);
        return (error.retryAfterSeconds ?? 0) >= 1;
      });
    });
  });

  describe('with a VM that fails', () => {
    it('ejects it, counts the ejection and records why for explain', async () => {
      const {acquire, decisionJournal, metrics} = build();
      for (let count = 0; count < 20; count++) {
        const slot = await acquire({idempotent: true});
        const kind =
          slot.id === 'a-1' ? OutcomeKind.ServerError : OutcomeKind.Succeeded;
        slot.report({kind, latencyMilliseconds: 0, leaving: false});
        slot.release();
      }
      const [entry] = decisionJournal.entriesAbout(SubjectKind.Vm, 'a-1');
      assert.equal(entry.rule, 'bounded-ejection');
      assert.equal(entry.evidence['failuresInARow'], 5);
      const ejected = {standing: 'ejected'};
      assert.equal(metrics.value(MetricName.StandingChanges, ejected), 1);
    });
  });

  describe('with a failed attempt', () => {
    it('counts the retry, or the reason why it is denied', () => {
      const {router, metrics} = build();
      const question = {
        kind: OutcomeKind.ConnectionLost,
        sent: true,
        idempotent: true,
        attempts: 1,
      };
      assert.equal(router.decideRetry(SERVICE, question), RetryDecision.Retry);
      const once = {...question, idempotent: false};
      assert.equal(router.decideRetry(SERVICE, once), RetryDecision.MayHaveRun);
      assert.equal(metrics.value(MetricName.Retries, {reason: 'broken'}), 1);
      const reason = {reason: 'may_have_run'};
      assert.equal(metrics.value(MetricName.RetriesDenied, reason), 1);
    });
  });

  describe('with peers', () => {
    it('broadcasts its usage while it has work, then stops', async () => {
      const {acquire, clock, peerLinks} = build();
      const slot = await acquire();
      clock.advance(300);
      const [message] = peerLinks.sent as Array<{
        pools: Record<string, {uses: Array<[string, number]>}>;
      }>;
      const used = new Map(message.pools['previews'].uses);
      assert.equal(used.get(slot.id), 1);
      slot.release();
      clock.advance(1000);
      const sent = peerLinks.sent.length;
      clock.advance(10_000);
      assert.equal(peerLinks.sent.length, sent);
    });

    it('leaves slots to a peer that has waiting requests', async () => {
      const {acquire, peerLinks, clock} = build();
      (await acquire()).release();
      const uses = [
        ['a-1', 2],
        ['a-2', 2],
      ];
      const previews = {waiting: true, uses, leaving: []};
      const pools = {previews};
      await peerLinks.receive({pools, teams: [], expiryMilliseconds: 5000});
      const kinds = [1, 2, 3].map(() => kindOf(acquire()));
      clock.advance(1100);
      const found = await Promise.all(kinds);
      assert.deepEqual(found, ['granted', 'granted', ErrorKind.QueueTimeout]);
    });

    it('drops a malformed summary', async () => {
      const {acquire, peerLinks} = build();
      await peerLinks.receive({pools: 7});
      await peerLinks.receive(undefined);
      assert.equal(await kindOf(acquire()), 'granted');
    });
  });
});
