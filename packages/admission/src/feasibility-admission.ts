import type {Clock} from '@gentiandoor/kernel';
import type {JobSubmission} from '@gentiandoor/jobs';
import {AcceptedWork} from './accepted-work.js';
import {
  AdmissionRefusal,
  type AdmissionDecision,
  type AdmissionPolicy,
  type AdmissionRequest,
} from './admission-policy.js';
import {jobWorkOf, type JobWork} from './job-work.js';
import type {PressureReport, ServicePressure} from './pressure-report.js';
import {
  ReportHolder,
  type HeldReport,
  type ReportReading,
} from './report-holder.js';
import {retryAfterSeconds} from './retry-after.js';
import type {SizeHistogram} from './size-histogram.js';
import {waitMilliseconds, type Backlog} from './wait-forecast.js';
import {isBeyondEntitlement, totalWork, workAhead} from './work-ahead.js';

/** An older report says nothing about the present: a burst may have ended since. */
export const MAXIMUM_REPORT_AGE_MILLISECONDS = 1_500;
/** A job is worthless to its caller after this multiple of its objective. */
const LATE_FACTOR = 3;
/** Share of the expected wait and run time that a job has even by an optimistic estimate. */
const OPTIMISTIC_WAIT = 0.7;
const OPTIMISTIC_PATH = 0.8;
/** Usual length of a burst: until then arrivals are expected to continue as reported. */
const BURST_MILLISECONDS = 4_500;
/** Part of the late work that is due earlier than a job that becomes late itself. */
const LATE_SHARE_AHEAD = 0.5;

/** Expected times of a job, in milliseconds from its submission. */
interface JobForecast {
  readonly work: JobWork;
  readonly objective: number;
  /** When the work ahead of it is done. */
  readonly wait: number;
  /** Its end by the optimistic estimate. */
  readonly end: number;
  readonly millicoreMillisecondsAhead: number;
}

/**
 * Refuses jobs that can't be done while they are of use, by the coordinator's latest report.
 * Load: bursts of five times the mean load for 4.5 s, more than the pool can hold. Without it,
 * all jobs are accepted, those with much work wait behind smaller ones until nobody waits for them
 * any more, and their callers learn it only then. The backlog in the report alone is too small to
 * foresee this: the work that arrives during the wait and goes first decides, so arrivals are taken
 * to continue until the end of the burst. A job that can't start in time also waits for all work
 * that can be in time.
 */
export class FeasibilityAdmission implements AdmissionPolicy {
  private readonly reports = new ReportHolder();
  private readonly accepted = new AcceptedWork();

  constructor(private readonly clock: Clock) {}

  /** Records a report; returns false if it is not later than the one in use. */
  noteReport(report: PressureReport, reading: ReportReading): boolean {
    const isLater = this.reports.note(report, reading);
    if (isLater)
      this.accepted.noteReport(report, reading.monotonicMilliseconds);
    return isLater;
  }

  decide(request: AdmissionRequest): AdmissionDecision {
    const {job} = request;
    const held = this.reports.held(this.clock.monotonicMilliseconds());
    if (!held || held.ageMilliseconds > MAXIMUM_REPORT_AGE_MILLISECONDS)
      return {isAdmitted: true};
    const service = held.report.services.find(({name}) => name === job.service);
    if (!service || !isDecidable(job, service)) return {isAdmitted: true};
    const forecast = this.forecast(request, service, held);
    const isBeyond = isBeyondEntitlement(service, job.organisation);
    const limit = (isBeyond ? 1 : LATE_FACTOR) * forecast.objective;
    if (forecast.end <= limit) return {isAdmitted: true};
    const excess = (forecast.end - limit) / OPTIMISTIC_WAIT;
    return {
      isAdmitted: false,
      refusal: isBeyond
        ? AdmissionRefusal.BeyondEntitlement
        : AdmissionRefusal.NotInTime,
      retryAfterSeconds: retryAfterSeconds(job.id, excess),
      figures: figuresOf(forecast, service, held),
    };
  }

  noteAccepted(job: JobSubmission): void {
    const held = this.reports.held(this.clock.monotonicMilliseconds());
    if (!held) return;
    const {millicoreMilliseconds} = jobWorkIn(held.report, job);
    this.accepted.noteAccepted(job.service, millicoreMilliseconds);
  }

