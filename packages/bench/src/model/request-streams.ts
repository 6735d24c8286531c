import {WorkLength, type TeamPolicy} from '@gentiandoor/decisions';
import {SLOTS, type ModelPlan, type RequestStream} from './deployment-model.js';

/** Mean time of a short request, such as a preview. */
export const SHORT_MILLISECONDS = 50;
/** Mean time of a long request, such as a projection. */
export const LONG_MILLISECONDS = 2000;
const SECOND = 1000;
const WARM_UP_MILLISECONDS = 5 * SECOND;
const RUN_MILLISECONDS = 30 * SECOND;

/** A team without a quota. */
export function team(
  name: string,
  terms: Partial<TeamPolicy> = {},
): TeamPolicy {
  return {name, weight: 1, slots: 1_000_000, urgent: false, ...terms};
}

/** Short requests at a steady rate. */
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

/** Long requests at a steady rate. */
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

/** Short requests a second that keep `targets` targets wholly busy. */
export function saturationRate(
  targets: number,
  meanMilliseconds = SHORT_MILLISECONDS,
): number {
  return (targets * SLOTS * SECOND) / meanMilliseconds;
}

/** Eight targets in two racks behind seven daemons. */
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
