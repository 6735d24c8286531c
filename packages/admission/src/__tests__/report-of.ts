import {
  emptyHistogram,
  type PressureReport,
  type ServicePressure,
} from '../index.js';

/** Returns a report about one service, with the given properties. */
export function reportOf(
  service: Partial<ServicePressure> = {},
  report: Partial<PressureReport> = {},
): PressureReport {
  return {
    term: 1,
    sequence: 1,
    wallMilliseconds: 0,
    daemons: 1,
    queues: [],
    services: [
      {
        name: 'previews',
        usableMillicores: 10_000,
        incomingMillicores: 0,
        incomingDelayMilliseconds: 0,
        inTime: emptyHistogram(),
        lateMillicoreMilliseconds: 0,
        arrivingMillicores: emptyHistogram(),
        arrivingJobsPerSecond: 0,
        pressedMilliseconds: 1_000,
        organisations: [],
        ...service,
      },
    ],
    ...report,
  };
}
