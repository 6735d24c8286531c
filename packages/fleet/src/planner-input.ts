import type {Decision} from '@gentiandoor/kernel';
import type {
  DrainEnded,
  DrainStarted,
  PlanningRecord,
  FleetRecord,
  FleetState,
  ListedVm,
  VmActionState,
} from '@gentiandoor/shared-state';

/** Everything that one planning round looks at. */
export interface PlannerInput {
  readonly state: FleetState;
  /** Milliseconds, monotonic. */
  readonly now: number;
  /** Milliseconds since the Unix epoch; for records and display only. */
  readonly wallNow: number;
  readonly vmList: ReadonlyMap<string, ListedVm>;
  readonly vmListAgeMilliseconds: number;
  /** VMs that daemons have first-hand evidence against. */
  readonly suspectedVms: ReadonlySet<string>;
  /** Actions asked of the platform, by action id, as last heard. */
  readonly vmActions: ReadonlyMap<string, VmActionState>;
}

type DraftOf<Entry extends FleetRecord> = Entry extends FleetRecord
  ? Omit<Entry, 'id' | 'writer' | 'term'>
  : never;

/** A record without the fields that the planner fills in. */
export type DraftRecord = DraftOf<PlanningRecord | DrainStarted | DrainEnded>;

/** A record that the planner wants to write, with the reasons for it. */
export interface ProposedRecord {
  readonly record: DraftRecord;
  readonly decision: Decision;
}

/** One part of the planning; keeps what it saw between rounds. */
export interface PlanningStage {
  plan(input: PlannerInput): ProposedRecord[];
}
