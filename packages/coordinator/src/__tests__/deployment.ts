import {
  JobTable,
  PLAIN_STEP,
  RunEnd,
  type JobSubmission,
  type StepSpecification,
} from '@gentiandoor/jobs';
import {
  MemoryMetrics,
  SeededRandom,
  VirtualClock,
  type LogEvent,
  type LogFields,
  type Logger,
} from '@gentiandoor/kernel';
import {FeasibilityAdmission} from '@gentiandoor/admission';
import type {Caller, Organisation} from '@gentiandoor/organisations';
import {
  Coordinator,
  JobAdmission,
  JobIntake,
  JobStreams,
  LogStream,
  OperatorView,
  PressureFollower,
  SubmissionLog,
  CoordinatorElection,
  VmState,
  type CoordinatorParts,
  type JobAnswer,
  type ListedVm,
  type OperatorRecord,
  type Queue,
  type RecordFormats,
  type WorkerEntry,
} from '../index.js';
import {
  MemoryStore,
  SimulatedFleet,
  SimulatedLink,
  SimulatedWorker,
  SimulatedWorkers,
  simulatedSettings,
  type StartedRun,
  type StoreConnection,
  type TaskBehaviour,
  type WorkerConnection,
} from '../stand-ins/index.js';

/** Record formats of the tests: plain JSON. */
export class PlainFormats implements RecordFormats {
  operatorRecord(record: {value: Buffer | undefined}): OperatorRecord {
    return JSON.parse(String(record.value)) as OperatorRecord;
  }

  workerEntry(record: {value: Buffer | undefined}): WorkerEntry {
    return JSON.parse(String(record.value)) as WorkerEntry;
  }

  waveReport(
    wave: number,
    state: string,
  ): {key: string; value: Buffer | undefined} {
    return {key: `wave/${wave}`, value: Buffer.from(state)};
  }
}

export const SERVICE = 'previews';
export const QUEUE = 'quick-previews';
export const OTHER_SERVICE = 'reviews';
export const OTHER_QUEUE = 'long-reviews';
export const STANDBY = 'spare';
export const LASTING_JOB = 'lasting';
/** A caller of the public queue. */
export const ANY_CALLER: Caller = {
  organisation: undefined,
  queue: QUEUE,
  isPublicQueue: true,
};
const LASTING_JOB_BOUND_MILLISECONDS = 3_000;
const CAPACITY = {
  processorMillicores: 8_000,
  memoryMegabytes: 64_000,
  accelerators: 0,
};
const TASK_RESOURCES = {
  processorMillicores: 1_000,
  memoryMegabytes: 100,
  accelerators: 0,
};

/** Counts the log lines of each event, and keeps the fields of the last one. */
export class EventCounts implements Logger {
  private readonly counts = new Map<LogEvent, number>();
  readonly lastFields = new Map<LogEvent, LogFields>();
  /** Called with each event, so that a test can bring a failure about at that moment. */
  onEvent: (event: LogEvent) => void = () => {};

  of(event: LogEvent): number {
    return this.counts.get(event) ?? 0;
  }

  debug(event: LogEvent, fields: LogFields = {}): void {
    this.counts.set(event, this.of(event) + 1);
    this.lastFields.set(event, fields);
    this.onEvent(event);
  }

  info(event: LogEvent, fields?: LogFields): void {
    this.debug(event, fields);
  }

  warn(event: LogEvent, fields?: LogFields): void {
    this.debug(event, fields);
  }

  error(event: LogEvent, fields?: LogFields): void {
    this.debug(event, fields);
  }
}

/** One daemon of a test, with its own connections, job table, intake and term. */
export class TestDaemon {
  readonly events = new EventCounts();
  readonly metrics = new MemoryMetrics();
  readonly store: StoreConnection;
  readonly workers: WorkerConnection;
  readonly table = new JobTable();
  readonly jobs: JobStreams;
  readonly jobIntake: JobIntake;
  readonly operators: OperatorView;
  readonly election: CoordinatorElection;
  readonly parts: CoordinatorParts;
  /** Undefined in a deployment without admission control. */
  readonly pressure: PressureFollower | undefined;
  coordinator: Coordinator | undefined;

