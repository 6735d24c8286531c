import {
  MemoryMetrics,
  RequestError,
  SeededRandom,
  SilentLogger,
  VirtualClock,
} from '@gentiandoor/kernel';
import {
  ClaimsOverLog,
  onceOnlyOptions,
  type OnceOnlyOptions,
} from '@gentiandoor/plugin-once-only';
import {
  emptyFleetState,
  type FleetState,
  type HeldAnswer,
  type HeldClaim,
  type KeyDecision,
} from '@gentiandoor/shared-state';
import {
  MemoryLog,
  MemoryPeerNetwork,
  type MemoryLogOptions,
} from '@gentiandoor/stand-ins';
import {FaultyLog} from './faulty-log.js';
import {GatedLinks} from './gated-links.js';

const STEP_MILLISECONDS = 5;
const CALLER = 'crest-shop';

/** A daemon of the fleet: only its claims, over a log with faults. */
export interface FleetDaemon {
  readonly name: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly claims: ClaimsOverLog;
  readonly log: FaultyLog;
  readonly metrics: MemoryMetrics;
}

/** How a keyed request was decided. */
export interface Told {
  readonly said: string;
  /** What the caller hears of its run: yes, no, unknown; empty while it runs. */
  readonly run: string;
  readonly claim?: HeldClaim;
  readonly answer?: HeldAnswer;
  readonly retryAfterSeconds?: number;
}

/** Settings that a test changes. */
export interface FleetSettings {
  readonly log?: MemoryLogOptions;
  readonly onceOnly?: Readonly<Record<string, string>>;
  /** Decides when each step of a call to the log or a peer goes on. */
  readonly gate?: (label: string) => Promise<void>;
}

/** Several daemons' claims over one log in memory, on a virtual clock. */
export class ClaimsFleet {
  readonly clock = new VirtualClock();
  readonly log: MemoryLog;
  readonly network = new MemoryPeerNetwork();
  readonly daemons = new Map<string, FleetDaemon>();
  private readonly state: FleetState = emptyFleetState({});
  private readonly options: OnceOnlyOptions;
  private readonly gate: (label: string) => Promise<void>;
  private starts = 0;

  constructor(settings: FleetSettings = {}) {
    this.log = new MemoryLog(this.clock, settings.log);
    this.gate = settings.gate ?? (async () => {});
    this.options = onceOnlyOptions.parse(settings.onceOnly ?? {});
  }

  /** Starts a daemon, or the successor of one that ended. */
  async start(name: string, dataCentre = 'hall-a'): Promise<FleetDaemon> {
    const incarnation = `${name}.${++this.starts}`;
    const identity = {name, dataCentre, incarnation};
    const gate = (step: string) => this.gate(`${incarnation} ${step}`);
    const log = new FaultyLog(this.log, gate);
    const metrics = new MemoryMetrics();
    const claims = new ClaimsOverLog({
      clock: this.clock,
      random: new SeededRandom(this.starts),
      logger: new SilentLogger(),
      metrics,
      identity,
      platformLog: log,
      peerLinks: new GatedLinks(this.network.join(identity), gate),
      sharedState: {state: this.state},
      onceOnlyOptions: this.options,
    });
    for (const member of this.state.members.values()) {
      if (member.name === name) this.state.members.delete(member.incarnation);
    }
    this.state.members.set(incarnation, {
      ...identity,
      peerAddress: '',
      readsFormat: 1,
    });
    const daemon = {...identity, claims, log, metrics};
    this.daemons.set(name, daemon);
    await claims.start();
    await this.advance(STEP_MILLISECONDS);
    return daemon;
  }

  /** Ends a daemon as a crash does: nothing is handed over, nothing more is written. */
  async crash({claims, incarnation, log}: FleetDaemon): Promise<void> {
    this.network.leave(incarnation);
    log.isCut = true;
    await this.settle(claims.stop());
  }

  /** Ends a daemon by plan. */
  async stop({claims, incarnation}: FleetDaemon): Promise<void> {
    await this.settle(claims.drain());
    await this.settle(claims.stop());
    this.network.leave(incarnation);
  }

  /** Asks to run a key; the promise needs `settle` or `advance` to end. */
  ask(
    {claims}: FleetDaemon,
    key: string,
    fingerprint = 'POST /crest-works',
    signal?: AbortSignal,
  ): Promise<Told> {
    const request = {service: 'crest-works', caller: CALLER, key, fingerprint};
    return claims.begin(request, signal).then(told, refused);
  }

  /** Moves time forward. */
  advance(milliseconds: number): Promise<void> {
    return this.clock.advanceAsync(milliseconds);
  }

  /** Moves time forward until the work has ended. */
  async settle<Value>(work: Promise<Value>): Promise<Value> {
    let isOpen = true;
    const ended = work.finally(() => {
      isOpen = false;
    });
    ended.catch(() => undefined);
    await this.advance(0);
    while (isOpen) await this.advance(STEP_MILLISECONDS);
    return ended;
  }

  async end(): Promise<void> {
    for (const {claims} of this.daemons.values())
      await this.settle(claims.stop());
  }
}

function told(decision: KeyDecision): Told {
  if (decision.run) return {said: 'run', run: '', claim: decision.claim};
  return {said: 'replayed', run: 'yes', answer: decision.answer};
}

function refused(error: unknown): Told {
  if (!(error instanceof RequestError)) throw error;
  const {kind, run, retryAfterSeconds} = error;
  return {said: kind, run, retryAfterSeconds};
}

/** A whole answer with a text as its body. */
export function answerOf(text: string): HeldAnswer {
  return {
    status: 200,
    headers: ['content-type', 'text/plain'],
    body: Buffer.from(text),
  };
}
