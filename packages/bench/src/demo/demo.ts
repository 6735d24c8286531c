import {SilentLogger, sleep} from '@gentiandoor/kernel';
import {
  JobState,
  PlannedWorkStep,
  parseBundle,
  type FleetState,
  type SharedState,
} from '@gentiandoor/shared-state';
import {ExitCode, processContext, runProgram} from '@gentiandoor/cli';
import {Caller, type CallerRequest} from '../caller.js';
import {
  ADMIN_KEY,
  Deployment,
  type DaemonSettingsOverrides,
} from '../deployment.js';
import {GuaranteeChecker} from '../guarantee-checker.js';
import {kingstonBundle, nextVersion, racksOf} from './kingston.js';

const DRAINED_RACK = 'hall-a-r1';
const TARGET_LATENCY_MILLISECONDS = 20;
const CALLERS_PER_SERVICE = 4;
const PAUSE_MILLISECONDS = 10;
const PHASE_MILLISECONDS = 1500;
/** Shorter than the defaults, so that the demo's restart takes seconds. */
const SETTINGS: DaemonSettingsOverrides = {
  callerHttp: {keep_alive_milliseconds: 1500, drain_grace_milliseconds: 300},
};
const WAVE = 'december';
const WAVE_POOL = 'counter-preview';
const WAIT_TIMEOUT_MILLISECONDS = 30_000;
const JOB = 'badge-run-1';
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
  keyedWorkload('crest-works', undefined),
  keyedWorkload('school-emblems', undefined),
  keyedWorkload('ledger-room', 'example-key-of-billing-desk'),
];

