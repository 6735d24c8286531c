import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {choosePeers, type PeerCandidate} from '../peer-choice.js';

const LIMITS = {local: 8, remote: 8};

function makeDaemons(dataCentres: number, each: number): PeerCandidate[] {
  return Array.from({length: dataCentres * each}, (_, index) => ({
    name: `entry-${String(index).padStart(5, '0')}`,
    dataCentre: `dc-${index % dataCentres}`,
    address: `10.0.${index >> 8}.${index & 255}:7901`,
  }));
}

/** Number of daemons reachable from the first one over links in either direction. */
function countReachable(all: readonly PeerCandidate[]): number {
  const links = new Map<string, Set<string>>(
    all.map(({name}) => [name, new Set<string>()]),
  );
  all.forEach((self, index) => {
    const fraction = ((index * 7919) % 1000) / 1000;
    for (const peer of choosePeers(self, all, LIMITS, fraction)) {
      links.get(self.name)?.add(peer.name);
      links.get(peer.name)?.add(self.name);
    }
  });
  const seen = new Set([all[0].name]);
  const stack = [all[0].name];
  for (let name = stack.pop(); name !== undefined; name = stack.pop()) {
    for (const other of links.get(name) ?? []) {
      if (!seen.has(other)) stack.push(other);
      seen.add(other);
    }
  }
  return seen.size;
}

describe('choosePeers', () => {
  it('links every daemon to all others in a deployment of the present size', () => {
    const all = makeDaemons(4, 2);
    assert.equal(choosePeers(all[0], all, LIMITS, 0.5).length, 7);
  });

  it('stays within its limits with over a thousand daemons and leaves none unreachable', () => {
    const all = makeDaemons(12, 100);
    for (const self of all.slice(0, 50)) {
      const chosen = choosePeers(self, all, LIMITS, 0.5);
      assert.equal(chosen.length, 16);
      assert.equal(new Set(chosen.map(peer => peer.name)).size, 16);
    }
    assert.equal(countReachable(all), all.length);
  });

  it('spreads its remote links over the data centres', () => {
    const all = makeDaemons(5, 50);
    const remote = choosePeers(all[0], all, LIMITS, 0.5).filter(
      peer => peer.dataCentre !== 'dc-0',
    );
    assert.equal(new Set(remote.map(peer => peer.dataCentre)).size, 4);
  });
});
