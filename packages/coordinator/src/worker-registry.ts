import {
  LogEvent,
  MetricName,
  sleep,
  supervise,
  type Clock,
  type Logger,
  type Metrics,
} from '@gentiandoor/kernel';
import type {KeyedRecord} from '@gentiandoor/jobs';
import {IncarnationEnd, isCertain} from './incarnation-end.js';
import type {LiveRun} from './live-run.js';
import type {RecordFormats} from './record-formats.js';
import {LogStream, type RecordLog} from './record-log.js';
import {StreamFollower, type StreamSink} from './stream-follower.js';
import {ContainedWorkerGateway} from './contained-worker-gateway.js';
import {EntryRejection, WorkerEntries} from './worker-entries.js';
import type {WorkerEntry, WorkerGateway} from './worker-gateway.js';
import {instanceOf} from './worker-incarnation.js';
import type {SessionHost} from './session-host.js';
import type {WorkerHandle} from './worker-handle.js';
import {WorkerSession} from './worker-session.js';

/** Long-poll timeout; bounds the time until a dead connection is replaced. */
const WAIT_MILLISECONDS = 300;
/** Batches changed entries into one read. */
const READ_GAP_MILLISECONDS = 30;
const RETRY_MILLISECONDS = 150;
/**
 * Entries older than this are not relied on for the capacity of workers that do not
 * enforce it.
 */
const MAXIMUM_ENTRY_AGE_MILLISECONDS = 1_500;

/** Dependencies of a worker registry. */
export interface WorkerRegistryParts {
  readonly log: RecordLog;
  readonly formats: RecordFormats;
  readonly workers: WorkerGateway;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Host of sessions that is notified of new ones. */
export interface WorkerRegistryHost extends SessionHost {
  sessionAdded(session: WorkerSession): void;
  /** Returns whether the configuration names a service; true while there is none. */
  isServiceKnown(service: string): boolean;
}

/** Holds the sessions with all workers that the store lists. */
export class WorkerRegistry implements StreamSink {
  /** Sessions by incarnation. */
  private readonly sessions = new Map<string, WorkerSession>();
  /** Sessions by the worker's own id, which is also the key of its entry. */
  private readonly byInstance = new Map<string, WorkerSession>();
  private readonly entries: WorkerEntries;
  private readonly follower: StreamFollower;
  private readonly workers: WorkerGateway;
  private closed = false;
  private started = false;

  constructor(
    private readonly parts: WorkerRegistryParts,
    private readonly host: WorkerRegistryHost,
  ) {
    this.follower = new StreamFollower(
      parts.log,
      LogStream.Workers,
      this,
      parts.clock,
      parts.logger,
    );
    this.workers = new ContainedWorkerGateway(parts.workers, parts.logger);
    this.entries = new WorkerEntries(parts, service =>
      host.isServiceKnown(service),
    );
  }

  get size(): number {
    return this.sessions.size;
  }

  all(): Iterable<WorkerSession> {
    return this.sessions.values();
  }

  /** Returns the session with an incarnation, or with the worker of that id. */
  find(id: string): WorkerSession | undefined {
    return this.sessions.get(id) ?? this.byInstance.get(id);
  }

  /**
   * Returns the session with an incarnation, or with the one that its worker has begun
   * since.
   */
  current(id: string): WorkerSession | undefined {
    return this.find(id) ?? this.byInstance.get(instanceOf(id));
  }

  ofService(service: string): WorkerSession[] {
    return [...this.sessions.values()].filter(
      session => session.entry.service === service,
    );
  }

  /** Whether the workers' capacities in the entries can be relied on. */
  get isFresh(): boolean {
    return this.remainingFreshMilliseconds > 0;
  }

  private get remainingFreshMilliseconds(): number {
    return MAXIMUM_ENTRY_AGE_MILLISECONDS - this.follower.ageMilliseconds;
  }

  /** Reads all entries, retrying until that succeeds or the registry is closed. */
  async load(): Promise<void> {
    while (!this.closed && !(await this.follower.refresh()))
      await sleep(this.parts.clock, RETRY_MILLISECONDS);
  }

  /** Starts the sessions and follows the entries. */
  start(): void {
    this.started = true;
    for (const session of this.sessions.values()) session.start();
    void supervise({
      ...this.parts,
      name: 'worker entries',
      isStopped: () => this.closed,
      run: () => this.follow(),
    });
  }

  remove(session: WorkerHandle, end: IncarnationEnd): void {
    const {id, instance} = session.entry;
    if (this.sessions.get(id) === session) this.sessions.delete(id);
    if (this.byInstance.get(instance) === session)
      this.byInstance.delete(instance);
    if (isCertain(end)) this.entries.noteEnded(session.entry);
    if (end === IncarnationEnd.Restarted)
      this.parts.metrics.increment(MetricName.WorkerRestarts);
  }

  /** Called when the configuration may name other services. */
  configurationChanged(): void {
    for (const [instance, session] of this.byInstance) {
      this.entries.noteService(instance, session.entry.service);
      session.configurationChanged();
    }
  }

  /**
   * Drops the runs of a gang, which are over once one of them is; returns the dropped
   * runs.
   */
  dropRunsOfStep(ended: LiveRun): LiveRun[] {
    const dropped: LiveRun[] = [];
    for (const session of this.sessions.values())
      for (const run of [...session.runs.values()]) {
        if (run.stepKey !== ended.stepKey || run.run !== ended.run) continue;
        session.forget(run);
        dropped.push(run);
      }
    return dropped;
  }

  close(): void {
    this.closed = true;
    for (const session of this.sessions.values()) session.close();
  }

  apply(record: KeyedRecord): void {
    // A read that was in flight when the registry was closed would start a session that nobody closes.
    if (this.closed) return;
    const session = this.byInstance.get(record.key);
    if (record.value === undefined) {
      this.entries.noteRemoved(record.key);
      session?.update(undefined);
      return;
    }
    const entry = this.entries.read(record, session?.entry);
    if (entry === EntryRejection.Invalid) session?.entryInvalid();
    // Only the worker can tell a late write from a restart after its clock was set back.
    if (entry === EntryRejection.Outdated) void session?.isResponding();
    if (typeof entry === 'string') return;
    if (session?.id === entry.id) {
      session.update(entry);
      return;
    }
    session?.endIncarnation(IncarnationEnd.Restarted);
    this.add(entry);
  }

  loaded(keys: ReadonlySet<string>): void {
    for (const [instance, session] of this.byInstance)
      if (!keys.has(instance)) session.update(undefined);
  }

  private now(): number {
    return this.parts.clock.monotonicMilliseconds();
  }

  private add(entry: WorkerEntry): void {
    const {clock, logger} = this.parts;
    const session = new WorkerSession(
      entry,
      this.host,
      this.workers,
      clock,
      logger,
    );
    this.sessions.set(entry.id, session);
    this.byInstance.set(entry.instance, session);
    logger.info(LogEvent.WorkerFound, {
      worker: entry.id,
      service: entry.service,
      address: entry.address,
    });
    this.host.sessionAdded(session);
    if (this.started) session.start();
  }

  private async follow(): Promise<void> {
    while (!this.closed) {
      const freshUntil = this.now() + this.remainingFreshMilliseconds;
      const answered = await this.follower.follow(WAIT_MILLISECONDS);
      // The entries may have grown old during the read, which kept starts away until now.
      if (this.now() >= freshUntil && this.isFresh)
        for (const session of this.sessions.values())
          this.host.sessionChanged(session);
      await sleep(
        this.parts.clock,
        answered ? READ_GAP_MILLISECONDS : RETRY_MILLISECONDS,
      );
    }
  }
}