  constructor(
    deployment: TestDeployment,
    node: string,
    incarnation = '1',
    link = new SimulatedLink(deployment.clock),
  ) {
    const {clock} = deployment;
    const logger = this.events;
    const {metrics} = this;
    const admission = new FeasibilityAdmission(clock);
    this.store = deployment.store.connect(link);
    this.workers = deployment.workers.connect(link);
    this.jobs = new JobStreams(this.store, this.table, clock, logger);
    const submissions = new SubmissionLog(this.store, clock);
    this.operators = new OperatorView(
      this.store,
      new PlainFormats(),
      clock,
      logger,
    );
    this.jobIntake = new JobIntake(
      this.table,
      this.jobs,
      submissions,
      this.operators.organisations,
      clock,
      logger,
      metrics,
      deployment.isAdmissionControlled
        ? new JobAdmission(admission, this.operators, metrics)
        : undefined,
    );
    const settings = simulatedSettings(node);
    const admissionControl = deployment.isAdmissionControlled;
    this.parts = {
      settings: {
        ...settings,
        features: {
          admissionControl,
          preemption: deployment.hasPreemption,
        },
      },
      log: this.store,
      formats: new PlainFormats(),
      workers: this.workers,
      vmGateway: deployment.fleet,
      operators: this.operators,
      table: this.table,
      jobs: this.jobs,
      submissions,
      clock,
      logger,
      metrics,
    };
    if (admissionControl)
      this.pressure = new PressureFollower(this.parts, admission);
    this.election = new CoordinatorElection(
      this.store,
      {
        node,
        incarnation: `${node}/${incarnation}`,
        strength: 1,
        isFirstStart: false,
      },
      clock,
      new SeededRandom(7),
      logger,
      {
        onTermStarted: term => this.begin(term),
        onTermEnded: () => this.end(),
      },
    );
  }

  start(): void {
    this.startIntakeOnly();
    this.election.start();
  }

  /** Starts the daemon so that it accepts jobs and never becomes the coordinator. */
  startIntakeOnly(): void {
    this.operators.start();
    this.pressure?.start();
  }

  /** Ends the process abruptly, together with all its state. */
  kill(): void {
    this.operators.stop();
    this.pressure?.stop();
    this.end();
    // A killed process writes nothing more, and its term is not released.
    this.store.kill();
  }

  private begin(term: number): void {
    this.coordinator?.close();
    this.coordinator = new Coordinator(term, this.parts, this.election);
    void this.coordinator.run();
  }

  private end(): void {
    this.coordinator?.close();
    this.coordinator = undefined;
  }
}

/** A deployment of simulated components on a virtual clock. */
export class TestDeployment {
  readonly clock = new VirtualClock();
  readonly store = new MemoryStore(this.clock);
  readonly workers = new SimulatedWorkers(this.clock);
  readonly fleet = new SimulatedFleet(this.clock);
  /** Behaviour by job, or by task if one task behaves differently. */
  readonly behaviours = new Map<string, TaskBehaviour>();
  /** Behaviour by worker, which overrides that of all tasks on the worker. */
  readonly workerBehaviours = new Map<string, Partial<TaskBehaviour>>();
  /** Must be set before the daemons are started. */
  isAdmissionControlled = false;
  /** Must be set before the workers are added. */
  workersEnforceCapacity = true;
  /** Whether daemons that are created from now on stop runs for more urgent work. */
  hasPreemption = false;
  /** Priority by queue; 0 for all others. */
  readonly priorities = new Map<string, number>();
  /** Undefined for a deployment without organisations. */
  organisations: readonly Organisation[] | undefined;
  private incarnations = 0;

  constructor(
    workerCount: number,
    /** Whether workers report when they started and restart under the same id. */
    private readonly reportsStartTimes = false,
  ) {
    this.publishConfiguration(1);
    for (let index = 0; index < workerCount; index++)
      this.addWorker(`worker-${index}`, SERVICE);
  }

  /**
   * Creates a link so slow that a burst of a queue saturates it; undefined bandwidth is
   * unlimited.
   */
  link(bytesPerMillisecond?: number): SimulatedLink {
    return new SimulatedLink(this.clock, bytesPerMillisecond);
  }

