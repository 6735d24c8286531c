import {LogStream} from '@gentiandoor/coordinator';
import {StoreFault} from '@gentiandoor/coordinator/stand-ins';
import type {SeededRandom} from '@gentiandoor/kernel';
import {
  WorkerServerFault,
  type StandInPlatform,
} from '@gentiandoor/platform/stand-ins';
import type {DaemonProcess} from './daemon-process.js';
import {OddElements} from './odd-elements.js';
import {ProxyMode, type FaultProxy} from './fault-proxy.js';
import {pause} from './soak-callers.js';

/** What faults are injected into. */
export interface SoakTargets {
  readonly platform: StandInPlatform;
  readonly daemons: readonly DaemonProcess[];
  /** Ways of the daemons to the store, in the same order. */
  readonly proxies: readonly FaultProxy[];
  /** Workers on which every task fails. */
  readonly failingWorkers: Set<string>;
  readonly random: SeededRandom;
}

const BASIC_FAULTS = 9;
const FLEET_FAULTS = 8;
const MAXIMUM_FREEZE_MILLISECONDS = 4_000;
const MINIMUM_FREEZE_MILLISECONDS = 500;
const LATE_ROUNDS_EVERY = 3;
const LATE_MILLISECONDS = 800;
const ROLL_GAP_MILLISECONDS = 1_300;
/** Share of the workers that a fault of workers hits, as one in this many. */
const WORKERS_PER_FAULT = 6;
const WORKER_FAULT_MILLISECONDS = 4_500;
const VMS_PER_WAVE_VM = 2;

/** Injects random faults, and heals them. */
export class SoakFaults {
  /** What was injected, in order. */
  readonly log: string[] = [];
  /** Daemons that are being restarted, and faults that end by themselves. */
  readonly pending: Array<Promise<void>> = [];
  private version = 1;
  private wave = 0;

  constructor(
    private readonly targets: SoakTargets,
    private readonly hasFleetFaults: boolean,
    /** Undefined if all elements can be read and served. */
    private readonly oddElements?: OddElements,
  ) {}

  inject(round: number): void {
    const {daemons, random} = this.targets;
    const index = random.nextInteger(daemons.length);
    if (this.oddElements) {
      const what = this.oddElements.inject(daemons[index].callers);
      this.log.push(`${round}: ${what}`);
    }
    const count = BASIC_FAULTS + (this.hasFleetFaults ? FLEET_FAULTS : 0);
    const kind = random.nextInteger(count);
    const what =
      kind < BASIC_FAULTS
        ? this.injectBasic(kind, index)
        : this.injectIntoFleet(kind - BASIC_FAULTS);
    this.log.push(`${round}: ${what}`);
  }

  /** Lets the store carry submissions and cancellations out late, without an answer, in some rounds. */
  delaySubmissions(round: number): void {
    if (round % LATE_ROUNDS_EVERY !== 0) return;
    const {storeConnection} = this.targets.platform;
    storeConnection.setFault(StoreFault.DoneLate, LogStream.Submissions);
    setTimeout(() => storeConnection.setFault(undefined), LATE_MILLISECONDS);
    this.log.push(`${round}: submissions stored late`);
  }

  heal(): void {
    const {platform, proxies, daemons, failingWorkers} = this.targets;
    platform.storeConnection.setFault(undefined);
    failingWorkers.clear();
    for (const {id} of platform.liveWorkers())
      platform.setWorkerFault(id, undefined);
    for (const proxy of proxies) proxy.setMode(ProxyMode.Pass);
    for (const daemon of daemons) {
      daemon.signal('SIGCONT');
      daemon.start();
    }
  }

  private injectBasic(kind: number, index: number): string {
    const {daemons, proxies, platform, random} = this.targets;
    const daemon = daemons[index];
    switch (kind) {
      case 0:
        this.restart(daemon, 'SIGKILL');
        return `${daemon.node} killed and started`;
      case 1:
        this.restart(daemon, 'SIGTERM');
        return `${daemon.node} stopped gracefully and started`;
      case 2:
        daemon.signal('SIGSTOP');
        setTimeout(
          () => daemon.signal('SIGCONT'),
          MINIMUM_FREEZE_MILLISECONDS +
            random.nextInteger(MAXIMUM_FREEZE_MILLISECONDS),
        );
        return `${daemon.node} paused`;
      case 3:
      case 4: {
        const mode = this.pick(Object.values(ProxyMode));
        proxies[index].setMode(mode);
        return `${daemon.node} to the store: ${mode}`;
      }
      case 5: {
        const fault = this.pick([undefined, ...Object.values(StoreFault)]);
        platform.storeConnection.setFault(fault);
        return `store: ${fault ?? 'well'}`;
      }
      case 6: {
        const worker = this.pick(platform.liveWorkers());
        platform.crash(worker.id);
        return `${worker.id} crashes`;
      }
      case 7:
        daemon.signal('SIGHUP');
        return `${daemon.node} told to read its settings`;
      default:
        this.heal();
        return 'all well';
    }
  }

  private injectIntoFleet(kind: number): string {
    const {daemons, platform, random} = this.targets;
    switch (kind) {
      case 0: {
        const fault = this.pick(Object.values(WorkerServerFault));
        for (const id of this.someWorkers()) {
          platform.setWorkerFault(id, fault);
          setTimeout(
            () => platform.setWorkerFault(id, undefined),
            WORKER_FAULT_MILLISECONDS,
          );
        }
        return `some workers: ${fault}`;
      }
      case 1:
        for (const id of this.someWorkers()) platform.crash(id);
        return 'some workers crash';
      case 2:
        return this.failSomeWorkers();
      case 3:
        return this.publishWave();
      case 4:
        platform.publishConfiguration(++this.version);
        return `configuration ${this.version}`;
      case 5:
        for (const daemon of daemons) this.restart(daemon, 'SIGKILL');
        return 'all daemons killed and started';
      case 6:
        this.pending.push(this.rollDaemons());
        return 'daemons stopped and started in turn';
      default:
        for (const stream of Object.values(LogStream))
          if (random.nextInteger(2) === 0) platform.store.forgetHistory(stream);
        return 'store forgets history';
    }
  }

  private failSomeWorkers(): string {
    const {failingWorkers} = this.targets;
    for (const id of this.someWorkers()) {
      failingWorkers.add(id);
      setTimeout(() => failingWorkers.delete(id), WORKER_FAULT_MILLISECONDS);
    }
    return 'some workers fail all tasks';
  }

  private publishWave(): string {
    const {platform} = this.targets;
    const vms = [...platform.fleet.vms.keys()];
    const due = vms.filter((_, index) => index % VMS_PER_WAVE_VM === 0);
    platform.publishWave(++this.wave, due);
    return `wave ${this.wave} over ${due.length} VMs`;
  }

  private async rollDaemons(): Promise<void> {
    for (const daemon of this.targets.daemons) {
      this.restart(daemon, 'SIGTERM');
      await pause(ROLL_GAP_MILLISECONDS);
    }
  }

  private restart(daemon: DaemonProcess, signal: 'SIGKILL' | 'SIGTERM'): void {
    this.pending.push(daemon.end(signal).then(() => daemon.start()));
  }

  private someWorkers(): string[] {
    const {platform, random} = this.targets;
    return platform
      .liveWorkers()
      .filter(() => random.nextInteger(WORKERS_PER_FAULT) === 0)
      .map(({id}) => id);
  }

  private pick<Item>(items: readonly Item[]): Item {
    return items[this.targets.random.nextInteger(items.length)];
  }
}
