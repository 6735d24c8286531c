import type {Resources} from '@gentiandoor/coordinator';
import type {SeededRandom} from '@gentiandoor/kernel';
import {FewJobs, QueuesByTurns, type Workload} from './workload.js';

/** Size of a soaked deployment and what its callers submit. */
export interface SoakProfile {
  readonly services: readonly string[];
  readonly workersPerService: number;
  readonly workerCapacity: Resources;
  /** Whether the faults of workers, waves, configurations and all daemons at once are injected. */
  readonly hasFleetFaults: boolean;
  /** Whether elements are brought in that can't be read or served. */
  readonly hasOddElements?: boolean;
  /** Whether workers restart under their id. */
  readonly reportsStart: boolean;
  /** How long nobody calls after the last round, in milliseconds. */
  readonly quietMilliseconds: number;
  newWorkload(random: SeededRandom): Workload;
}

/** Two small services. */
export const SMALL_PROFILE: SoakProfile = {
  services: ['previews', 'crests'],
  workersPerService: 3,
  workerCapacity: {
    processorMillicores: 8_000,
    memoryMegabytes: 64_000,
    accelerators: 0,
  },
  hasFleetFaults: false,
  reportsStart: false,
  quietMilliseconds: 0,
  newWorkload: random => new FewJobs(SMALL_PROFILE.services, random),
};

/** A deployment of four services and a standby pool, whose callers leave before the check. */
export function deploymentProfile(
  workersPerService: number,
  {reportsStart = false, hasOddElements = false} = {},
): SoakProfile {
  const services = ['previews', 'crests', 'logos', 'emblems'];
  return {
    services,
    workersPerService,
    workerCapacity: {
      processorMillicores: 32_000,
      memoryMegabytes: 131_072,
      accelerators: 0,
    },
    hasFleetFaults: true,
    hasOddElements,
    reportsStart,
    quietMilliseconds: 14_000,
    newWorkload: random =>
      new QueuesByTurns(services, random, workersPerService),
  };
}
