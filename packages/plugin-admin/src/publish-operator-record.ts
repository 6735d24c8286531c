import {PlatformLogError, type AdminResponse} from '@gentiandoor/kernel';
import {
  decodeRecord,
  encodeRecord,
  type FleetRecord,
  type SharedState,
} from '@gentiandoor/shared-state';

/** Timeout for the log to append a record and return it, in milliseconds. */
const PUBLISH_TIMEOUT_MILLISECONDS = 5000;

/** Outcome of an operator's record in the fold. */
export interface PublishResult {
  readonly accepted: boolean;
  readonly offset: number;
  /** Why the record was rejected; undefined if it took effect. */
  readonly reason?: string;
  readonly detail?: string;
}

/** Publishes an operator's record and returns a response with its outcome. */
export async function publishOperatorRecord(
  sharedState: SharedState,
  record: FleetRecord,
): Promise<AdminResponse> {
  // A record that the fold cannot decode would be appended to the log and never get a result:
  // the operator would wait for the timeout and then learn that the outcome is unknown.
  const decoded = decodeRecord(encodeRecord(record));
  if ('unreadable' in decoded)
    return {status: 400, body: {error: decoded.unreadable}};
  try {
    const signal = AbortSignal.timeout(PUBLISH_TIMEOUT_MILLISECONDS);
    const {offset, rejection} = await sharedState.publish(record, signal);
    const result: PublishResult = {
      accepted: rejection === undefined,
      offset,
      reason: rejection?.reason,
      detail: rejection?.detail,
    };
    return {status: 200, body: result};
  } catch (error) {
    if (!(error instanceof PlatformLogError)) throw error;
    const advice =
      'its outcome is unknown; check the status before sending it again';
    return {
      status: 503,
      body: {
        error: `the platform's log did not return the record (${error.message}): ${advice}`,
      },
    };
  }
}
