import {LogEvent} from '@gentiandoor/kernel';
import {jobOf, type LogLine} from '../log-story.js';
import {overlap, type Interruptions, type TimeSpan} from './interruptions.js';

/** What a job's time went to. */
export enum TimeUse {
  /** Until the store had taken it. */
  Intake = 'intake',
  /** Nobody gave orders. */
  Coordinator = 'coordinator',
  /** No task ran: no room in its pool, or its turn had not come. */
  Room = 'room',
  /** Starts waited for the store. */
  Store = 'store',
  /** Its tasks were on workers that did not answer. */
  SilentWorker = 'silent worker',
  /** A task ran again after a failure or a loss. */
  RunAgain = 'run again',
  Running = 'running',
}

/** One job from intake to its end. */
export interface JobAccount {
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
  readonly uses: Readonly<Record<TimeUse, number>>;
}

/** Follows each job that was taken and has ended through the log lines of all daemons, oldest first. */
export function accountsOfJobs(
  lines: readonly LogLine[],
  interruptions: Interruptions,
): JobAccount[] {
  const journeys = new Map<string, Journey>();
  for (const line of lines) {
    const job = jobOf(line);
    if (job === undefined) continue;
    let journey = journeys.get(job);
    if (!journey) {
      journey = new Journey(job, interruptions);
      journeys.set(job, journey);
    }
    journey.note(line);
  }
  return [...journeys.values()].flatMap(journey => journey.account());
}

class Journey {
  private readonly uses = noUses();
  /** Worker of each run under way, by task and run. */
  private readonly alive = new Map<string, string>();
  private readonly tasks = new Set<string>();
  private taken: LogLine | undefined;
  private ended: LogLine | undefined;
  private at = 0;

  constructor(
    private readonly job: string,
    private readonly interruptions: Interruptions,
  ) {}

  note(line: LogLine): void {
    switch (line.event) {
      case LogEvent.JobTaken:
        this.begin(line);
        break;
      case LogEvent.RunOrdered:
        this.passUntil(line.time, numberOf(line, 'storedAfterMilliseconds'));
        this.tasks.add(String(line.fields.task));
        this.alive.set(runOf(line), String(line.fields.worker));
        break;
      case LogEvent.RunEnded:
      case LogEvent.RunRefused:
        this.passUntil(line.time, 0);
        this.alive.delete(runOf(line));
        break;
      case LogEvent.JobEnded:
        this.passUntil(line.time, 0);
        this.ended ??= line;
        break;
      default:
    }
  }

  account(): JobAccount[] {
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
        uses: this.uses,
      },
    ];
  }

  /** The first daemon to take it counts; a submission that comes again changes nothing. */
  private begin(line: LogLine): void {
    if (this.taken) return;
    this.taken = line;
    this.at = line.time;
    this.uses[TimeUse.Intake] = numberOf(line, 'milliseconds');
  }

  private passUntil(time: number, storeMilliseconds: number): void {
    if (!this.taken || this.ended || time <= this.at) return;
    const span = {from: this.at, until: time};
    this.at = time;
    if (this.alive.size > 0) this.passRunning(span);
    else this.passWaiting(span, storeMilliseconds);
  }

  private passRunning(span: TimeSpan): void {
    const whole = span.until - span.from;
    const {silentWorkers} = this.interruptions;
    const silent = Math.max(
      ...[...this.alive.values()].map(worker =>
        overlap(span, silentWorkers.get(worker) ?? []),
      ),
    );
    const again = [...this.alive.keys()].some(run => !run.endsWith('/1'));
    this.uses[TimeUse.SilentWorker] += silent;
    this.uses[again ? TimeUse.RunAgain : TimeUse.Running] += whole - silent;
  }

  private passWaiting(span: TimeSpan, storeMilliseconds: number): void {
    const whole = span.until - span.from;
    const without = overlap(span, this.interruptions.withoutCoordinator);
    const store = Math.min(storeMilliseconds, whole - without);
    this.uses[TimeUse.Coordinator] += without;
    this.uses[TimeUse.Store] += store;
    this.uses[TimeUse.Room] += whole - without - store;
  }
}

/** A line without an objective, of a daemon of an earlier version, tells of no lateness. */
function isOverObjective(ended: LogLine): boolean {
  const objective = numberOf(ended, 'objectiveMilliseconds');
  return objective > 0 && numberOf(ended, 'milliseconds') > objective;
}

/** Organisation that a line names. */
export function organisationIn({fields}: LogLine): string | undefined {
  const {organisation} = fields;
  return typeof organisation === 'string' ? organisation : undefined;
}

function noUses(): Record<TimeUse, number> {
  const uses = Object.values(TimeUse).map(use => [use, 0] as const);
  return Object.fromEntries(uses) as Record<TimeUse, number>;
}

function runOf({fields}: LogLine): string {
  return `${String(fields.task)}/${String(fields.run)}`;
}

function numberOf({fields}: LogLine, name: string): number {
  const value = Number(fields[name]);
  return Number.isFinite(value) ? value : 0;
}
