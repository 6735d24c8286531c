import {sleep, supervise, type Clock, type Logger} from '@gentiandoor/kernel';
import type {JobTable} from '@gentiandoor/jobs';
import {LogStream, type RecordLog} from './record-log.js';
import {StreamFollower, type StreamSink} from './stream-follower.js';
import {SUBMISSION_PARTITIONS, submissionPartition} from './submission-log.js';

const FOLLOW_WAIT_MILLISECONDS = 500;
/** Batches submissions into one read. */
const FOLLOW_GAP_MILLISECONDS = 20;
const RETRY_MILLISECONDS = 100;
/** Must stay below the retention time of the store. */
const MAXIMUM_SUBMISSION_AGE_MILLISECONDS = 9_000;
const MAXIMUM_PROGRESS_AGE_MILLISECONDS = 1_000;

/** Returns what applies the records of one partition of submissions to a table. */
function submissionSink(table: JobTable, partition: number): StreamSink {
  const isOfPartition = (jobId: string) =>
    submissionPartition(jobId) === partition;
  return {
    apply: record => table.apply(record),
    loaded: keys => table.forgetEarlyCancellations(isOfPartition, keys),
  };
}

/** Keeps a table of jobs up to date with the streams of submissions and progress. */
export class JobStreams {
  private readonly progress: StreamFollower;
  private readonly submissions: readonly StreamFollower[];
  private firstReads: Promise<boolean> = Promise.resolve(true);

  constructor(
    log: RecordLog,
    table: JobTable,
    private readonly clock: Clock,
    private readonly logger: Logger,
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
        new StreamFollower(
          log,
          LogStream.Submissions,
          submissionSink(table, partition),
          clock,
          logger,
          {partition},
        ),
    );
  }

  /** Age in milliseconds of the data about submitted jobs. */
  get submissionAgeMilliseconds(): number {
    return Math.max(
      ...this.submissions.map(follower => follower.ageMilliseconds),
    );
  }

  /** Mean age in milliseconds, over all partitions, of the data about submitted jobs. */
  get meanSubmissionAgeMilliseconds(): number {
    const sum = this.submissions.reduce(
      (total, follower) => total + follower.ageMilliseconds,
      0,
    );
    return sum / this.submissions.length;
  }

  /** Age in milliseconds of the data about one job. */
  jobAgeMilliseconds(jobId: string): number {
    const {ageMilliseconds} = this.submissions[submissionPartition(jobId)];
    return Math.max(ageMilliseconds, this.progressAgeMilliseconds);
  }

  /** Age in milliseconds of the data about the progress of jobs. */
  get progressAgeMilliseconds(): number {
    return this.progress.ageMilliseconds;
  }

  /** Reads all streams to their end; returns false if the store did not respond to every read. */
  async refresh(): Promise<boolean> {
    return this.refreshAll([this.progress, ...this.submissions]);
  }

  /** Reads the progress stream to its end; returns false if the store did not respond. */
  refreshProgress(): Promise<boolean> {
    return this.refreshOne(this.progress);
  }

  /** Reads all streams that may contain records of one job to their end. */
  async refreshJob(jobId: string): Promise<boolean> {
    const partition = this.submissions[submissionPartition(jobId)];
    return this.refreshAll([this.progress, partition]);
  }

  /**
   * Refreshes stale streams, so that this daemon can answer callers and become the coordinator at
   * once.
   */
  async refreshStale(): Promise<void> {
    const stale = this.submissions.filter(
      follower =>
        follower.ageMilliseconds > MAXIMUM_SUBMISSION_AGE_MILLISECONDS,
    );
    if (this.progress.ageMilliseconds > MAXIMUM_PROGRESS_AGE_MILLISECONDS)
      stale.push(this.progress);
    await this.refreshAll(stale);
  }

  /**
   * Follows the submission streams until `isStopped` returns true; calls `onRead` after each read.
   */
  async followSubmissions(
    isStopped: () => boolean,
    onRead: () => void,
  ): Promise<void> {
    await Promise.all(
      this.submissions.map(follower =>
        supervise({
          name: 'submissions',
          clock: this.clock,
          logger: this.logger,
          isStopped,
          run: () => this.followOne(follower, isStopped, onRead),
        }),
      ),
    );
  }

  private async followOne(
    follower: StreamFollower,
    isStopped: () => boolean,
    onRead: () => void,
  ): Promise<void> {
    while (!isStopped()) {
      const succeeded = await follower.follow(FOLLOW_WAIT_MILLISECONDS);
      onRead();
      await sleep(
        this.clock,
        succeeded ? FOLLOW_GAP_MILLISECONDS : RETRY_MILLISECONDS,
      );
    }
  }

  private async refreshAll(
    followers: readonly StreamFollower[],
  ): Promise<boolean> {
    const results = await Promise.all(
      followers.map(follower => this.refreshOne(follower)),
    );
    return results.every(succeeded => succeeded);
  }

  /**
   * Refreshes one stream; first reads, which return every job of the last minutes, run one after
   * the other. If all daemons start at once and each reads seven streams in parallel, no read
   * finishes within its timeout, all start over, and no daemon learns what runs.
   */
  private refreshOne(follower: StreamFollower): Promise<boolean> {
    if (follower.isLoaded) return follower.refresh();
    const read = this.firstReads.then(() => follower.refresh());
    this.firstReads = read.catch(() => false);
    return read;
  }
}