function keyedWorkload(
  service: string,
  callerKey: string | undefined,
): Workload {
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

/**
 * Runs the main features on embedded stand-ins: roll-outs, requests of each kind, a rack drain, a
 * wave, a job and a daemon restart, all under load.
 */
export class Demo {
  private readonly deployment = new Deployment(new SilentLogger(), 'keisha');
  private readonly caller = new Caller();
  private readonly guaranteeChecker = new GuaranteeChecker();
  private running = true;
  private sent = 0;

  constructor(private readonly print: (line: string) => void) {}

  /** Resolves with true when no guarantee was violated. */
  async run(): Promise<boolean> {
    const started = performance.now();
    try {
      await this.startAll();
      const callers = this.startCallers();
      await this.drainRack();
      await this.startWave();
      await this.runJob();
      await this.rollOutNextVersion();
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
      await deployment.startDaemon(
        `entry-${dataCentre}-1`,
        dataCentre,
        SETTINGS,
      );
      await deployment.startDaemon(
        `entry-${dataCentre}-2`,
        dataCentre,
        SETTINGS,
      );
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
      this.guaranteeChecker.record(outcome);
      // Retries every tenth keyed request through another daemon, as callers do.
      if (request.idempotencyKey !== undefined && this.sent % 10 === 0) {
        this.guaranteeChecker.record(
          await this.caller.send(this.nextAddress(), request),
        );
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
    for (const vm of vms)
      await this.runCommand('vm', 'drain', vm, '--reason', 'rack maintenance');
    await sleep(deployment.clock, PHASE_MILLISECONDS);
    const before = this.runsOf(vms);
    await sleep(deployment.clock, PHASE_MILLISECONDS);
    this.print(
      `drain: rack ${DRAINED_RACK} (${vms.length} VMs) got ${this.runsOf(vms) - before} new requests in the last ${PHASE_MILLISECONDS} ms of its drain`,
    );
    for (const vm of vms) await this.runCommand('vm', 'return', vm);
    this.print(`drain: rack ${DRAINED_RACK} takes work again`);
  }

  /**
   * Starts a wave and holds it when its first VM is on trial. A wave observes each VM for a
   * minute after its reboot; the demo shows only the first.
   */
  private async startWave(): Promise<void> {
    const from = performance.now();
    await this.runCommand(
      ...['maintenance', 'start', WAVE, '--reason', 'kernel update'],
      ...['--pools', WAVE_POOL],
    );
    let rebooted: string | undefined;
    await this.deployment.waitUntil(() => {
      rebooted = this.vmOnTrial();
      return rebooted !== undefined;
    }, WAIT_TIMEOUT_MILLISECONDS);
    const seconds = ((performance.now() - from) / 1000).toFixed(1);
    await this.runCommand(
      'maintenance',
      'hold',
      WAVE,
      '--reason',
      'end of demo',
    );
    this.print(
      `wave: ${rebooted} drained, acknowledged by every daemon, rebooted and under watch after ${seconds} s; wave held`,
    );
  }

  private vmOnTrial(): string | undefined {
    const {work} = this.state();
    return [...work].find(([, {step}]) => step === PlannedWorkStep.Trial)?.[0];
  }

  private state(): FleetState {
    const [{daemon}] = this.deployment.daemons;
    return daemon.resolve<SharedState>('sharedState').state;
  }

  private async runJob(): Promise<void> {
    const {deployment} = this;
    await this.runCommand(
      ...['job', 'submit', JOB, '--pool', 'school-emblems'],
      ...['--team', 'cooperatives', '--processors', '4', '--memory', '8'],
    );
    await deployment.waitUntil(
      () => this.isJobDone(),
      WAIT_TIMEOUT_MILLISECONDS,
    );
    this.print(`job: ${JOB} ran on a VM of school-emblems under a lease`);
  }

  private isJobDone(): boolean {
    return this.state().jobs.get(JOB)?.state === JobState.Finished;
  }

  /** Runs a command of the command line; throws an error with its diagnostics if it fails. */
  private async runCommand(...words: string[]): Promise<void> {
    const [{adminAddress}] = this.deployment.daemons;
    const diagnostics: string[] = [];
    const context = {
      ...processContext(),
      print: () => undefined,
      printDiagnostic: (line: string) => diagnostics.push(line),
    };
    const common = ['--admin', adminAddress, '--key', ADMIN_KEY];
    const code = await runProgram(
      ['node', 'gentiandoor', ...words, ...common],
      context,
    );
    if (code !== ExitCode.Done)
      throw new Error(`${words.join(' ')}: ${diagnostics.join(' ')}`);
  }

  private runsOf(vms: readonly string[]): number {
    return vms.reduce(
      (sum, id) =>
        sum + (this.deployment.targets.get(id)?.executedRequests.length ?? 0),
      0,
    );
  }

  private async rollOutNextVersion(): Promise<void> {
    const text = kingstonBundle(this.deployment.operator.publicKey);
    await this.rollOut(
      nextVersion(text, 'service.counter-preview', 'queue_limit', '96'),
    );
  }

  private async restartDaemon(): Promise<void> {
    const {daemons} = this.deployment;
    const [leaving] = daemons.splice(0, 1);
    await leaving.daemon.drainAndStop();
    await this.deployment.startDaemon(leaving.name, 'hall-a', SETTINGS);
    await sleep(this.deployment.clock, PHASE_MILLISECONDS);
    this.print(`restart: ${leaving.name} stopped gracefully and came back`);
  }

  private report(seconds: string): boolean {
    const {outcomes} = this.guaranteeChecker;
    this.print(`callers: ${outcomes.length} requests in ${seconds} s`);
    for (const [line, count] of this.guaranteeChecker.summary())
      this.print(`  ${count} x ${line}`);
    const violations = this.guaranteeChecker.violations(
      this.deployment.targets.values(),
    );
    const total = Object.values(violations).reduce(
      (sum, count) => sum + count,
      0,
    );
    for (const [name, count] of Object.entries(violations))
      this.print(`promise ${name}: ${count}`);
    const answered = outcomes.some(outcome => outcome.isComplete);
    this.print(
      total === 0 && answered ? 'every promise held' : 'A PROMISE WAS BROKEN',
    );
    return total === 0 && answered;
  }
}
