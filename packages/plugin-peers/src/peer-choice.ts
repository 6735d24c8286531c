/** A daemon to which a link may be opened. */
export interface PeerCandidate {
  readonly name: string;
  readonly dataCentre: string;
  readonly address: string;
}

/** Number of links to maintain. */
export interface LinkLimits {
  readonly local: number;
  readonly remote: number;
}

/**
 * Chooses the daemons to link to. With every daemon linked to every other, control traffic
 * grows with the square of their number, so links are limited. Within the own data centre all
 * daemons are chosen while they are few. Otherwise the next ones on a ring of names are
 * chosen, which keeps the data centre connected, and one at random, which keeps paths short.
 * Links to other data centres are assigned round robin, one data centre at a time, so that
 * none is reached over a single link while another has many. `fraction` in [0, 1) is drawn
 * once per daemon, so that a change of members does not change which links are kept.
 */
export function choosePeers(
  self: PeerCandidate,
  candidates: readonly PeerCandidate[],
  limits: LinkLimits,
  fraction: number,
): PeerCandidate[] {
  const others = candidates.filter(candidate => candidate.name !== self.name);
  const local = others.filter(other => other.dataCentre === self.dataCentre);
  const remote = others.filter(other => other.dataCentre !== self.dataCentre);
  return [
    ...chooseOnRing(self, local, limits.local, fraction),
    ...chooseRoundRobinByDataCentre(self, remote, limits.remote),
  ];
}

function chooseOnRing(
  self: PeerCandidate,
  peers: readonly PeerCandidate[],
  count: number,
  fraction: number,
): PeerCandidate[] {
  if (peers.length <= count) return [...peers];
  if (count === 0) return [];
  const ring = ringOrderAfter(self, peers);
  const neighbours = ring.slice(0, count - 1);
  const remaining = ring.slice(count - 1);
  return [...neighbours, remaining[Math.floor(fraction * remaining.length)]];
}

function chooseRoundRobinByDataCentre(
  self: PeerCandidate,
  peers: readonly PeerCandidate[],
  count: number,
): PeerCandidate[] {
  const peersByDataCentre = new Map<string, PeerCandidate[]>();
  for (const peer of ringOrderAfter(self, peers)) {
    const peersOfDataCentre = peersByDataCentre.get(peer.dataCentre) ?? [];
    peersByDataCentre.set(peer.dataCentre, [...peersOfDataCentre, peer]);
  }
  const chosen: PeerCandidate[] = [];
  for (let round = 0; chosen.length < Math.min(count, peers.length); round++) {
    for (const peersOfDataCentre of peersByDataCentre.values()) {
      if (peersOfDataCentre.length > round && chosen.length < count)
        chosen.push(peersOfDataCentre[round]);
    }
  }
  return chosen;
}

/**
 * Returns the peers sorted by name, starting after `self`, so that each daemon starts at
 * another one.
 */
function ringOrderAfter(
  self: PeerCandidate,
  peers: readonly PeerCandidate[],
): PeerCandidate[] {
  const sorted = [...peers].sort((a, b) => (a.name < b.name ? -1 : 1));
  const start = sorted.findIndex(peer => peer.name > self.name);
  const from = start < 0 ? 0 : start;
  return [...sorted.slice(from), ...sorted.slice(0, from)];
}
