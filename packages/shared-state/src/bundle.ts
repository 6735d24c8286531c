/** Whether work of a service is short or long; long work leaves room for short. */
export enum WorkClass {
  Short = 'short',
  Long = 'long',
}

/** The failure domain whose loss a budget must survive. */
export enum FailureDomain {
  None = 'none',
  Vm = 'vm',
  Rack = 'rack',
  DataCentre = 'data_centre',
}

/** Whether a non-idempotent request of a service needs an idempotency key. */
export enum KeyRule {
  Required = 'required',
  Optional = 'optional',
}

/** An operator who may propose and sign off bundles. */
export interface OperatorEntry {
  /** Ed25519 public key: SPKI DER in base64. */
  readonly publicKey: string;
  readonly revoked: boolean;
}

/** A rack and the VMs in it. */
export interface RackEntry {
  readonly dataCentre: string;
  readonly vms: readonly string[];
}

/** A pool of VMs of one shape. */
export interface PoolEntry {
  /** VMs that the pool shall have; moves bring the owned ones towards it. */
  readonly vms: readonly string[];
  /** Exchanges at one time on a VM. */
  readonly slots: number;
  /** Connections at one time to a VM. */
  readonly connections: number;
  readonly processors: number;
  readonly memoryGigabytes: number;
  readonly accelerators: number;
}

/** What must stay available of a service. */
export interface BudgetEntry {
  /** VMs that must stay available. */
  readonly availableVms: number;
  /** The budget must hold after the loss of the largest such domain. */
  readonly survive: FailureDomain;
  /** VMs that may be leaving by plan at one time. */
  readonly leavingAtOnce: number;
}

/** A service and how its requests are treated. */
export interface ServiceEntry {
  readonly pool: string;
  readonly workClass: WorkClass;
  /** Longest time from a request's head to the head of its answer. */
  readonly deadlineMilliseconds: number;
  /** Longest wait for a slot. */
  readonly waitMilliseconds: number;
  /** Requests that may wait at one daemon. */
  readonly queueLimit: number;
  readonly keyRule: KeyRule;
  /** Whether only callers named in the bundle are served. */
  readonly callersOnly: boolean;
  readonly budget: BudgetEntry;
}

/** A team with its quota. */
export interface TeamEntry {
  /** Share of a pool's slots relative to other teams. */
  readonly weight: number;
  /** Slots at one time over the whole deployment. */
  readonly slots: number;
  /** Whether its work is urgent and goes first. */
  readonly urgent: boolean;
}

/** An authenticated caller. */
export interface CallerEntry {
  readonly team: string;
  /** SHA-256 of the caller's key, in hexadecimal. */
  readonly keyDigest: string;
}

/** How a deployment weighs its two costs. */
export interface CostWeights {
  readonly buffer: number;
  readonly move: number;
}

/** A version of the configuration, parsed. */
export interface Bundle {
  readonly version: number;
  /** Version that it was made from; 0 for the first. */
  readonly base: number;
  readonly author: string;
  /** Sign-offs needed, the author's not counted. */
  readonly signOffs: number;
  readonly weights: CostWeights;
  readonly operators: Readonly<Record<string, OperatorEntry>>;
  readonly racks: Readonly<Record<string, RackEntry>>;
  readonly pools: Readonly<Record<string, PoolEntry>>;
  readonly services: Readonly<Record<string, ServiceEntry>>;
  readonly teams: Readonly<Record<string, TeamEntry>>;
  readonly callers: Readonly<Record<string, CallerEntry>>;
}
