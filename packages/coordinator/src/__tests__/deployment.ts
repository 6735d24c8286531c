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
  type Logger,
} from '@gentiandoor/kernel';
import type {Caller, Organisation} from '@gentiandoor/organisations';
import {
  Coordinator,
  JobIntake,
  JobStreams,
  LogStream,
  OperatorView,
  SubmissionLog,
  CoordinatorElection,
  VmState,
  type CoordinatorParts,
  type JobAnswer,
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

/** Records of others in the tests' own format. */
class PlainFormats implements RecordFormats {
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
const ROOM = {
  processorMillicores: 8_000,
  memoryMegabytes: 64_000,
  accelerators: 0,
};
const TASK_ROOM = {
  processorMillicores: 1_000,
  memoryMegabytes: 100,
  accelerators: 0,
};

/** Counts the log lines of each event. */
export class EventCounts implements Logger {
  private readonly counts = new Map<LogEvent, number>();

  of(event: LogEvent): number {
    return this.counts.get(event) ?? 0;
  }

  debug(event: LogEvent): void {
    this.counts.set(event, this.of(event) + 1);
  }

  info(event: LogEvent): void {
    this.debug(event);
  }

  warn(event: LogEvent): void {
    this.debug(event);
  }

  error(event: LogEvent): void {
    this.debug(event);
  }
}

/** One daemon of a test: its own connections, table, desk and term. */
export class TestDaemon {
  readonly events = new EventCounts();
  readonly store: StoreConnection;
  readonly workers: WorkerConnection;
  readonly table = new JobTable();
  readonly jobs: JobStreams;
  readonly desk: JobIntake;
  readonly operators: OperatorView;
  readonly keeper: CoordinatorElection;
  readonly parts: CoordinatorParts;
  coordinator: Coordinator | undefined;

  constructor(
    deployment: TestDeployment,
    node: string,
    life = '1',
    link = new SimulatedLink(deployment.clock),
  ) {
    const {clock} = deployment;
    const logger = this.events;
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
    this.desk = new JobIntake(
      this.table,
      this.jobs,
      submissions,
      this.operators.organisations,
      clock,
      logger,
      new MemoryMetrics(),
    );
    this.parts = {
      settings: simulatedSettings(node),
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
      metrics: new MemoryMetrics(),
    };
    this.keeper = new CoordinatorElection(
      this.store,
      {
        node,
        incarnation: `${node}/${life}`,
        strength: 1,
        isFirstStart: false,
      },
      clock,
      new SeededRandom(7),
      logger,
      {
        termBegan: term => this.begin(term),
        termEnded: () => this.end(),
      },
    );
  }

  start(): void {
    this.operators.start();
    this.keeper.start();
  }

  /** Takes jobs in and never becomes the coordinator. */
  startIntakeOnly(): void {
    this.operators.start();
  }

  /** The process is gone at once, with everything in it. */
  kill(): void {
    this.operators.stop();
    this.end();
    // A killed process writes nothing more; the keeper's promise is left behind.
    this.store.kill();
  }

  private begin(term: number): void {
    this.coordinator?.close();
    this.coordinator = new Coordinator(
      term,
      this.parts,
      () => this.keeper.isValid,
    );
    void this.coordinator.run();
  }

  private end(): void {
    this.coordinator?.close();
    this.coordinator = undefined;
  }
}

/** A deployment of stand-ins on a virtual clock. */
export class TestDeployment {
  readonly clock = new VirtualClock();
  readonly store = new MemoryStore(this.clock);
  readonly workers = new SimulatedWorkers(this.clock);
  readonly fleet = new SimulatedFleet(this.clock);
  /** By job, or by task where one task behaves otherwise. */
  readonly behaviours = new Map<string, TaskBehaviour>();
  /** What a worker does to all that runs on it. */
  readonly workerBehaviours = new Map<string, Partial<TaskBehaviour>>();
  /** Set before the workers are added. */
  workersEnforceCapacity = true;
  /** Undefined for a deployment that knows none. */
  organisations: readonly Organisation[] | undefined;
  private incarnations = 0;

  constructor(workerCount: number) {
    this.publishConfiguration(1);
    for (let index = 0; index < workerCount; index++)
      this.addWorker(`worker-${index}`, SERVICE);
  }

  /** A link so narrow that a turn of a queue fills it; undefined bandwidth for one that is never full. */
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

  /** `services`: those with a pool and a queue of their own. */
  publishConfiguration(
    version: number,
    services: ReadonlyMap<string, string> = new Map([[QUEUE, SERVICE]]),
  ): void {
    const pools = [...services.values(), STANDBY];
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
          queueOf(queue, service),
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

  /** A worker with an entry, on a VM of the same name in its pool. */
  addWorker(name: string, service: string, onVm = name): SimulatedWorker {
    const worker = this.beginWorker(name, service);
    this.writeEntry(worker);
    this.fleet.add({
      name: onVm,
      pool: service,
      state: VmState.Up,
      dataCentre: 'one',
      labels: ['rack-1'],
      capacity: ROOM,
      workerId: name,
    });
    return worker;
  }

  /** The worker's room changes while it runs; its entry says so `beatMilliseconds` later. */
  changeRoom(
    id: string,
    processorMillicores: number,
    beatMilliseconds = 0,
  ): void {
    const worker = this.worker(id);
    if (!worker) throw new Error(`no worker ${id}`);
    worker.capacity = {...worker.capacity, processorMillicores};
    this.clock.schedule(beatMilliseconds, () => this.writeEntry(worker));
  }

  writeEntry(worker: SimulatedWorker): void {
    this.store.write(LogStream.Workers, {
      key: worker.id,
      value: Buffer.from(JSON.stringify(worker.entry())),
    });
  }

  /** The VM order ends the incarnation of the worker on it, and a new one begins. */
  linkFleet(): void {
    this.fleet.onOrder = order => {
      const before = this.fleet.vms.get(order.vm);
      this.worker(before?.workerId ?? '')?.crash();
      const id = `${order.vm}/${++this.incarnations}`;
      const pool = order.kind === 'move' ? order.to : (before?.pool ?? '');
      const takes = order.kind === 'move' ? 1_500 : 2_000;
      this.clock.schedule(takes, () => {
        const worker = this.beginWorker(id, pool);
        this.writeEntry(worker);
      });
      return id;
    };
  }

  /** The worker's incarnation ends without a word; a new one begins on its VM. */
  crashWorker(id: string): void {
    const vm = [...this.fleet.vms.values()].find(item => item.workerId === id);
    this.worker(id)?.crash();
    if (!vm) return;
    const next = `${vm.name}/${++this.incarnations}`;
    this.fleet.vms.set(vm.name, {...vm, workerId: next});
    this.clock.schedule(1_000, () => {
      const worker = this.beginWorker(next, vm.pool);
      this.writeEntry(worker);
    });
  }

  worker(id: string): SimulatedWorker | undefined {
    return this.workers.byAddress.get(id);
  }

  async run(milliseconds: number): Promise<void> {
    await this.clock.advanceAsync(milliseconds);
  }

  /** Hands in a job named `lasting` with a long-running step, and lets its tasks start. */
  async startLastingJob(
    daemon: TestDaemon,
    differences: Partial<StepSpecification> = {},
  ): Promise<void> {
    this.behaviours.set(
      LASTING_JOB,
      behaviour({durationMilliseconds: undefined}),
    );
    const asked = job(LASTING_JOB, [step({longRunning: true, ...differences})]);
    const submitted = daemon.desk.submit(asked, LASTING_JOB_BOUND_MILLISECONDS);
    await this.run(1_000);
    await submitted;
  }

  /** What a daemon says of a job. */
  async answerOf(daemon: TestDaemon, jobId: string): Promise<JobAnswer> {
    const answer = daemon.desk.state(jobId, ANY_CALLER);
    await this.run(50);
    return answer;
  }

  /** Every run that any worker began, in order. */
  begunRuns(): StartedRun[] {
    return [...this.workers.byAddress.values()]
      .flatMap(worker => worker.startedRuns)
      .sort((left, right) => left.startedAt - right.startedAt);
  }

  private beginWorker(id: string, service: string): SimulatedWorker {
    const worker = new SimulatedWorker(
      id,
      service,
      ROOM,
      this.clock,
      (task, on) => this.behaviourOf(task, on),
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
      resources: TASK_ROOM,
      ...(this.behaviours.get(task) ?? this.behaviours.get(job)),
      ...this.workerBehaviours.get(worker),
    };
  }
}

function queueOf(name: string, service: string): Queue {
  return {
    name,
    host: 'previews.example',
    pathPrefix: `/${name}/`,
    service,
    priority: 0,
    maximumAttempts: 3,
    stretch: 2,
    latencyMilliseconds: 500,
    timeoutMilliseconds: 3_000,
    adviceValidMilliseconds: 0,
    isPublic: true,
  };
}

/** A step with the given differences from a plain one. */
export function step(
  differences: Partial<StepSpecification> = {},
): StepSpecification {
  return {...PLAIN_STEP, ...differences};
}

/** A job of the given steps. */
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

/** Behaviour of the tasks of a job. */
export function behaviour(
  differences: Partial<TaskBehaviour> = {},
): TaskBehaviour {
  return {
    durationMilliseconds: 500,
    end: RunEnd.Done,
    resources: TASK_ROOM,
    ...differences,
  };
}
