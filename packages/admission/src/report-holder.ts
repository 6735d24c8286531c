import {isLaterReport, type PressureReport} from './pressure-report.js';

/** Time that a report takes from the coordinator to a daemon when the store is not slow. */
const TRANSIT_MILLISECONDS = 150;

/** A report that was read. */
export interface HeldReport {
  readonly report: PressureReport;
  /** Upper bound of its age. */
  readonly ageMilliseconds: number;
  /** What happened since the report is estimated by this: the bound counts too much of it. */
  readonly likelyAgeMilliseconds: number;
}

/** When a report was read. */
export interface ReportReading {
  readonly monotonicMilliseconds: number;
  readonly wallMilliseconds: number;
  /** Time since an earlier read that did not yet return the report; infinite if there was none. */
  readonly sinceEarlierReadMilliseconds: number;
}

/**
 * Holds the latest report of the highest term and bounds its age.
 * Load: wall clocks of daemons that differ by seconds, and a read that fails for seconds and then
 * returns old reports. Without a bound that does not rely on synchronised clocks, a daemon refuses
 * jobs because of a report about a burst that is over.
 */
export class ReportHolder {
  private latest: PressureReport | undefined;
  private readAt = -Infinity;
  private ageAtReading = Infinity;
  /** Lower bound of this daemon's wall clock minus that of the coordinator of the latest term. */
  private minimumClockDifference = -Infinity;

  /** Records a report; returns false if it is not later than the one that is held. */
  note(report: PressureReport, reading: ReportReading): boolean {
    const {latest} = this;
    if (latest && !isLaterReport(report, latest)) return false;
    if (latest?.term !== report.term) this.minimumClockDifference = -Infinity;
    // A report is at least as young as the time since a read that did not return it. So each
    // report also bounds the difference of the clocks, and with it the age of later ones.
    const difference = reading.wallMilliseconds - report.wallMilliseconds;
    this.minimumClockDifference = Math.max(
      this.minimumClockDifference,
      difference - reading.sinceEarlierReadMilliseconds,
    );
    this.latest = report;
    this.readAt = reading.monotonicMilliseconds;
    this.ageAtReading = Math.max(0, difference - this.minimumClockDifference);
    return true;
  }

  /** Returns the latest report; undefined before one was read. */
  held(nowMilliseconds: number): HeldReport | undefined {
    if (!this.latest) return undefined;
    const ageMilliseconds = this.ageAtReading + nowMilliseconds - this.readAt;
    const sinceReading = nowMilliseconds - this.readAt;
    return {
      report: this.latest,
      ageMilliseconds,
      likelyAgeMilliseconds: Math.min(
        ageMilliseconds,
        sinceReading + TRANSIT_MILLISECONDS,
      ),
    };
  }
}
