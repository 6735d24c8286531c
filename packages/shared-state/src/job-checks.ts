import {capacityIndexOf} from './capacity-index.js';
import type {Job} from './planning-state.js';
import {
  RejectionReason,
  type FleetState,
  type Rejection,
} from './fleet-state.js';
import {jobIndexOf} from './job-index.js';
import type {JobSubmitted} from './job-records.js';
import {sha256Hex} from './signatures.js';

/** Maximum jobs that are queued or running: about 50 MB of the state with short payloads. */
export const MAXIMUM_ACTIVE_JOBS = 50_000;

/** Maximum queued jobs of one team, so that one team cannot fill the queue shared by all. */
export const MAXIMUM_QUEUED_JOBS_PER_TEAM = 12_500;

/** Rejects a submission whose key belongs to a different job. */
export function checkSameJob(
  known: Job,
  record: JobSubmitted,
): Rejection | undefined {
  const same =
    known.team === record.team &&
    known.pool === record.pool &&
    known.payloadDigest === sha256Hex(record.payload);
  if (same) return undefined;
  return {
    reason: RejectionReason.JobDuplicate,
    detail: `key ${record.key} belongs to another job of team ${known.team}; use a new key`,
  };
}

/** Returns why a submitted job is rejected; undefined if it is accepted. */
export function checkSubmission(
  state: FleetState,
  record: JobSubmitted,
): Rejection | undefined {
  const bundle = state.inForce?.bundle;
  const pool = bundle?.pools[record.pool];
  if (!pool) {
    return {
      reason: RejectionReason.PoolUnknown,
      detail: `pool ${record.pool} is not in the bundle in force`,
    };
  }
  const team = bundle?.teams[record.team];
  if (!team) {
    return {
      reason: RejectionReason.TeamUnknown,
      detail: `team ${record.team} is not in the bundle in force`,
    };
  }
  const limitRejection = checkQueueLimits(state, record.team);
  if (limitRejection) return limitRejection;
  const {size} = record;
  const fits =
    size.processors <= pool.processors &&
    size.memoryGigabytes <= pool.memoryGigabytes &&
    size.accelerators <= pool.accelerators &&
    size.slots <= Math.min(pool.slots, team.slots);
  if (fits) return undefined;
  return {
    reason: RejectionReason.JobImpossible,
    detail: `job ${record.key} requests ${size.processors} processors, ${size.memoryGigabytes} GB, ${size.accelerators} accelerators and ${size.slots} slots; a VM of pool ${record.pool} has ${pool.processors}, ${pool.memoryGigabytes}, ${pool.accelerators} and ${pool.slots}, team ${record.team} has ${team.slots} slots`,
  };
}

function checkQueueLimits(
  state: FleetState,
  team: string,
): Rejection | undefined {
  const active = state.jobs.size - state.endedJobs.size;
  const queued = jobIndexOf(state).queuedCountOfTeam(team);
  if (active < MAXIMUM_ACTIVE_JOBS && queued < MAXIMUM_QUEUED_JOBS_PER_TEAM)
    return undefined;
  return {
    reason: RejectionReason.QuotaExceeded,
    detail: `${queued} jobs of team ${team} are queued (at most ${MAXIMUM_QUEUED_JOBS_PER_TEAM}) and ${active} jobs of all teams are queued or running (at most ${MAXIMUM_ACTIVE_JOBS}); submit again when some have ended`,
  };
}

/** Returns why an attempt cannot be placed on a VM; undefined if it can. */
export function checkPlacement(
  state: FleetState,
  job: Job,
  vm: string,
): Rejection | undefined {
  const bundle = state.inForce?.bundle;
  const owner = state.vms.get(vm);
  if (owner?.pool !== job.pool || !capacityIndexOf(state).isAvailable(vm)) {
    return {
      reason: RejectionReason.VmUnknown,
      detail: `VM ${vm} is not an available VM of pool ${job.pool}`,
    };
  }
  const index = jobIndexOf(state);
  const slots = bundle?.pools[job.pool]?.slots ?? 0;
  const quota = bundle?.teams[job.team]?.slots ?? 0;
  if (index.vmSlots(vm) + job.size.slots > slots) {
    return {
      reason: RejectionReason.BudgetExceeded,
      detail: `VM ${vm} has ${slots} slots and ${index.vmSlots(vm)} are taken`,
    };
  }
  if (index.teamSlots(job.team) + job.size.slots <= quota) return undefined;
  return {
    reason: RejectionReason.QuotaExceeded,
    detail: `team ${job.team} holds ${index.teamSlots(job.team)} of its ${quota} slots`,
  };
}