  /** Starts a daemon and lets it take the term. */
  async startDaemon(
    node: string,
    link: SimulatedLink = this.link(),
  ): Promise<TestDaemon> {
    const daemon = new TestDaemon(this, node, '1', link);
    daemon.start();
    await this.run(200);
    return daemon;
  }

  /**
   * Publishes a configuration; `services` maps queues to the services that have a pool
   * and a queue of their own.
   */
  publishConfiguration(
    version: number,
    services: ReadonlyMap<string, string> = new Map([[QUEUE, SERVICE]]),
  ): void {
    const pools = [...new Set(services.values()), STANDBY];
    const record: OperatorRecord = {
      kind: 'configuration',
      configuration: {
        version,
        maximumBodyBytes: 100_000,
        organisations: this.organisations && {
          organisations: this.organisations,
          rejected: [],
        },
        queues: [...services].map(([queue, service]) =>
          queueOf(queue, service, this.priorities.get(queue)),
        ),
        services: pools.map(name => ({
          name,
          standby: name === STANDBY,
          enforcesCapacity: this.workersEnforceCapacity,
          healthPath: '',
        })),
      },
    };
    this.writeOperatorRecord('config', record);
  }

  writeOperatorRecord(key: string, record: OperatorRecord): void {
    this.store.write(LogStream.Operator, {
      key,
      value: Buffer.from(JSON.stringify(record)),
    });
  }

  /** Adds a worker with an entry, by default on a VM of the same name in its pool. */
  addWorker(name: string, service: string, onVm = name): SimulatedWorker {
    const worker = this.startWorker(name, service);
    this.writeEntry(worker);
    this.fleet.add({
      name: onVm,
      pool: service,
      state: VmState.Up,
      dataCentre: 'one',
      labels: ['rack-1'],
      capacity: CAPACITY,
      workerId: name,
    });
    return worker;
  }

  /**
   * Changes the worker's capacity while it runs; its entry follows
   * `entryDelayMilliseconds` later.
   */
  changeCapacity(
    id: string,
    processorMillicores: number,
    entryDelayMilliseconds = 0,
  ): void {
    const worker = this.worker(id);
    if (!worker) throw new Error(`worker "${id}" does not exist`);
    worker.capacity = {...worker.capacity, processorMillicores};
    this.clock.schedule(entryDelayMilliseconds, () => this.writeEntry(worker));
  }

  writeEntry(worker: SimulatedWorker): void {
    this.store.write(LogStream.Workers, {
      key: worker.id,
      value: Buffer.from(JSON.stringify(worker.entry())),
    });
  }

  /**
   * Makes each VM order end the incarnation of the worker on the VM and begin a new one.
   */
  linkFleet(): void {
    this.fleet.onOrder = order => {
      const before = this.fleet.vms.get(order.vm);
      this.worker(before?.workerId ?? '')?.crash();
      const id = `${order.vm}/${++this.incarnations}`;
      const pool = order.kind === 'move' ? order.to : (before?.pool ?? '');
      const takes = order.kind === 'move' ? 1_500 : 2_000;
      this.clock.schedule(takes, () => {
        const worker = this.startWorker(id, pool);
        this.writeEntry(worker);
      });
      return id;
    };
  }

  /** Ends the worker's incarnation without notice; a new one begins on its VM. */
  crashWorker(id: string): void {
    if (this.reportsStartTimes) {
      this.restartWorker(id);
      return;
    }
    const vm = this.vmOf(id);
    this.worker(id)?.crash();
    if (!vm) return;
    const next = `${vm.name}/${++this.incarnations}`;
    this.fleet.vms.set(vm.name, {...vm, workerId: next});
    this.clock.schedule(1_000, () => {
      const worker = this.startWorker(next, vm.pool);
      this.writeEntry(worker);
    });
  }

  /**
   * Ends the worker's incarnation without notice; a new one begins under the same id
   * after `downMilliseconds` and publishes its entry `entryDelayMilliseconds` later.
   */
  restartWorker(
    id: string,
    downMilliseconds = 1_000,
    entryDelayMilliseconds = 0,
  ): void {
    const vm = this.vmOf(id);
    this.worker(id)?.crash();
    if (!vm) return;
    this.clock.schedule(downMilliseconds, () => {
      // The VM may have been moved or the worker restarted in the meantime.
      if (this.vmOf(id) !== vm || this.worker(id)?.isDead === false) return;
      const worker = this.startWorker(id, vm.pool, -this.now());
      this.clock.schedule(entryDelayMilliseconds, () => {
        if (this.worker(id) === worker) this.writeEntry(worker);
      });
    });
  }

