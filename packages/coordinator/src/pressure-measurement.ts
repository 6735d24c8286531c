import {
  emptyHistogram,
  sizeClassOf,
  type OrganisationPressure,
  type RunTimeRatio,
  type ServicePressure,
} from '@gentiandoor/admission';
import {Entitlement} from '@gentiandoor/organisations';
import {
  DeadlineFeasibility,
  DurationModel,
  feasibilityOf,
} from '@gentiandoor/scheduling';
import type {LearnedDemand} from './service-demand.js';
import type {PlacementCandidate} from './waiting-jobs.js';
import type {ServiceWaitingWork, WaitingWorkSource} from './waiting-work.js';

/** While VMs arrive one after the other, the next ones are expected after this. */
const MINIMUM_INCOMING_DELAY_MILLISECONDS = 300;

/** Returns the waiting jobs of a service that end by themselves and are still of use. */
export function jobsOfUse(
  {jobs}: ServiceWaitingWork,
  now: number,
): PlacementCandidate[] {
  return jobs.filter(
    candidate =>
      !candidate.execution.hasEnded &&
      !candidate.ready[0].specification.longRunning &&
      feasibilityOf(candidate, now) !== DeadlineFeasibility.Infeasible,
  );
}

/** Returns the pressure on one service, without the duration of the pressure. */
export function measurePressure(
  waiting: ServiceWaitingWork,
  source: WaitingWorkSource,
  moveMilliseconds: number,
  now: number,
): Omit<ServicePressure, 'pressedMilliseconds'> {
  const inTime = emptyHistogram();
  const organisations = new Map<string, OrganisationPressure>();
  let lateMillicoreMilliseconds = 0;
  for (const candidate of jobsOfUse(waiting, now)) {
    const work = waitingWorkOf(candidate, source);
    if (feasibilityOf(candidate, now) !== DeadlineFeasibility.InTime) {
      lateMillicoreMilliseconds += work;
      continue;
    }
    inTime[sizeClassOf(candidate.remainingMillicoreMilliseconds)] += work;
    addToOrganisation(organisations, candidate, work);
  }
  const arrivals = source.arrivalsOf(waiting.service);
  return {
    name: waiting.service,
    usableMillicores: usableMillicores(waiting),
    incomingMillicores: waiting.incomingMillicores,
    incomingDelayMilliseconds: Math.max(
      MINIMUM_INCOMING_DELAY_MILLISECONDS,
      moveMilliseconds - (now - waiting.incomingSince),
    ),
    inTime,
    lateMillicoreMilliseconds,
    arrivingMillicores: arrivals.histogram(now),
    arrivingJobsPerSecond: arrivals.jobsPerSecond(now),
    organisations: [...organisations.values()],
  };
}

/** Returns how the run times of each queue relate to their estimates. */
export function runTimeRatios({durations}: LearnedDemand): RunTimeRatio[] {
  return durations.map(([queue, snapshot]) => {
    const model = new DurationModel();
    model.restore(snapshot);
    const typicalEstimate = Math.exp(snapshot.meanEstimate);
    const typical = model.medianMilliseconds(typicalEstimate);
    const atDouble = model.medianMilliseconds(2 * typicalEstimate);
    return {
      queue,
      typicalEstimateMilliseconds: typicalEstimate,
      typicalMilliseconds: typical,
      slope: Math.log2(atDouble / typical),
      meanFactor: model.meanMilliseconds(typicalEstimate) / typical,
    };
  });
}

/** Returns the open work of a job without that of its tasks that run already. */
function waitingWorkOf(
  {execution, remainingMillicoreMilliseconds}: PlacementCandidate,
  source: WaitingWorkSource,
): number {
  let running = 0;
  for (const task of execution.liveTasks())
    if (!task.progress.done) running += source.taskWork(execution, task);
  return Math.max(0, remainingMillicoreMilliseconds - running);
}

function addToOrganisation(
  organisations: Map<string, OrganisationPressure>,
  {organisation, entitlement}: PlacementCandidate,
  work: number,
): void {
  if (organisation === undefined) return;
  const before = organisations.get(organisation);
  organisations.set(organisation, {
    name: organisation,
    waitingMillicoreMilliseconds:
      (before?.waitingMillicoreMilliseconds ?? 0) + work,
    isBeyondEntitlement:
      entitlement === Entitlement.Excess ||
      before?.isBeyondEntitlement === true,
  });
}

/** Returns the capacity of a service without that which long-running tasks hold. */
function usableMillicores({sessions}: ServiceWaitingWork): number {
  let millicores = 0;
  for (const {entry, runs} of sessions) {
    millicores += entry.capacity.processorMillicores;
    for (const {executableTask} of runs.values())
      if (executableTask.specification.longRunning)
        millicores -= executableTask.specification.processorMillicores;
  }
  return Math.max(0, millicores);
}
