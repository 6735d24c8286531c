import {
  MemoryMetrics,
  RequestError,
  SeededRandom,
  SilentLogger,
  VirtualClock,
} from '@gentiandoor/kernel';
import {
  LogBackedIdempotencyGuard,
  onceOnlyOptions,
  type OnceOnlyOptions,
} from '@gentiandoor/plugin-once-only';
import {
  emptyFleetState,
  type FleetState,
  type HeldAnswer,
  type ClaimHandle,
  type KeyedRequestDecision,
} from '@gentiandoor/shared-state';
import {
  MemoryLog,
  MemoryPeerNetwork,
  type MemoryLogOptions,
} from '@gentiandoor/stand-ins';
import {FaultyLog} from './faulty-log.js';
import {StepwisePeerLinks} from './stepwise-peer-links.js';

const STEP_MILLISECONDS = 5;
const CALLER = 'crest-shop';

/** A daemon of the fleet: only its claims, over a log with faults. */
export interface ClaimsFleetDaemon {
  readonly name: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly claims: LogBackedIdempotencyGuard;
  readonly log: FaultyLog;
  readonly metrics: MemoryMetrics;
}

/** How a keyed request was decided. */
export interface KeyedRequestOutcome {
  readonly decision: string;
  /** What the caller hears of its run: yes, no, unknown; empty while it runs. */
  readonly runStatement: string;
  readonly claim?: ClaimHandle;
  readonly answer?: HeldAnswer;
  readonly retryAfterSeconds?: number;
}

/** Settings that a test changes. */
export interface ClaimsFleetOptions {
  readonly log?: MemoryLogOptions;
  readonly onceOnly?: Readonly<Record<string, string>>;
  /** Decides when each step of a call to the log or a peer goes on. */
  readonly waitForStep?: (label: string) => Promise<void>;
}

/** Several daemons' claims over one log in memory, on a virtual clock. */
export class ClaimsFleet {
  readonly clock = new VirtualClock();
  readonly log: MemoryLog;
  readonly network = new MemoryPeerNetwork();
  readonly daemons = new Map<string, ClaimsFleetDaemon>();
  private readonly state: FleetState = emptyFleetState({});
  private readonly options: OnceOnlyOptions;
  private readonly waitForStep: (label: string) => Promise<void>;
  private startCount = 0;

  constructor(settings: ClaimsFleetOptions = {}) {
    this.log = new MemoryLog(this.clock, settings.log);
    this.waitForStep = settings.waitForStep ?? (async () => {});
    this.options = onceOnlyOptions.parse(settings.onceOnly ?? {});
  }

  /** Starts a daemon, or the successor of one that ended. */
  async start(name: string, dataCentre = 'hall-a'): Promise<ClaimsFleetDaemon> {
    const incarnation = `${name}.${++this.startCount}`;
    const identity = {name, dataCentre, incarnation};
    const gate = (step: string) => this.waitForStep(`${incarnation} ${step}`);
    const log = new FaultyLog(this.log, gate);
    const metrics = new MemoryMetrics();
    const claims = new LogBackedIdempotencyGuard({
      clock: this.clock,
      random: new SeededRandom(this.startCount),
      logger: new SilentLogger(),
      metrics,
      identity,
      platformLog: log,
      peerLinks: new StepwisePeerLinks(this.network.join(identity), gate),
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
  async crash({claims, incarnation, log}: ClaimsFleetDaemon): Promise<void> {
    this.network.leave(incarnation);
    log.isUnreachable = true;
    await this.settle(claims.stop());
  }

  /** Ends a daemon by plan. */
  async stop({claims, incarnation}: ClaimsFleetDaemon): Promise<void> {
    await this.settle(claims.drain());
    await this.settle(claims.stop());
    this.network.leave(incarnation);
  }

  /** Asks to run a key; the promise needs `settle` or `advance` to end. */
  ask(
    {claims}: ClaimsFleetDaemon,
    key: string,
    fingerprint = 'POST /crest-works',
    signal?: AbortSignal,
  ): Promise<KeyedRequestOutcome> {
    const request = {service: 'crest-works', caller: CALLER, key, fingerprint};
    return claims
      .begin(request, signal)
      .then(outcomeOfDecision, outcomeOfError);
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

  async stopAll(): Promise<void> {
    for (const {claims} of this.daemons.values())
      await this.settle(claims.stop());
  }
}

function outcomeOfDecision(
  decision: KeyedRequestDecision,
): KeyedRequestOutcome {
  if (decision.run)
    return {decision: 'run', runStatement: '', claim: decision.claim};
  return {decision: 'replayed', runStatement: 'yes', answer: decision.answer};
}

function outcomeOfError(error: unknown): KeyedRequestOutcome {
  if (!(error instanceof RequestError)) throw error;
  const {kind, run, retryAfterSeconds} = error;
  return {decision: kind, runStatement: run, retryAfterSeconds};
}

/** A whole answer with a text as its body. */
export function answerOf(text: string): HeldAnswer {
  return {
    status: 200,
    headers: ['content-type', 'text/plain'],
    body: Buffer.from(text),
  };
}
