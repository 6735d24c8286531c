import {randomUUID} from 'node:crypto';
import {SilentLogger, sleep} from '@gentiandoor/kernel';
import {RecordKind, parseBundle} from '@gentiandoor/shared-state';
import {Caller, type CallerRequest} from '../caller.js';
import {Deployment, type DaemonPlan} from '../deployment.js';
import {PromiseLedger} from '../promise-ledger.js';
import {kingstonBundle, nextVersion, racksOf} from './kingston.js';

const DRAINED_RACK = 'hall-a-r1';
const TARGET_LATENCY_MILLISECONDS = 20;
const CALLERS_PER_SERVICE = 4;
const PAUSE_MILLISECONDS = 10;
const PHASE_MILLISECONDS = 1500;
/** Shorter than in service, so that the demo's restart takes seconds. */
const PLAN: DaemonPlan = {
  callerHttp: {keep_alive_milliseconds: 1500, drain_grace_milliseconds: 300},
};
const DATA_CENTRES = ['hall-a', 'hall-b', 'hall-c'];

interface Workload {
  readonly service: string;
  readonly make: (id: string) => CallerRequest;
}

const WORKLOADS: readonly Workload[] = [
  {
    service: 'counter-preview',
    make: id => ({id, service: 'counter-preview', method: 'GET'}),
  },
  {
    service: 'logo-desk',
    make: id => ({id, service: 'logo-desk', method: 'GET'}),
  },
  keyed('crest-works', undefined),
  keyed('school-emblems', undefined),
  keyed('ledger-room', 'example-key-of-billing-desk'),
];

function keyed(service: string, callerKey: string | undefined): Workload {
  return {
    service,
    make: id => ({
      id,
      service,
      method: 'POST',
      body: `work ${id}`,
      idempotencyKey: id,
      callerKey,
    }),
  };
}

/** The main job on embedded stand-ins: a roll-out, requests of each kind, a rack drained in the middle. */
export class Demo {
  private readonly deployment = new Deployment(new SilentLogger(), 'keisha');
  private readonly caller = new Caller();
  private readonly ledger = new PromiseLedger();
  private running = true;
  private sent = 0;

  constructor(private readonly print: (line: string) => void) {}

  /** Resolves with true when every promise held. */
  async run(): Promise<boolean> {
    const started = performance.now();
    try {
      await this.startAll();
      const callers = this.startCallers();
      await this.drainRack();
      await this.rollOutAgain();
      await this.restartDaemon();
      this.running = false;
      await Promise.all(callers);
    } finally {
      await this.caller.close();
      await this.deployment.stop();
    }
    const seconds = ((performance.now() - started) / 1000).toFixed(1);
    return this.report(seconds);
  }

  private async startAll(): Promise<void> {
    const {deployment} = this;
    await deployment.startPlatform();
    const text = kingstonBundle(deployment.operator.publicKey);
    for (const rack of racksOf(parseBundle(text)))
      await deployment.startRack(rack);
    for (const target of deployment.targets.values()) {
      target.latencyMilliseconds = TARGET_LATENCY_MILLISECONDS;
    }
    for (const dataCentre of DATA_CENTRES) {
      await deployment.startDaemon(`entry-${dataCentre}-1`, dataCentre, PLAN);
      await deployment.startDaemon(`entry-${dataCentre}-2`, dataCentre, PLAN);
    }
    this.print(
      `started: ${deployment.targets.size} targets in ${DATA_CENTRES.length} data centres, ${deployment.daemons.length} entry daemons`,
    );
    await this.rollOut(text);
  }

  private async rollOut(text: string): Promise<void> {
    const {version} = parseBundle(text);
    const from = performance.now();
    await this.deployment.rollOut(text);
    const milliseconds = Math.round(performance.now() - from);
    this.print(
      `bundle: version ${version} in force at every daemon after ${milliseconds} ms`,
    );
  }

  private startCallers(): Array<Promise<void>> {
    return WORKLOADS.flatMap(workload =>
      Array.from({length: CALLERS_PER_SERVICE}, () =>
        this.keepSending(workload),
      ),
    );
  }

  private async keepSending(workload: Workload): Promise<void> {
    while (this.running) {
      const request = workload.make(`${workload.service}-${this.sent++}`);
      const outcome = await this.caller.send(this.nextAddress(), request);
      this.ledger.record(outcome);
      // Every tenth keyed request is sent again through another daemon, as callers do.
      if (request.idempotencyKey !== undefined && this.sent % 10 === 0) {
        this.ledger.record(await this.caller.send(this.nextAddress(), request));
      }
      await sleep(this.deployment.clock, PAUSE_MILLISECONDS);
    }
  }

  private nextAddress(): string {
    const {daemons} = this.deployment;
    return daemons[this.sent % daemons.length].callerAddress;
  }

  private async drainRack(): Promise<void> {
    const {deployment} = this;
    await sleep(deployment.clock, PHASE_MILLISECONDS);
    const vms = [...deployment.targets.keys()].filter(id =>
      id.startsWith(DRAINED_RACK),
    );
    for (const vm of vms) await this.changeDrain(vm, true);
    await sleep(deployment.clock, PHASE_MILLISECONDS);
    const before = this.runsOf(vms);
    await sleep(deployment.clock, PHASE_MILLISECONDS);
    this.print(
      `drain: rack ${DRAINED_RACK} (${vms.length} VMs) got ${this.runsOf(vms) - before} new requests in the last ${PHASE_MILLISECONDS} ms of its drain`,
    );
    for (const vm of vms) await this.changeDrain(vm, false);
    await sleep(deployment.clock, PHASE_MILLISECONDS);
    this.print(`drain: rack ${DRAINED_RACK} takes work again`);
  }

  private async changeDrain(vm: string, drain: boolean): Promise<void> {
    const head = {id: randomUUID(), writer: 'operator', vm};
    await this.deployment.append(
      drain
        ? {...head, kind: RecordKind.DrainStarted, reason: 'rack maintenance'}
        : {...head, kind: RecordKind.DrainEnded},
    );
  }

  private runsOf(vms: readonly string[]): number {
    return vms.reduce(
      (sum, id) => sum + (this.deployment.targets.get(id)?.ran.length ?? 0),
      0,
    );
  }

  private async rollOutAgain(): Promise<void> {
    const text = kingstonBundle(this.deployment.operator.publicKey);
    await this.rollOut(
      nextVersion(text, 'service.counter-preview', 'queue_limit', '96'),
    );
  }

  private async restartDaemon(): Promise<void> {
    const {daemons} = this.deployment;
    const [leaving] = daemons.splice(0, 1);
    await leaving.daemon.drainAndStop();
    await this.deployment.startDaemon(leaving.name, 'hall-a', PLAN);
    await sleep(this.deployment.clock, PHASE_MILLISECONDS);
    this.print(`restart: ${leaving.name} stopped gracefully and came back`);
  }

  private report(seconds: string): boolean {
    const {outcomes} = this.ledger;
    this.print(`callers: ${outcomes.length} requests in ${seconds} s`);
    for (const [line, count] of this.ledger.summary())
      this.print(`  ${count} x ${line}`);
    const broken = this.ledger.broken(this.deployment.targets.values());
    const total = Object.values(broken).reduce((sum, count) => sum + count, 0);
    for (const [name, count] of Object.entries(broken))
      this.print(`promise ${name}: ${count}`);
    const answered = outcomes.some(outcome => outcome.whole);
    this.print(
      total === 0 && answered ? 'every promise held' : 'A PROMISE WAS BROKEN',
    );
    return total === 0 && answered;
  }
}
