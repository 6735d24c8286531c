import {WorkLength, type TeamTerms} from '@gentiandoor/decisions';
import {SLOTS, type ModelPlan, type Stream} from './deployment-model.js';

/** Mean time of a short request, such as a preview. */
export const SHORT_MILLISECONDS = 50;
/** Mean time of a long request, such as a projection. */
export const LONG_MILLISECONDS = 2000;
const SECOND = 1000;
const WARM_UP = 5 * SECOND;
const RUN = 30 * SECOND;

/** A team without a quota. */
export function team(name: string, terms: Partial<TeamTerms> = {}): TeamTerms {
  return {name, weight: 1, slots: 1_000_000, urgent: false, ...terms};
}

/** Short requests at a steady rate. */
export function shortStream(
  perSecond: number,
  changes: Partial<Stream> = {},
): Stream {
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
    patienceMilliseconds: 2 * SECOND,
    queueLimit: 64,
    ...changes,
  };
}

/** Long requests at a steady rate. */
export function longStream(
  perSecond: number,
  changes: Partial<Stream> = {},
): Stream {
  return shortStream(perSecond, {
    name: 'long',
    work: WorkLength.Long,
    meanMilliseconds: LONG_MILLISECONDS,
    team: team('audit'),
    waitMilliseconds: 10 * SECOND,
    patienceMilliseconds: 60 * SECOND,
    ...changes,
  });
}

/** Short requests a second that keep `targets` targets wholly busy. */
export function fullRate(
  targets: number,
  meanMilliseconds = SHORT_MILLISECONDS,
): number {
  return (targets * SLOTS * SECOND) / meanMilliseconds;
}

/** Eight targets in two racks behind seven daemons. */
export function plan(
  seed: number,
  scale: number,
  streams: readonly Stream[],
  changes: Partial<ModelPlan> = {},
): ModelPlan {
  return {
    daemons: 7,
    targets: 8,
    targetsInRack: 4,
    dataCentres: 1,
    hurries: true,
    seed,
    warmUpMilliseconds: WARM_UP,
    milliseconds: RUN * scale,
    streams,
    ...changes,
  };
}
