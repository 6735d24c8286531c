import {LogEvent} from '@gentiandoor/kernel';
import {jobOf, type LogLine} from '../job-timeline.js';
import {
  overlapMilliseconds,
  type Interruptions,
  type TimeSpan,
} from './interruptions.js';

/** What a job's time went to. */
export enum TimeCategory {
  /** Until the store had taken it. */
  Intake = 'intake',
  /** Nobody gave orders. */
  Coordinator = 'coordinator',
  /** No task ran: no room in its pool, or its turn had not come. */
  Capacity = 'room',
  /** Starts waited for the store. */
  Store = 'store',
  /** Its tasks were on workers that did not answer. */
  SilentWorker = 'silent worker',
  /** A task ran again after a failure or a loss. */
  Rerun = 'run again',
  Running = 'running',
}

/** One job from intake to its end. */
export interface JobTimeBreakdown {
  readonly job: string;
  readonly queue: string;
  /** Undefined for a job of a public queue. */
  readonly organisation: string | undefined;
  /** Daemon that took it. */
  readonly node: string;
  readonly takenAt: number;
  readonly endedAt: number;
  readonly state: string;
  /** It took longer than its objective, as far as the coordinator knew it. */
  readonly isLate: boolean;
  /** Tasks that were ordered at least once. */
  readonly tasks: number;
  /** Milliseconds by use; they add up to its time from intake to end. */
  readonly millisecondsByCategory: Readonly<Record<TimeCategory, number>>;
}

/** Follows each job that was taken and has ended through the log lines of all daemons, oldest first. */
export function jobTimeBreakdowns(
  lines: readonly LogLine[],
  interruptions: Interruptions,
): JobTimeBreakdown[] {
  const journeys = new Map<string, JobTimeTracker>();
  for (const line of lines) {
    const job = jobOf(line);
    if (job === undefined) continue;
    let journey = journeys.get(job);
    if (!journey) {
      journey = new JobTimeTracker(job, interruptions);
      journeys.set(job, journey);
    }
    journey.observe(line);
  }
  return [...journeys.values()].flatMap(journey => journey.breakdown());
}

class JobTimeTracker {
  private readonly millisecondsByCategory = zeroMilliseconds();
  /** Worker of each run under way, by task and run. */
  private readonly workerByActiveRun = new Map<string, string>();
  private readonly tasks = new Set<string>();
  private taken: LogLine | undefined;
  private ended: LogLine | undefined;
  private attributedUntil = 0;

  constructor(
    private readonly job: string,
    private readonly interruptions: Interruptions,
  ) {}

  observe(line: LogLine): void {
    switch (line.event) {
      case LogEvent.JobTaken:
        this.recordIntake(line);
        break;
      case LogEvent.RunOrdered:
        this.attributeUntil(
          line.time,
          numberOrZero(line, 'storedAfterMilliseconds'),
        );
        this.tasks.add(String(line.fields.task));
        this.workerByActiveRun.set(runKeyOf(line), String(line.fields.worker));
        break;
      case LogEvent.RunEnded:
      case LogEvent.RunRefused:
        this.attributeUntil(line.time, 0);
        this.workerByActiveRun.delete(runKeyOf(line));
        break;
      case LogEvent.JobEnded:
        this.attributeUntil(line.time, 0);
        this.ended ??= line;
        break;
      default:
    }
  }

  breakdown(): JobTimeBreakdown[] {
    const {taken, ended} = this;
    if (!taken || !ended) return [];
    return [
      {
        job: this.job,
        queue: String(taken.fields.queue),
        organisation: organisationIn(taken),
        node: taken.node,
        takenAt: taken.time,
        endedAt: ended.time,
        state: String(ended.fields.state),
        isLate: isOverObjective(ended),
        tasks: this.tasks.size,
        millisecondsByCategory: this.millisecondsByCategory,
      },
    ];
  }

  /** The first daemon to take it counts; a submission that comes again changes nothing. */
  private recordIntake(line: LogLine): void {
    if (this.taken) return;
    this.taken = line;
    this.attributedUntil = line.time;
    this.millisecondsByCategory[TimeCategory.Intake] = numberOrZero(
      line,
      'milliseconds',
    );
  }

  private attributeUntil(time: number, storeMilliseconds: number): void {
    if (!this.taken || this.ended || time <= this.attributedUntil) return;
    const span = {from: this.attributedUntil, until: time};
    this.attributedUntil = time;
    if (this.workerByActiveRun.size > 0) this.attributeRunningTime(span);
    else this.attributeWaitingTime(span, storeMilliseconds);
  }

  private attributeRunningTime(span: TimeSpan): void {
    const whole = span.until - span.from;
    const {silentWorkers} = this.interruptions;
    const silent = Math.max(
      ...[...this.workerByActiveRun.values()].map(worker =>
        overlapMilliseconds(span, silentWorkers.get(worker) ?? []),
      ),
    );
    const again = [...this.workerByActiveRun.keys()].some(
      run => !run.endsWith('/1'),
    );
    this.millisecondsByCategory[TimeCategory.SilentWorker] += silent;
    this.millisecondsByCategory[
      again ? TimeCategory.Rerun : TimeCategory.Running
    ] += whole - silent;
  }

  private attributeWaitingTime(
    span: TimeSpan,
    storeMilliseconds: number,
  ): void {
    const whole = span.until - span.from;
    const without = overlapMilliseconds(
      span,
      this.interruptions.withoutCoordinator,
    );
    const store = Math.min(storeMilliseconds, whole - without);
    this.millisecondsByCategory[TimeCategory.Coordinator] += without;
    this.millisecondsByCategory[TimeCategory.Store] += store;
    this.millisecondsByCategory[TimeCategory.Capacity] +=
      whole - without - store;
  }
}

/** A line without an objective, of a daemon of an earlier version, tells of no lateness. */
function isOverObjective(ended: LogLine): boolean {
  const objective = numberOrZero(ended, 'objectiveMilliseconds');
  return objective > 0 && numberOrZero(ended, 'milliseconds') > objective;
}

/** Organisation that a line names. */
export function organisationIn({fields}: LogLine): string | undefined {
  const {organisation} = fields;
  return typeof organisation === 'string' ? organisation : undefined;
}

function zeroMilliseconds(): Record<TimeCategory, number> {
  const uses = Object.values(TimeCategory).map(use => [use, 0] as const);
  return Object.fromEntries(uses) as Record<TimeCategory, number>;
}

function runKeyOf({fields}: LogLine): string {
  return `${String(fields.task)}/${String(fields.run)}`;
}

function numberOrZero({fields}: LogLine, name: string): number {
  const value = Number(fields[name]);
  return Number.isFinite(value) ? value : 0;
}
