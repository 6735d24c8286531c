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

/** A spill is recorded in the journal again after this long without one. */
const SPILL_QUIET_MILLISECONDS = 10_000;

const CAUSE_BY_SPILL_REASON: Readonly<Record<SpillReason, string>> = {
  [SpillReason.DataCentreFull]:
    'every slot in this data centre that this daemon may use is taken',
  [SpillReason.DataCentreUnavailable]: 'no VM in this data centre can be used',
};

/** Reports one pool's routing decisions to the metrics and to `explain`. */
export class RoutingEvents {
  private lastSpillAt = -Infinity;

  constructor(
    private readonly pool: string,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly journal: DecisionJournal,
  ) {}

  /** Counts each request sent to another data centre; the journal records only when this starts. */
  onSpill(reason: SpillReason): void {
    this.metrics.increment(MetricName.Spills, {reason});
    const now = this.clock.monotonicMilliseconds();
    const isFirstSpill = now - this.lastSpillAt > SPILL_QUIET_MILLISECONDS;
    this.lastSpillAt = now;
    if (!isFirstSpill) return;
    this.journal.record({
      subject: SubjectKind.Pool,
      id: this.pool,
      decision: 'send work to VMs in other data centres',
      rule: 'near-before-far',
      cause: CAUSE_BY_SPILL_REASON[reason],
      evidence: {reason},
    });
  }

  /** Counts and records that a VM was ejected or is in use again. */
  onEjectionStateChange(change: EjectionStateChange): void {
    const {to, from, ejectionMilliseconds, failuresInARow, failureShare} =
      change;
    this.metrics.increment(MetricName.StandingChanges, {standing: to});
    const isEjected = to === EjectionState.Ejected;
    this.journal.record({
      subject: SubjectKind.Vm,
      id: change.target,
      decision: isEjected
        ? `send it nothing for ${ejectionMilliseconds} ms`
        : 'use it again',
      rule: 'bounded-ejection',
      cause: isEjected ? 'its exchanges fail' : 'its probes were answered',
      evidence: {pool: this.pool, from, failuresInARow, failureShare},
    });
  }
}
