import {randomUUID} from 'node:crypto';
import {
  LogEvent,
  PlatformLogFailure,
  PlatformLogError,
  type Clock,
  type Logger,
} from '@gentiandoor/kernel';
import type {
  FleetRecord,
  Rejection,
  SharedState,
} from '@gentiandoor/shared-state';
import type {FleetOptions} from './fleet-options.js';

/** What became of a record. */
export interface PublishResult {
  readonly offset: number;
  /** Undefined when the record took effect. */
  readonly rejection?: Rejection;
}

type WithoutId<Entry extends FleetRecord> = Entry extends FleetRecord
  ? Omit<Entry, 'id'>
  : never;

/** A record that has no id yet. */
export type RecordWithoutId = WithoutId<FleetRecord>;

/** What the publisher needs. */
export interface FleetPublisherDependencies {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly sharedState: SharedState;
  readonly fleetOptions: FleetOptions;
}

/** Publishes the fleet's records with a time limit on the passed clock. */
export class FleetPublisher {
  constructor(private readonly dependencies: FleetPublisherDependencies) {}

  /**
   * Resolves when the fold has judged the record. Throws `PlatformLogError` when that is not
   * known in time: the record may still take effect, and the same id again is safe.
   */
  async publish(
    unnamed: RecordWithoutId,
    id: string = randomUUID(),
  ): Promise<PublishResult> {
    const {clock, sharedState, fleetOptions, logger} = this.dependencies;
    const limit = new AbortController();
    const timer = clock.schedule(
      fleetOptions.publish_timeout_milliseconds,
      () => limit.abort(),
    );
    try {
      const record = {...unnamed, id} as FleetRecord;
      const {offset, rejection} = await Promise.race([
        sharedState.publish(record, limit.signal),
        rejectOnAbort(limit.signal),
      ]);
      if (rejection)
        logger.debug(LogEvent.RecordRejected, {offset, ...rejection});
      return {offset, rejection};
    } finally {
      timer.cancel();
    }
  }
}

/** A publisher that only watches its signal between steps would leave this daemon waiting for ever. */
function rejectOnAbort(signal: AbortSignal): Promise<never> {
  return new Promise((_, reject) => {
    signal.addEventListener(
      'abort',
      () =>
        reject(
          new PlatformLogError(
            PlatformLogFailure.NoResponse,
            'the log did not judge the record in time',
          ),
        ),
      {once: true},
    );
  });
}
