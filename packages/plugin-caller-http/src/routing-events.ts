import {
  MetricName,
  SubjectKind,
  type Clock,
  type DecisionJournal,
  type Metrics,
} from '@gentiandoor/kernel';
import {
  SpillReason,
  EjectionState,
  type EjectionStateChange,
} from '@gentiandoor/decisions';

/** A spill is noted again after this long without one. */
const SPILL_QUIET_MILLISECONDS = 10_000;

const CAUSE_BY_SPILL_REASON: Readonly<Record<SpillReason, string>> = {
  [SpillReason.DataCentreFull]:
    'every slot in this data centre that this daemon may use is taken',
  [SpillReason.DataCentreUnavailable]: 'no VM in this data centre can be used',
};

/** Tells metrics and `explain` what one pool's routing decided. */
export class RoutingEvents {
  private lastSpillAt = -Infinity;

  constructor(
    private readonly pool: string,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly journal: DecisionJournal,
  ) {}

  /** Work went to another data centre: counted each time, in the journal when it begins. */
  onSpill(reason: SpillReason): void {
    this.metrics.increment(MetricName.Spills, {reason});
    const now = this.clock.monotonicMilliseconds();
    const begins = now - this.lastSpillAt > SPILL_QUIET_MILLISECONDS;
    this.lastSpillAt = now;
    if (!begins) return;
    this.journal.record({
      subject: SubjectKind.Pool,
      id: this.pool,
      decision: 'send work to VMs in other data centres',
      rule: 'near-before-far',
      cause: CAUSE_BY_SPILL_REASON[reason],
      evidence: {reason},
    });
  }

  /** A VM was ejected, or came back. */
  onEjectionStateChange(change: EjectionStateChange): void {
    const {
      to,
      from,
      ejectionMilliseconds: outMilliseconds,
      failuresInARow,
      failureShare,
    } = change;
    this.metrics.increment(MetricName.StandingChanges, {standing: to});
    const isOut = to === EjectionState.Ejected;
    this.journal.record({
      subject: SubjectKind.Vm,
      id: change.target,
      decision: isOut
        ? `send it nothing for ${outMilliseconds} ms`
        : 'use it again',
      rule: 'bounded-ejection',
      cause: isOut ? 'its exchanges fail' : 'its probes were answered',
      evidence: {pool: this.pool, from, failuresInARow, failureShare},
    });
  }
}
