import {
  mayAccessJob,
  type Caller,
  type OwnedJob,
} from '@gentiandoor/organisations';

/** Jobs whose submission through this daemon got no response from the store, by id. */
export class SubmissionDoubts {
  private readonly owners = new Map<string, OwnedJob>();

  note(jobId: string, {organisation, queue}: OwnedJob): void {
    this.owners.set(jobId, {organisation, queue});
  }

  has(jobId: string): boolean {
    return this.owners.has(jobId);
  }

  /** Ends the doubt about a job that is known to be stored. */
  end(jobId: string): void {
    this.owners.delete(jobId);
  }

  /** Ends the doubt about a job that `caller` has cancelled, if it may access it. */
  endBy(jobId: string, caller: Caller): void {
    const owner = this.owners.get(jobId);
    if (owner && mayAccessJob(owner, caller)) this.end(jobId);
  }
}
