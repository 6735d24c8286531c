import {
  DecisionJournal,
  DrainState,
  MemoryMetrics,
  SilentLogger,
  SystemClock,
  type LogEvent,
  type LogFields,
} from '@gentiandoor/kernel';
import {
  RetryDecision,
  isSafeToRepeat,
  type FailedAttempt,
  type TargetOutcome,
} from '@gentiandoor/decisions';
import {
  FailureDomain,
  KeyRule,
  WorkClass,
  emptyFleetState,
  type Bundle,
  type CallerEntry,
  type IdempotencyGuard,
  type ServiceEntry,
  type SharedState,
} from '@gentiandoor/shared-state';
import {LocalIdempotencyGuard} from '@gentiandoor/plugin-once-only';
import {HttpTargetTransport} from '@gentiandoor/plugin-target-http';
import {CallerDirectory} from '../caller-directory.js';
import {callerHttpOptions} from '../caller-http-options.js';
import {CallerHttpServer} from '../caller-http-server.js';
import {HeadCheck} from '../incoming-request.js';
import {KeyedRequests} from '../keyed-requests.js';
import {RequestDispatcher} from '../request-dispatcher.js';
import {RequestHandler} from '../request-handler.js';
import type {HeldSlot} from '../service-router.js';

const SERVICE: ServiceEntry = {
  pool: 'desk',
  workClass: WorkClass.Short,
  deadlineMilliseconds: 30_000,
  waitMilliseconds: 1000,
  queueLimit: 10,
  keyRule: KeyRule.Optional,
  callersOnly: false,
  budget: {availableVms: 1, survive: FailureDomain.None, leavingAtOnce: 1},
};

/** Chooses targets round-robin and counts the slots in use. */
export class RoundRobinRouter {
  inUse = 0;
  retries = 0;
  /** Outcomes that exchanges reported about their targets. */
  readonly outcomes: TargetOutcome[] = [];
  private nextIndex = 0;

  constructor(
    private readonly services: Readonly<Record<string, ServiceEntry>>,
    private readonly addresses: readonly string[],
  ) {}

  service(name: string): ServiceEntry {
    return this.services[name];
  }

  async acquire(): Promise<HeldSlot> {
    const address = this.addresses[this.nextIndex++ % this.addresses.length];
    this.inUse++;
    let held = true;
    const release = () => {
      if (held) this.inUse--;
      held = false;
    };
    const report = (outcome: TargetOutcome) => this.outcomes.push(outcome);
    return {id: address, address, isRoutable: () => true, report, release};
  }

  /** Like the daemon's own policy, with one retry and no budget. */
  decideRetry(_service: string, failedAttempt: FailedAttempt): RetryDecision {
    if (!isSafeToRepeat(failedAttempt)) return RetryDecision.MayHaveRun;
    if (failedAttempt.attempts > 1) return RetryDecision.AttemptsExhausted;
    this.retries++;
    return RetryDecision.Retry;
  }
}

/** A log line of level warn, as recorded by the test logger. */
export interface Warning {
  readonly event: LogEvent;
  readonly fields: LogFields | undefined;
}

class RecordingLogger extends SilentLogger {
  constructor(private readonly warnings: Warning[]) {
    super();
  }

  override warn(event?: LogEvent, fields?: LogFields): void {
    if (event !== undefined) this.warnings.push({event, fields});
  }
}

/** Settings of a caller edge in a test. */
export interface CallerEdgeOptions {
  readonly targets: readonly string[];
  readonly settings?: Readonly<Record<string, number>>;
  readonly targetSettings?: Readonly<Record<string, number>>;
  readonly services?: Readonly<Record<string, Partial<ServiceEntry>>>;
  readonly callers?: Readonly<Record<string, CallerEntry>>;
  readonly onceOnly?: IdempotencyGuard;
}

/** Runs the caller edge with a real transport and given targets, without the rest of a daemon. */
export class CallerEdge {
  readonly drainState = new DrainState();
  readonly metrics = new MemoryMetrics();
  readonly warnings: Warning[] = [];
  readonly router: RoundRobinRouter;
  readonly server: CallerHttpServer;
  readonly transport: HttpTargetTransport;

  constructor(parts: CallerEdgeOptions) {
    const clock = new SystemClock();
    const logger = new RecordingLogger(this.warnings);
    const {drainState, metrics} = this;
    const services = servicesOf(parts.services ?? {desk: {}});
    const sharedState = sharedStateOf(services, parts.callers ?? {});
    this.router = new RoundRobinRouter(services, parts.targets);
    const options = callerHttpOptions.parse({
      listen: '127.0.0.1:0',
      ...parts.settings,
    });
    this.transport = new HttpTargetTransport({
      clock,
      logger,
      targetHttpOptions: {
        connect_milliseconds: 1000,
        idle_milliseconds: 3000,
        proven_milliseconds: 500,
        progress_milliseconds: 15_000,
        connections: 64,
        head_bytes: 32_768,
        ...parts.targetSettings,
      },
    });
    const shared = {
      clock,
      logger,
      metrics,
      drainState,
      sharedState,
      callerHttpOptions: options,
      serviceRouter: this.router,
      targetTransport: this.transport,
      decisionJournal: new DecisionJournal(clock),
      callerDirectory: new CallerDirectory({sharedState}),
      onceOnly:
        parts.onceOnly ??
        new LocalIdempotencyGuard({onceOnlyOptions: {keys: 100}}),
    };
    const requestDispatcher = new RequestDispatcher(shared);
    const requestHandler = new RequestHandler({
      ...shared,
      headCheck: new HeadCheck(shared),
      requestDispatcher,
      keyedRequests: new KeyedRequests({...shared, requestDispatcher}),
    });
    this.server = new CallerHttpServer({...shared, requestHandler});
  }

  get address(): string {
    return `127.0.0.1:${this.server.port}`;
  }

  start(): Promise<void> {
    return this.server.start();
  }

  async stop(): Promise<void> {
    await this.server.stop();
    await this.transport.stop();
  }
}

function servicesOf(
  services: Readonly<Record<string, Partial<ServiceEntry>>>,
): Record<string, ServiceEntry> {
  return Object.fromEntries(
    Object.entries(services).map(([name, entry]) => [
      name,
      {...SERVICE, ...entry},
    ]),
  );
}

function sharedStateOf(
  services: Readonly<Record<string, ServiceEntry>>,
  callers: Readonly<Record<string, CallerEntry>>,
): SharedState {
  const state = emptyFleetState({});
  const bundle: Bundle = {
    version: 1,
    base: 0,
    author: 'moana',
    signOffs: 0,
    weights: {buffer: 1, move: 1},
    operators: {},
    racks: {},
    pools: {},
    services,
    teams: {},
    callers,
  };
  state.inForce = {
    text: '',
    digest: 'digest-1',
    offset: 1,
    bundle,
    parsed: {bundle, sections: []},
  };
  return {
    state,
    isLogReachable: true,
    publish: () => Promise.reject(new Error('not in this test')),
    onChange() {},
  };
}
