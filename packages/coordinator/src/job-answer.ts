import type {JobState} from '@gentiandoor/jobs';

/** Result of a query for a job's state, or of a cancellation. */
export type JobAnswer =
  | {readonly kind: 'state'; readonly state: JobState}
  | {readonly kind: 'absent'}
  | {
      readonly kind: 'unavailable';
      /** Undefined where the caller should retry as after any failure of the store. */
      readonly retryAfterSeconds?: number;
    };

/** Time reserved for sending the response before the caller's deadline. */
export const ANSWER_MARGIN_MILLISECONDS = 250;
