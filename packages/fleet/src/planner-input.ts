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

/** All inputs of one planning round. */
export interface PlannerInput {
  readonly state: FleetState;
  /** Monotonic milliseconds. */
  readonly now: number;
  /** Milliseconds since the Unix epoch; for records and display only. */
  readonly wallNow: number;
  readonly vmList: ReadonlyMap<string, ListedVm>;
  readonly vmListAgeMilliseconds: number;
  /** VMs against which daemons have first-hand evidence. */
  readonly suspectedVms: ReadonlySet<string>;
  /** Actions requested from the platform, by action id, with the last known state. */
  readonly vmActions: ReadonlyMap<string, VmActionState>;
}

type DraftOf<Entry extends FleetRecord> = Entry extends FleetRecord
  ? Omit<Entry, 'id' | 'writer' | 'term'>
  : never;

/** A record without the fields that the planner fills in. */
export type DraftRecord = DraftOf<PlanningRecord | DrainStarted | DrainEnded>;

/** A record that the planner wants to write, with the decision behind it. */
export interface ProposedRecord {
  readonly record: DraftRecord;
  readonly decision: Decision;
}

/** One stage of planning; may keep observations between rounds. */
export interface PlanningStage {
  plan(input: PlannerInput): ProposedRecord[];
}
