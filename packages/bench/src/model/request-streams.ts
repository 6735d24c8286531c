import {WorkLength, type TeamPolicy} from '@gentiandoor/decisions';
import {SLOTS, type ModelPlan, type RequestStream} from './deployment-model.js';

/** Mean execution time of a short request, such as a preview. */
export const SHORT_MILLISECONDS = 50;
/** Mean execution time of a long request, such as a projection. */
export const LONG_MILLISECONDS = 2000;
const SECOND = 1000;
const WARM_UP_MILLISECONDS = 5 * SECOND;
const RUN_MILLISECONDS = 30 * SECOND;

/** Returns a team whose quota is too large to have an effect. */
export function team(
  name: string,
  terms: Partial<TeamPolicy> = {},
): TeamPolicy {
  return {name, weight: 1, slots: 1_000_000, urgent: false, ...terms};
}

/** Returns a stream of short requests at a constant rate. */
export function shortStream(
  perSecond: number,
  changes: Partial<RequestStream> = {},
): RequestStream {
  return {
    name: 'short',
    work: WorkLength.Short,
    meanMilliseconds: SHORT_MILLISECONDS,
    perSecond: () => perSecond,
    peakPerSecond: perSecond,
    team: team('counter'),
    callers: 50,
    idempotent: true,
    waitMilliseconds: SECOND,
    callerTimeoutMilliseconds: 2 * SECOND,
    queueLimit: 64,
    ...changes,
  };
}

/** Returns a stream of long requests at a constant rate. */
export function longStream(
  perSecond: number,
  changes: Partial<RequestStream> = {},
): RequestStream {
  return shortStream(perSecond, {
    name: 'long',
    work: WorkLength.Long,
    meanMilliseconds: LONG_MILLISECONDS,
    team: team('audit'),
    waitMilliseconds: 10 * SECOND,
    callerTimeoutMilliseconds: 60 * SECOND,
    ...changes,
  });
}

/** Returns the requests per second that fully use `targets` targets. */
export function saturationRate(
  targets: number,
  meanMilliseconds = SHORT_MILLISECONDS,
): number {
  return (targets * SLOTS * SECOND) / meanMilliseconds;
}

/** Returns a plan with eight targets in two racks behind seven daemons. */
export function plan(
  seed: number,
  scale: number,
  streams: readonly RequestStream[],
  changes: Partial<ModelPlan> = {},
): ModelPlan {
  return {
    daemons: 7,
    targets: 8,
    targetsInRack: 4,
    dataCentres: 1,
    sendsEarlySummaries: true,
    seed,
    warmUpMilliseconds: WARM_UP_MILLISECONDS,
    milliseconds: RUN_MILLISECONDS * scale,
    streams,
    ...changes,
  };
}