  /** Returns the incarnation of a worker that began a run. */
  incarnationOf(run: StartedRun): SimulatedWorker | undefined {
    return this.workers.incarnations.find(worker =>
      worker.startedRuns.includes(run),
    );
  }

  /** Returns the current incarnation of a worker. */
  worker(id: string): SimulatedWorker | undefined {
    return this.workers.byAddress.get(id);
  }

  async run(milliseconds: number): Promise<void> {
    await this.clock.advanceAsync(milliseconds);
  }

  /** Submits a job named `lasting` with a long-running step, and lets its tasks start. */
  async startLongRunningJob(
    daemon: TestDaemon,
    overrides: Partial<StepSpecification> = {},
  ): Promise<void> {
    this.behaviours.set(
      LASTING_JOB,
      behaviour({durationMilliseconds: undefined}),
    );
    const submission = job(LASTING_JOB, [
      step({longRunning: true, ...overrides}),
    ]);
    const submitted = daemon.jobIntake.submit(
      submission,
      LASTING_JOB_BOUND_MILLISECONDS,
    );
    await this.run(1_000);
    await submitted;
  }

  /** Returns a daemon's answer about the state of a job. */
  async answerOf(daemon: TestDaemon, jobId: string): Promise<JobAnswer> {
    const answer = daemon.jobIntake.state(jobId, ANY_CALLER);
    await this.run(50);
    return answer;
  }

  /** Returns every run that any worker began, in order. */
  startedRuns(): StartedRun[] {
    return this.workers.incarnations
      .flatMap(worker => worker.startedRuns)
      .sort((left, right) => left.startedAt - right.startedAt);
  }

  private vmOf(id: string): ListedVm | undefined {
    return [...this.fleet.vms.values()].find(vm => vm.workerId === id);
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }

  private startWorker(
    id: string,
    service: string,
    clockOffset?: number,
  ): SimulatedWorker {
    const worker = new SimulatedWorker(
      id,
      service,
      CAPACITY,
      this.clock,
      (task, on) => this.behaviourOf(task, on),
      clockOffset,
      this.reportsStartTimes
        ? Math.floor(this.clock.wallMilliseconds())
        : undefined,
    );
    worker.enforcesCapacity = this.workersEnforceCapacity;
    worker.onTaskCrash = () => this.crashWorker(id);
    return this.workers.add(worker);
  }

  private behaviourOf(task: string, worker: string): TaskBehaviour {
    const job = task.split('.')[0];
    return {
      durationMilliseconds: 500,
      end: RunEnd.Done,
      resources: TASK_RESOURCES,
      ...(this.behaviours.get(task) ?? this.behaviours.get(job)),
      ...this.workerBehaviours.get(worker),
    };
  }
}

function queueOf(name: string, service: string, priority = 0): Queue {
  return {
    name,
    host: 'previews.example',
    pathPrefix: `/${name}/`,
    service,
    priority,
    maximumAttempts: 3,
    stretch: 2,
    latencyMilliseconds: 500,
    timeoutMilliseconds: 3_000,
    adviceValidMilliseconds: 0,
    isPublic: true,
  };
}

/** Returns a plain step with the given overrides. */
export function step(
  overrides: Partial<StepSpecification> = {},
): StepSpecification {
  return {...PLAIN_STEP, ...overrides};
}

/** Returns a job with the given steps. */
export function job(
  id: string,
  steps: readonly StepSpecification[] = [step()],
): JobSubmission {
  return {
    id,
    queue: QUEUE,
    service: SERVICE,
    payload: 'text',
    steps,
    submittedAtMilliseconds: 1_700_000_000_000,
  };
}

/** Returns a plain task behaviour with the given overrides. */
export function behaviour(
  overrides: Partial<TaskBehaviour> = {},
): TaskBehaviour {
  return {
    durationMilliseconds: 500,
    end: RunEnd.Done,
    resources: TASK_RESOURCES,
    ...overrides,
  };
}
