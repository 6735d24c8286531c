import type {WavePreview} from '@gentiandoor/fleet';
import type {JournalEntry} from '@gentiandoor/kernel';
import type {
  ServiceBudgetStatus,
  JobSize,
  JobState,
  RejectionReason,
  VmCondition,
  WaveScope,
  WaveState,
  PlannedWorkKind,
  PlannedWorkStep,
} from '@gentiandoor/shared-state';

/**
 * Admin paths of the fleet. A POST responds with 200 and `AcceptedBody`, 409 and
 * `RefusedBody` where the fold rejected the record, 400 and `BadInputBody`, or 503 and
 * `RefusedBody` while the log is unreachable: then the record may still take effect, and
 * it is safe to send the same `requestId` again.
 */
export enum FleetPath {
  Drains = '/fleet/drains',
  Returns = '/fleet/returns',
  Moves = '/fleet/moves',
  Waves = '/fleet/waves',
  WavePreview = '/fleet/waves/preview',
  Members = '/fleet/members',
  MemberRemovals = '/fleet/members/removals',
  Vms = '/fleet/vms',
  Pools = '/fleet/pools',
  Budgets = '/fleet/budgets',
  Jobs = '/jobs',
  JobsCancel = '/jobs/cancel',
  Explain = '/explain',
}

/** Fields of every POST. */
export interface OperatorRequest {
  /** Recorded as the writer of the record. */
  readonly operator?: string;
  /** Id of the request; a request with the same id takes effect once. */
  readonly requestId?: string;
}

/** POST /fleet/drains */
export interface DrainRequest extends OperatorRequest {
  readonly vm: string;
  readonly reason: string;
}

/** POST /fleet/returns: ends a drain, or takes back a VM that was handed over. */
export interface ReturnRequest extends OperatorRequest {
  readonly vm: string;
}

/** POST /fleet/moves */
export interface MoveRequest extends OperatorRequest {
  readonly action: 'start' | 'abort';
  readonly vm: string;
  /** Required for a start. */
  readonly toPool?: string;
  readonly reason: string;
}

/** POST /fleet/waves */
export interface WaveRequest extends OperatorRequest {
  readonly action: 'start' | 'hold' | 'resume' | 'abort';
  readonly wave: string;
  readonly reason: string;
  /** Scope of a start; all VMs where it is missing. */
  readonly scope?: WaveScope;
}

/** POST /fleet/members/removals: the daemon must really have stopped. */
export interface MemberRemovalRequest extends OperatorRequest {
  /** Name of the daemon. */
  readonly name: string;
  readonly reason: string;
}

/** POST /jobs */
export interface JobRequest extends OperatorRequest {
  readonly key: string;
  readonly team: string;
  readonly pool: string;
  readonly jobClass?: string;
  readonly idempotent: boolean;
  readonly size: JobSize;
  readonly payload: string;
}

/** POST /jobs/cancel */
export interface CancelRequest extends OperatorRequest {
  readonly keys: readonly string[];
}

/** Response to a POST that took effect. */
export interface AcceptedBody {
  readonly accepted: true;
  /** Offset of the record. */
  readonly offset: number;
}

/** Response to a POST that had no effect, or whose effect is not known yet. */
export interface RefusedBody {
  readonly accepted: false;
  readonly reason: RejectionReason | 'log_unavailable';
  /** A sentence that operators can act on. */
  readonly error: string;
}

/** Response to a malformed request. */
export interface BadInputBody {
  readonly error: string;
}

/** Planned work on a VM as shown to operators. */
export interface WorkBody {
  readonly kind: PlannedWorkKind;
  readonly step: PlannedWorkStep;
  readonly reason: string;
  readonly writer: string;
  readonly startedAt: number;
  readonly attempts: number;
  /** Names of daemons that have not acknowledged. */
  readonly waitsFor: readonly string[];
  readonly toPool?: string;
  readonly wave?: string;
}

/** GET /fleet/vms?pool=...&id=...: an array of these. */
export interface VmBody {
  readonly id: string;
  readonly pool: string;
  readonly epoch: number;
  readonly rack: string;
  readonly dataCentre: string;
  readonly condition: VmCondition;
  readonly available: boolean;
  readonly work?: WorkBody;
  /** Why the VM was handed over to operators. */
  readonly handedOver?: string;
  /** Milliseconds since the Unix epoch. */
  readonly maintainedAt?: number;
}

/** GET /fleet/pools: an array of these. */
export interface PoolBody {
  readonly pool: string;
  readonly owned: number;
  /** VMs that the bundle lists. */
  readonly desired: number;
  readonly available: number;
  readonly planned: number;
  readonly services: readonly string[];
  readonly queuedJobs: number;
}

/** GET /fleet/budgets */
export interface BudgetsBody {
  /** Services whose budget is not met; while there are any, planned work is stopped. */
  readonly broken: readonly string[];
  readonly services: readonly ServiceBudgetStatus[];
}

/** GET /fleet/waves: an array of these. */
export interface WaveBody {
  readonly id: string;
  readonly reason: string;
  readonly startedBy: string;
  readonly state: WaveState;
  readonly stateReason: string;
  readonly total: number;
  readonly remaining: number;
  readonly active: number;
  readonly done: number;
  readonly failed: number;
  readonly handedOver: number;
  /**
   * Milliseconds to the end at the pace that this daemon observed; missing until it has
   * observed any.
   */
  readonly forecastMilliseconds?: number;
}

/**
 * GET /fleet/waves/preview?wave=... for a wave that was started, or ?pools=...&dataCentres=...,
 * comma-separated, for one that was not: what the wave would do now. Nothing is written.
 */
export type WavePreviewBody = WavePreview;

/** GET /fleet/members: an array of these. */
export interface MemberBody {
  readonly name: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly peerAddress: string;
  /** Whether the daemon that responds is this member or has a link to it. */
  readonly linked: boolean;
  /** Whether this member plans for the fleet. */
  readonly plans: boolean;
  /** VMs whose drain waits for the acknowledgement of this member. */
  readonly holdsUp: readonly string[];
}

/** GET /jobs?key=...&state=...&limit=...: an array of these. */
export interface JobBody {
  readonly key: string;
  readonly team: string;
  readonly pool: string;
  readonly state: JobState;
  readonly attempt: number;
  readonly vm?: string;
  readonly reason?: string;
}

/** GET /explain?subject=vm&id=...: decisions that this daemon made, oldest first. */
export interface ExplainBody {
  readonly subject: string;
  readonly id: string;
  /** The daemon that plans now and so has most decisions; empty when none does. */
  readonly planner: string;
  readonly decisions: readonly JournalEntry[];
}
