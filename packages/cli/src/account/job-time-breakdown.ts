import {LogEvent} from '@gentiandoor/kernel';
import {jobOf, type LogLine} from '../job-timeline.js';
import {numberOrZero, organisationIn} from './log-line-fields.js';
import {JobOutcome, outcomeOf} from './job-outcome.js';
import {
  overlapMilliseconds,
  type Interruptions,
  type TimeSpan,
} from './interruptions.js';

/** Categories to which a job's time is attributed. */
export enum TimeCategory {
  /** From the submission until the store had the job. */
  Intake = 'intake',
  /** No coordinator was active. */
  Coordinator = 'coordinator',
  /** No task ran: its pool had no free capacity, or it was not the job's turn. */
  Capacity = 'room',
  /** Starts of runs waited for the store. */
  Store = 'store',
  /** A task was on a worker that did not respond. */
  SilentWorker = 'silent worker',
  /** A task ran again after its run failed or was lost. */
  Rerun = 'run again',
  Running = 'running',
}

/** How one accepted job spent its time from intake to end, or so far. */
export interface JobTimeBreakdown {
  readonly job: string;
  readonly queue: string;
  /** Undefined for a job of a public queue. */
  readonly organisation: string | undefined;
  /** Daemon that accepted the job. */
  readonly node: string;
  readonly takenAt: number;
  /** Undefined if the log has no end of the job. */
  readonly endedAt: number | undefined;
  readonly outcome: JobOutcome;
  /** Number of tasks that were ordered at least once. */
  readonly tasks: number;
  /** Milliseconds by category; the sum is an ended job's time from intake to end. */
  readonly millisecondsByCategory: Readonly<Record<TimeCategory, number>>;
}

/**
 * Returns the time breakdown of each job that was accepted, from the log lines of all daemons,
 * ordered oldest first.
 */
export function jobTimeBreakdowns(
  lines: readonly LogLine[],
  interruptions: Interruptions,
): JobTimeBreakdown[] {
  const trackersByJob = new Map<string, JobTimeTracker>();
  for (const line of lines) {
    const job = jobOf(line);
    if (job === undefined) continue;
    let tracker = trackersByJob.get(job);
    if (!tracker) {
      tracker = new JobTimeTracker(job, interruptions);
      trackersByJob.set(job, tracker);
    }
    tracker.observe(line);
  }
  return [...trackersByJob.values()].flatMap(tracker => tracker.breakdown());
}

/** Attributes the time of one job to categories as its log lines are read in order. */
class JobTimeTracker {
  private readonly millisecondsByCategory = zeroMilliseconds();
  /** Worker of each active run, by task and run. */
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
    if (!taken) return [];
    return [
      {
        job: this.job,
        queue: String(taken.fields.queue),
        organisation: organisationIn(taken),
        node: taken.node,
        takenAt: taken.time,
        endedAt: ended?.time,
        outcome: outcomeOf(ended),
        tasks: this.tasks.size,
        millisecondsByCategory: this.millisecondsByCategory,
      },
    ];
  }

  /** Records the first acceptance only; a repeated submission changes nothing. */
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
    const total = span.until - span.from;
    const {silentWorkers} = this.interruptions;
    const silentMilliseconds = Math.max(
      ...[...this.workerByActiveRun.values()].map(worker =>
        overlapMilliseconds(span, silentWorkers.get(worker) ?? []),
      ),
    );
    const isRerun = [...this.workerByActiveRun.keys()].some(
      run => !run.endsWith('/1'),
    );
    this.millisecondsByCategory[TimeCategory.SilentWorker] +=
      silentMilliseconds;
    this.millisecondsByCategory[
      isRerun ? TimeCategory.Rerun : TimeCategory.Running
    ] += total - silentMilliseconds;
  }

  private attributeWaitingTime(
    span: TimeSpan,
    storeMilliseconds: number,
  ): void {
    const total = span.until - span.from;
    const withoutCoordinator = overlapMilliseconds(
      span,
      this.interruptions.withoutCoordinator,
    );
    const store = Math.min(storeMilliseconds, total - withoutCoordinator);
    this.millisecondsByCategory[TimeCategory.Coordinator] += withoutCoordinator;
    this.millisecondsByCategory[TimeCategory.Store] += store;
    this.millisecondsByCategory[TimeCategory.Capacity] +=
      total - withoutCoordinator - store;
  }
}

function zeroMilliseconds(): Record<TimeCategory, number> {
  const entries = Object.values(TimeCategory).map(
    category => [category, 0] as const,
  );
  return Object.fromEntries(entries) as Record<TimeCategory, number>;
}

function runKeyOf({fields}: LogLine): string {
  return `${String(fields.task)}/${String(fields.run)}`;
}
