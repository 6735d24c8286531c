/** Whether the requests of a service are short or long; long ones leave slots for short ones. */
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

/** Whether non-idempotent requests to a service need an idempotency key. */
export enum KeyRule {
  Required = 'required',
  Optional = 'optional',
}

/** An operator who may propose and sign off bundles. */
export interface OperatorEntry {
  /** Ed25519 public key (SPKI DER, base64). */
  readonly publicKey: string;
  readonly revoked: boolean;
}

/** A rack with its data centre and VMs. */
export interface RackEntry {
  readonly dataCentre: string;
  readonly vms: readonly string[];
}

/** A pool of VMs of one shape. */
export interface PoolEntry {
  /** Desired VMs of the pool; moves change the owned VMs towards this list. */
  readonly vms: readonly string[];
  /** Maximum concurrent exchanges per VM. */
  readonly slots: number;
  /** Maximum concurrent connections per VM. */
  readonly connections: number;
  readonly processors: number;
  readonly memoryGigabytes: number;
  readonly accelerators: number;
}

/** Availability budget of a service. */
export interface BudgetEntry {
  /** VMs that must stay available. */
  readonly availableVms: number;
  /** Kind of failure domain: the budget must still be met after losing the largest one. */
  readonly survive: FailureDomain;
  /** Maximum VMs out of service for planned work at one time. */
  readonly leavingAtOnce: number;
}

/** A service with the pool that runs it and the limits for its requests. */
export interface ServiceEntry {
  readonly pool: string;
  readonly workClass: WorkClass;
  /** Maximum time from the head of a request to the head of its response. */
  readonly deadlineMilliseconds: number;
  /** Maximum time that a request waits for a slot. */
  readonly waitMilliseconds: number;
  /** Maximum requests that wait at one daemon. */
  readonly queueLimit: number;
  readonly keyRule: KeyRule;
  /** Whether only callers listed in the bundle may use the service. */
  readonly callersOnly: boolean;
  readonly budget: BudgetEntry;
}

/** A team with its share and quota of slots. */
export interface TeamEntry {
  /** Share of a pool's slots, relative to the weights of other teams. */
  readonly weight: number;
  /** Maximum slots in use at one time across the whole deployment. */
  readonly slots: number;
  /** Whether the work of the team is urgent and runs before other work. */
  readonly urgent: boolean;
}

/** A caller that authenticates with a key. */
export interface CallerEntry {
  readonly team: string;
  /** SHA-256 digest of the caller's key, in hexadecimal. */
  readonly keyDigest: string;
}

/** Relative weights of the two costs of a plan: spare capacity and moves. */
export interface CostWeights {
  readonly buffer: number;
  readonly move: number;
}

/** One parsed version of the configuration. */
export interface Bundle {
  readonly version: number;
  /** Version that this one is based on; 0 for the first bundle. */
  readonly base: number;
  readonly author: string;
  /** Required sign-offs, not counting the author's. */
  readonly signOffs: number;
  readonly weights: CostWeights;
  readonly operators: Readonly<Record<string, OperatorEntry>>;
  readonly racks: Readonly<Record<string, RackEntry>>;
  readonly pools: Readonly<Record<string, PoolEntry>>;
  readonly services: Readonly<Record<string, ServiceEntry>>;
  readonly teams: Readonly<Record<string, TeamEntry>>;
  readonly callers: Readonly<Record<string, CallerEntry>>;
}
