import {sleep, type Clock, type Logger} from '@gentiandoor/kernel';
import type {JobTable} from '@gentiandoor/jobs';
import {LogStream, type RecordLog} from './record-log.js';
import {StreamFollower} from './stream-follower.js';
import {SUBMISSION_PARTITIONS, submissionPartition} from './submission-log.js';

const FOLLOW_WAIT_MILLISECONDS = 500;
/** Batches submissions into one read. */
const FOLLOW_GAP_MILLISECONDS = 20;
const RETRY_MILLISECONDS = 100;
/** Must stay below the retention time of the store. */
const MAXIMUM_SUBMISSION_AGE_MILLISECONDS = 9_000;
const MAXIMUM_PROGRESS_AGE_MILLISECONDS = 1_000;

/** Keeps a table of jobs up to date with the streams that tell of them. */
export class JobStreams {
  private readonly progress: StreamFollower;
  private readonly submissions: readonly StreamFollower[];
  private firstReads: Promise<boolean> = Promise.resolve(true);

  constructor(
    log: RecordLog,
    table: JobTable,
    private readonly clock: Clock,
    logger: Logger,
  ) {
    this.progress = new StreamFollower(
      log,
      LogStream.Jobs,
      table,
      clock,
      logger,
    );
    this.submissions = Array.from(
      {length: SUBMISSION_PARTITIONS},
      (_, partition) =>
        new StreamFollower(log, LogStream.Submissions, table, clock, logger, {
          partition,
        }),
    );
  }

  /** Age of what is known of jobs that were handed in, in milliseconds. */
  get submissionAgeMilliseconds(): number {
    return Math.max(...this.submissions.map(one => one.ageMilliseconds));
  }

  /** Age of what is known of the progress of jobs, in milliseconds. */
  get progressAgeMilliseconds(): number {
    return this.progress.ageMilliseconds;
  }

  /** Reads all streams to their end; false when the store did not answer all. */
  async refresh(): Promise<boolean> {
    return this.allAnswered([this.progress, ...this.submissions]);
  }

  /** Reads the progress of jobs to its end. */
  refreshProgress(): Promise<boolean> {
    return this.refreshOne(this.progress);
  }

  /** Reads to the end all that may tell of one job. */
  async refreshJob(jobId: string): Promise<boolean> {
    const partition = this.submissions[submissionPartition(jobId)];
    return this.allAnswered([this.progress, partition]);
  }

  /** Reads what has grown old, so that this daemon can answer and take over at once. */
  async refreshStale(): Promise<void> {
    const old = this.submissions.filter(
      one => one.ageMilliseconds > MAXIMUM_SUBMISSION_AGE_MILLISECONDS,
    );
    if (this.progress.ageMilliseconds > MAXIMUM_PROGRESS_AGE_MILLISECONDS)
      old.push(this.progress);
    await this.allAnswered(old);
  }

  /** Follows the submissions, until `isOver`; `read` is called after each read. */
  async followSubmissions(
    isOver: () => boolean,
    read: () => void,
  ): Promise<void> {
    await Promise.all(
      this.submissions.map(one => this.followOne(one, isOver, read)),
    );
  }

  private async followOne(
    follower: StreamFollower,
    isOver: () => boolean,
    read: () => void,
  ): Promise<void> {
    while (!isOver()) {
      const answered = await follower.follow(FOLLOW_WAIT_MILLISECONDS);
      read();
      await sleep(
        this.clock,
        answered ? FOLLOW_GAP_MILLISECONDS : RETRY_MILLISECONDS,
      );
    }
  }

  private async allAnswered(
    followers: readonly StreamFollower[],
  ): Promise<boolean> {
    const answers = await Promise.all(
      followers.map(one => this.refreshOne(one)),
    );
    return answers.every(answered => answered);
  }

  /**
   * A first read brings every job of the last minutes: one stream after the other. When all daemons start
   * at once and each reads seven of them side by side, no read is done within its bound, all begin again,
   * and nobody learns what runs.
   */
  private refreshOne(follower: StreamFollower): Promise<boolean> {
    if (follower.isLoaded) return follower.refresh();
    const read = this.firstReads.then(() => follower.refresh());
    this.firstReads = read.catch(() => false);
    return read;
  }
}
