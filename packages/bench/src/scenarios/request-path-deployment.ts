import {SeededRandom, sleep} from '@gentiandoor/kernel';
import {SilentDropProxy} from '@gentiandoor/stand-ins';
import {Deployment, type DaemonSettingsOverrides} from '../deployment.js';
import {Balancer} from '../load/balancer.js';
import {SteadyLoad} from '../load/steady-load.js';
import {oneRackBundle} from '../one-rack-bundle.js';
import type {
  GuaranteeViolations,
  GuaranteeChecker,
} from '../guarantee-checker.js';
import type {ScenarioCheck, ScenarioRow} from '../scenario.js';

/** The only service of these scenarios. */
export const DESK = 'desk';
const DATA_CENTRE = 'hall-a';
const RACK = 'hall-a-r1';
const TARGETS = 4;
const TARGET_LATENCY_MILLISECONDS = 5;

/** Parameters of a scenario on the request path. */
export interface PathPlan {
  readonly seed: number;
  readonly daemons: number;
  readonly callers: number;
  readonly pauseMilliseconds: number;
  readonly deadlineMilliseconds: number;
  /** One-way delay between callers and daemons; 0 when undefined. */
  readonly callerDelayMilliseconds?: number;
  readonly daemonPlan: DaemonSettingsOverrides;
}

/** Daemons, targets, a balancer and a steady load in one process. */
export class PathUnderLoad {
  readonly deployment = new Deployment();
  readonly load: SteadyLoad;
  private readonly balancer: Balancer;
  private readonly tasks: Array<Promise<void>> = [];
  /** Delaying proxies by the daemon's address. */
  private readonly proxies = new Map<string, SilentDropProxy>();
  private started = 0;

  constructor(private readonly plan: PathPlan) {
    const {clock} = this.deployment;
    const random = new SeededRandom(plan.seed);
    this.balancer = new Balancer(clock, random, () => this.deployment.daemons);
    this.load = new SteadyLoad(clock, random, {
      service: DESK,
      callers: plan.callers,
      pauseMilliseconds: plan.pauseMilliseconds,
      pick: () => this.pick(),
    });
  }

  /** Starts everything except the load. */
  async start(): Promise<void> {
    const {deployment, plan} = this;
    await deployment.startPlatform();
    await deployment.startRack({
      name: RACK,
      dataCentre: DATA_CENTRE,
      vms: Array.from({length: TARGETS}, (_, index) => `${RACK}-${index + 1}`),
    });
    for (const target of deployment.targets.values())
      target.latencyMilliseconds = TARGET_LATENCY_MILLISECONDS;
    for (let index = 0; index < plan.daemons; index++) await this.startDaemon();
    await deployment.rollOut(this.bundleText());
    this.tasks.push(this.balancer.run());
  }

  startLoad(): void {
    this.tasks.push(this.load.run());
  }

  /** Starts another daemon; after the roll-out, resolves when it has the bundle. */
  async startDaemon(): Promise<void> {
    const name = `entry-${++this.started}`;
    const {callerDelayMilliseconds, daemonPlan} = this.plan;
    const {callerAddress} = await this.deployment.startDaemon(
      name,
      DATA_CENTRE,
      daemonPlan,
    );
    if (callerDelayMilliseconds === undefined) return;
    const proxy = new SilentDropProxy(callerAddress, callerDelayMilliseconds);
    await proxy.start();
    this.proxies.set(callerAddress, proxy);
  }

  /** Ends the load and waits for the last responses. */
  async stopLoad(): Promise<void> {
    this.load.stop();
    this.balancer.stop();
    await Promise.all(this.tasks);
  }

  async stop(): Promise<void> {
    await this.deployment.stop();
    for (const proxy of this.proxies.values()) await proxy.stop();
  }

  pause(milliseconds: number): Promise<void> {
    return sleep(this.deployment.clock, milliseconds);
  }

  private pick(): string | undefined {
    const address = this.balancer.pick();
    if (address === undefined) return undefined;
    return this.proxies.get(address)?.address ?? address;
  }

  private bundleText(): string {
    const bundle = oneRackBundle({
      publicKey: this.deployment.operator.publicKey,
      service: DESK,
      vms: `${RACK}-[1-${TARGETS}]`,
    });
    return `${bundle}deadline_milliseconds = ${this.plan.deadlineMilliseconds}
`;
  }
}

/** Returns rows that count requests by outcome. */
export function rowsOfLedger(
  guaranteeChecker: GuaranteeChecker,
): ScenarioRow[] {
  return [...guaranteeChecker.summary()].map(([label, requests]) => ({
    label,
    values: {requests},
  }));
}

/** Returns a check for each guarantee: its violation count must be 0. */
export function guaranteeChecks(
  violations: GuaranteeViolations,
): ScenarioCheck[] {
  return Object.entries(violations).map(([name, count]) => ({
    name: `${name} is 0`,
    passed: count === 0,
    detail: String(count),
  }));
}
