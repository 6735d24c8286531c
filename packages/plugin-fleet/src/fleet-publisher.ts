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

/** Outcome of a published record. */
export interface PublishResult {
  readonly offset: number;
  /** Undefined when the record took effect. */
  readonly rejection?: Rejection;
}

type WithoutId<Entry extends FleetRecord> = Entry extends FleetRecord
  ? Omit<Entry, 'id'>
  : never;

/** A record without its id. */
export type RecordWithoutId = WithoutId<FleetRecord>;

/** Components that the publisher depends on. */
export interface FleetPublisherDependencies {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly sharedState: SharedState;
  readonly fleetOptions: FleetOptions;
}

/** Publishes the fleet's records with a timeout on the injected clock. */
export class FleetPublisher {
  constructor(private readonly dependencies: FleetPublisherDependencies) {}

  /**
   * Resolves when the fold has accepted or rejected the record. Throws `PlatformLogError` on a
   * timeout: the record may still take effect, and publishing the same id again is safe.
   */
  async publish(
    recordWithoutId: RecordWithoutId,
    id: string = randomUUID(),
  ): Promise<PublishResult> {
    const {clock, sharedState, fleetOptions, logger} = this.dependencies;
    const timeout = new AbortController();
    const timer = clock.schedule(
      fleetOptions.publish_timeout_milliseconds,
      () => timeout.abort(),
    );
    try {
      const record = {...recordWithoutId, id} as FleetRecord;
      const {offset, rejection} = await Promise.race([
        sharedState.publish(record, timeout.signal),
        rejectOnAbort(timeout.signal),
      ]);
      if (rejection)
        logger.debug(LogEvent.RecordRejected, {offset, ...rejection});
      return {offset, rejection};
    } finally {
      timer.cancel();
    }
  }
}

/**
 * Rejects on the timeout: a publisher that checks its signal only between steps would
 * never settle.
 */
function rejectOnAbort(signal: AbortSignal): Promise<never> {
  return new Promise((_, reject) => {
    signal.addEventListener(
      'abort',
      () =>
        reject(
          new PlatformLogError(
            PlatformLogFailure.NoResponse,
            'the outcome of the record was not read back in time',
          ),
        ),
      {once: true},
    );
  });
}
