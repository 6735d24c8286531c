import {sleep, type Clock, type RandomSource} from '@gentiandoor/kernel';
import {GuaranteeChecker} from '../guarantee-checker.js';
import {KeepAliveCaller, type TimedOutcome} from './keep-alive-caller.js';

const RETRY_CONNECT_MILLISECONDS = 20;

/** Parameters of a steady load on keep-alive connections. */
export interface SteadyLoadPlan {
  readonly service: string;
  readonly callers: number;
  /** Maximum pause of a caller between two requests; each pause is a random fraction of it. */
  readonly pauseMilliseconds: number;
  readonly pick: () => string | undefined;
}

/** Callers that alternate GET and POST; each request has a unique id and no idempotency key. */
export class SteadyLoad {
  readonly guaranteeChecker = new GuaranteeChecker();
  readonly outcomes: TimedOutcome[] = [];
  private running = true;
  private sent = 0;

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly plan: SteadyLoadPlan,
  ) {}

  /** Resolves when all callers have ended after `stop`. */
  async run(): Promise<void> {
    const callers = Array.from({length: this.plan.callers}, () =>
      this.keepSending(),
    );
    await Promise.all(callers);
  }

  stop(): void {
    this.running = false;
  }

  private async keepSending(): Promise<void> {
    const caller = new KeepAliveCaller(this.plan.pick);
    while (this.running) {
      const outcome = await caller.send(this.nextRequest());
      if (outcome) {
        this.guaranteeChecker.record(outcome);
        this.outcomes.push(outcome);
      }
      const pause = outcome
        ? this.random.nextFraction() * this.plan.pauseMilliseconds
        : RETRY_CONNECT_MILLISECONDS;
      await sleep(this.clock, pause);
    }
    caller.close();
  }

  private nextRequest() {
    const id = `r${this.sent++}`;
    const {service} = this.plan;
    return this.sent % 2 === 0
      ? {id, service, method: 'GET' as const}
      : {id, service, method: 'POST' as const, body: `work ${id}`};
  }
}
