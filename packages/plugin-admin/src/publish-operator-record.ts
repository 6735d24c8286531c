import {PlatformLogError, type AdminResponse} from '@gentiandoor/kernel';
import {
  decodeRecord,
  encodeRecord,
  type FleetRecord,
  type SharedState,
} from '@gentiandoor/shared-state';

/** Longest wait for the log to take and return a record, in milliseconds. */
const PUBLISH_TIMEOUT_MILLISECONDS = 5000;

/** What the fold made of an operator's record. */
export interface PublishResult {
  readonly accepted: boolean;
  readonly offset: number;
  /** Why it was rejected; undefined when it took effect. */
  readonly reason?: string;
  readonly detail?: string;
}

/** Publishes an operator's record and tells what became of it. */
export async function publishOperatorRecord(
  sharedState: SharedState,
  record: FleetRecord,
): Promise<AdminResponse> {
  // A record that no fold can read would go to the log and never come back with a verdict:
  // the operator would wait in vain and be told that its fate is unknown.
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
    const unknown =
      'its fate is unknown; look at the status before you send it again';
    return {
      status: 503,
      body: {
        error: `the platform's log did not return the record (${error.message}): ${unknown}`,
      },
    };
  }
}
