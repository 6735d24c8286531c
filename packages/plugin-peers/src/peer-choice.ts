/** A daemon that may be linked to. */
export interface PeerCandidate {
  readonly name: string;
  readonly dataCentre: string;
  readonly address: string;
}

/** How many links to keep up. */
export interface LinkLimits {
  readonly local: number;
  readonly remote: number;
}

/**
 * Which daemons to link to. Answers growth: with every daemon linked to every other, control
 * traffic grows with their square. All of the own data centre while they are few, else the
 * next ones round a ring of names, which keeps the data centre connected, and one at random,
 * which keeps paths short. Links to other data centres are dealt out one data centre at a
 * time, so that none is reached over one link only while another has many. `fraction` in
 * [0, 1) is drawn once a daemon, so that a change of members does not move links about.
 */
export function choosePeers(
  self: PeerCandidate,
  candidates: readonly PeerCandidate[],
  bounds: LinkLimits,
  fraction: number,
): PeerCandidate[] {
  const others = candidates.filter(candidate => candidate.name !== self.name);
  const local = others.filter(other => other.dataCentre === self.dataCentre);
  const remote = others.filter(other => other.dataCentre !== self.dataCentre);
  return [
    ...chooseOnRing(self, local, bounds.local, fraction),
    ...chooseRoundRobinByDataCentre(self, remote, bounds.remote),
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
  const next = ring.slice(0, count - 1);
  const rest = ring.slice(count - 1);
  return [...next, rest[Math.floor(fraction * rest.length)]];
}

function chooseRoundRobinByDataCentre(
  self: PeerCandidate,
  peers: readonly PeerCandidate[],
  count: number,
): PeerCandidate[] {
  const centres = new Map<string, PeerCandidate[]>();
  for (const peer of ringOrderAfter(self, peers)) {
    const known = centres.get(peer.dataCentre) ?? [];
    centres.set(peer.dataCentre, [...known, peer]);
  }
  const chosen: PeerCandidate[] = [];
  for (let round = 0; chosen.length < Math.min(count, peers.length); round++) {
    for (const list of centres.values()) {
      if (list.length > round && chosen.length < count)
        chosen.push(list[round]);
    }
  }
  return chosen;
}

/** Peers by name, from the one after `self` on: each daemon starts elsewhere. */
function ringOrderAfter(
  self: PeerCandidate,
  peers: readonly PeerCandidate[],
): PeerCandidate[] {
  const sorted = [...peers].sort((a, b) => (a.name < b.name ? -1 : 1));
  const start = sorted.findIndex(peer => peer.name > self.name);
  const from = start < 0 ? 0 : start;
  return [...sorted.slice(from), ...sorted.slice(0, from)];
}