  private forecast(
    {job, stretch, latencyMilliseconds}: AdmissionRequest,
    service: ServicePressure,
    held: HeldReport,
  ): JobForecast {
    const work = jobWorkIn(held.report, job);
    const {criticalPathMilliseconds, millicoreMilliseconds} = work;
    const objective = stretch * criticalPathMilliseconds + latencyMilliseconds;
    const place = {millicoreMilliseconds, organisation: job.organisation};
    const ahead = this.backlog(service, held, histogram =>
      workAhead(histogram, service, place),
    );
    let wait = waitMilliseconds(ahead);
    const endAfterWait = () =>
      OPTIMISTIC_WAIT * wait + OPTIMISTIC_PATH * criticalPathMilliseconds;
    if (endAfterWait() > objective)
      wait = Math.max(wait, this.waitOnceLate(service, held));
    return {
      work,
      objective,
      wait,
      end: endAfterWait(),
      millicoreMillisecondsAhead: ahead.millicoreMilliseconds,
    };
  }

  /** A job that is late waits for all work that can be in time, whatever its size. */
  private waitOnceLate(service: ServicePressure, held: HeldReport): number {
    const backlog = this.backlog(service, held, totalWork);
    const late = LATE_SHARE_AHEAD * service.lateMillicoreMilliseconds;
    return waitMilliseconds({
      ...backlog,
      millicoreMilliseconds: backlog.millicoreMilliseconds + late,
    });
  }

  /** Returns what is ahead of a job now, given which part of a histogram is. */
  private backlog(
    service: ServicePressure,
    {likelyAgeMilliseconds: ageMilliseconds}: HeldReport,
    ahead: (histogram: SizeHistogram) => number,
  ): Backlog {
    const accepted = this.accepted.workOf(service.name, ageMilliseconds);
    const worked = service.usableMillicores * ageMilliseconds;
    const burstAge = service.pressedMilliseconds + ageMilliseconds;
    return {
      millicoreMilliseconds: Math.max(
        0,
        ahead(service.inTime) + ahead(accepted) - worked,
      ),
      usableMillicores: service.usableMillicores,
      incomingMillicores: service.incomingMillicores,
      incomingDelayMilliseconds: Math.max(
        0,
        service.incomingDelayMilliseconds - ageMilliseconds,
      ),
      arrivingMillicores: ahead(service.arrivingMillicores),
      arrivingMilliseconds: Math.max(0, BURST_MILLISECONDS - burstAge),
    };
  }
}

function jobWorkIn(report: PressureReport, job: JobSubmission): JobWork {
  const ratio = report.queues.find(({queue}) => queue === job.queue);
  return jobWorkOf(job, ratio);
}

/**
 * Returns whether a forecast for a job makes sense: not for work without an end or that is due
 * later, nor for a pool that waits for its first VM.
 */
function isDecidable(
  {repeat, steps}: JobSubmission,
  {usableMillicores, incomingMillicores}: ServicePressure,
): boolean {
  return (
    !repeat &&
    !steps.some(({longRunning}) => longRunning) &&
    usableMillicores + incomingMillicores > 0
  );
}

function figuresOf(
  forecast: JobForecast,
  service: ServicePressure,
  {report, ageMilliseconds}: HeldReport,
): Readonly<Record<string, number>> {
  const {work, objective, wait, end, millicoreMillisecondsAhead} = forecast;
  return {
    reportTerm: report.term,
    reportSequence: report.sequence,
    reportAgeMilliseconds: Math.round(ageMilliseconds),
    objectiveMilliseconds: Math.round(objective),
    waitMilliseconds: Math.round(wait),
    endMilliseconds: Math.round(end),
    criticalPathMilliseconds: Math.round(work.criticalPathMilliseconds),
    millicoreMilliseconds: Math.round(work.millicoreMilliseconds),
    millicoreMillisecondsAhead: Math.round(millicoreMillisecondsAhead),
    usableMillicores: Math.round(service.usableMillicores),
    incomingMillicores: Math.round(service.incomingMillicores),
  };
}
