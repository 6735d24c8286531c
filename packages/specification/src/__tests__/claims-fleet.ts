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

/** The claims of one daemon, over a log with injected faults. */
export interface ClaimsFleetDaemon {
  readonly name: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly claims: LogBackedIdempotencyGuard;
  readonly log: FaultyLog;
  readonly metrics: MemoryMetrics;
}

/** Outcome of a keyed request. */
export interface KeyedRequestOutcome {
  readonly decision: string;
  /** Whether it ran, as reported to the caller: yes, no or unknown; empty while it runs. */
  readonly runStatement: string;
  readonly claim?: ClaimHandle;
  readonly answer?: HeldAnswer;
  readonly retryAfterSeconds?: number;
}

/** Options that a test may set. */
export interface ClaimsFleetOptions {
  readonly log?: MemoryLogOptions;
  readonly onceOnly?: Readonly<Record<string, string>>;
  /** Resolves when a step of a call to the log or to a peer may continue. */
  readonly waitForStep?: (label: string) => Promise<void>;
}

/** The claims of several daemons over one in-memory log, on a virtual clock. */
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

  /** Starts a daemon, or the successor of a daemon that stopped. */
  async start(name: string, dataCentre = 'hall-a'): Promise<ClaimsFleetDaemon> {
    const incarnation = `${name}.${++this.startCount}`;
    const identity = {name, dataCentre, incarnation};
    const waitForStep = (step: string) =>
      this.waitForStep(`${incarnation} ${step}`);
    const log = new FaultyLog(this.log, waitForStep);
    const metrics = new MemoryMetrics();
    const claims = new LogBackedIdempotencyGuard({
      clock: this.clock,
      random: new SeededRandom(this.startCount),
      logger: new SilentLogger(),
      metrics,
      identity,
      platformLog: log,
      peerLinks: new StepwisePeerLinks(
        this.network.join(identity),
        waitForStep,
      ),
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

  /** Crashes a daemon: it hands nothing over and writes nothing more. */
  async crash({claims, incarnation, log}: ClaimsFleetDaemon): Promise<void> {
    this.network.leave(incarnation);
    log.isUnreachable = true;
    await this.settle(claims.stop());
  }

  /** Drains and stops a daemon. */
  async stop({claims, incarnation}: ClaimsFleetDaemon): Promise<void> {
    await this.settle(claims.drain());
    await this.settle(claims.stop());
    this.network.leave(incarnation);
  }

  /** Sends a keyed request; the promise settles only during `settle` or `advance`. */
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

  /** Advances the virtual clock. */
  advance(milliseconds: number): Promise<void> {
    return this.clock.advanceAsync(milliseconds);
  }

  /** Advances the virtual clock until the work has settled. */
  async settle<Value>(work: Promise<Value>): Promise<Value> {
    let isPending = true;
    const settled = work.finally(() => {
      isPending = false;
    });
    settled.catch(() => undefined);
    await this.advance(0);
    while (isPending) await this.advance(STEP_MILLISECONDS);
    return settled;
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

/** Returns a complete answer with the text as its body. */
export function answerOf(text: string): HeldAnswer {
  return {
    status: 200,
    headers: ['content-type', 'text/plain'],
    body: Buffer.from(text),
  };
}
