import {SubjectKind} from '@gentiandoor/kernel';
import {
  RecordKind,
  capacityIndexOf,
  jobIndexOf,
  type FleetState,
  type Job,
  type JobSize,
  type PoolEntry,
} from '@gentiandoor/shared-state';
import {FreeCapacity} from './free-capacity.js';
import type {
  PlannerInput,
  PlanningStage,
  ProposedRecord,
} from './planner-input.js';
import type {JobSizeEstimator} from './job-size-estimator.js';
import {TeamOrder} from './team-order.js';
import type {FaultyVmDetector} from './faulty-vm-detector.js';

/** Maximum placements per round: what the log accepts per second besides all other records. */
export const MAXIMUM_PLACEMENTS_PER_ROUND = 200;
/**
 * Maximum jobs of one team per round that are skipped because they do not fit; the team's remaining
 * jobs wait behind them.
 */
const MAXIMUM_SKIPPED_JOBS = 16;

/**
 * Places queued jobs on VMs of their pool.
 * Load: a queue headed by one team or one huge job. Teams take turns by weight and by the slots
 * they hold, urgent teams first, and a job that does not fit now is skipped, for a limited number
 * of jobs. A job that fits no VM of its pool, even an empty one, is set aside with the reason
 * instead of waiting forever.
 */
export class JobPlacer implements PlanningStage {
  constructor(
    private readonly jobSizeEstimator: JobSizeEstimator,
    private readonly faultyVmDetector: FaultyVmDetector,
  ) {}

  plan(input: PlannerInput): ProposedRecord[] {
    const proposals: ProposedRecord[] = [];
    for (const pool of jobIndexOf(input.state).queues.keys()) {
      if (proposals.length >= MAXIMUM_PLACEMENTS_PER_ROUND) break;
      this.planPool(input.state, pool, proposals);
    }
    return proposals;
  }

  private planPool(
    state: FleetState,
    pool: string,
    proposals: ProposedRecord[],
  ): void {
    const entry = state.inForce?.bundle.pools[pool];
    if (!entry || jobIndexOf(state).queuedCountOfPool(pool) === 0) return;
    const free = this.freeCapacity(state, pool, entry);
    const teams = new TeamOrder(state, pool);
    let team = teams.next();
    while (
      team !== undefined &&
      proposals.length < MAXIMUM_PLACEMENTS_PER_ROUND
    ) {
      const proposal = this.placeOne(state, entry, free, teams, team);
      if (proposal) proposals.push(proposal);
      else teams.exclude(team);
      team = teams.next();
    }
  }

  private placeOne(
    state: FleetState,
    entry: PoolEntry,
    free: FreeCapacity,
    teams: TeamOrder,
    team: string,
  ): ProposedRecord | undefined {
    let skipped = 0;
    for (const key of teams.queuedKeys(team)) {
      const job = state.jobs.get(key);
      if (!job) continue;
      const size = this.jobSizeEstimator.sizeOf(job, entry);
      const reason = impossibleReason(state, job, entry);
      if (reason !== undefined) {
        teams.recordTaken(team, key, 0);
        return setAside(job, reason);
      }
      if (!teams.isWithinQuota(team, job.size.slots)) return undefined;
      const vm = free.allocate(size, new Set(job.failedOn));
      if (vm !== undefined) {
        teams.recordTaken(team, key, job.size.slots);
        return place(job, vm, size);
      }
      if (++skipped >= MAXIMUM_SKIPPED_JOBS) return undefined;
    }
    return undefined;
  }

  private freeCapacity(
    state: FleetState,
    pool: string,
    entry: PoolEntry,
  ): FreeCapacity {
    const index = capacityIndexOf(state);
    const jobs = jobIndexOf(state);
    const free = new FreeCapacity(entry);
    for (const vm of index.pool(pool).vms) {
      if (!index.isAvailable(vm) || this.faultyVmDetector.isFaulty(pool, vm))
        continue;
      free.add(vm);
      for (const key of jobs.placedKeysByVm.get(vm) ?? []) {
        const job = state.jobs.get(key);
        if (job) free.deduct(vm, this.jobSizeEstimator.sizeOf(job, entry));
      }
    }
    return free;
  }
}

function impossibleReason(
  state: FleetState,
  job: Job,
  entry: PoolEntry,
): string | undefined {
  const {size} = job;
  const fits =
    size.processors <= entry.processors &&
    size.memoryGigabytes <= entry.memoryGigabytes &&
    size.accelerators <= entry.accelerators &&
    size.slots <= entry.slots;
  if (!fits) return `no VM of pool ${job.pool} is large enough any more`;
  const team = state.inForce?.bundle.teams[job.team];
  if (!team) return `team ${job.team} has left the bundle`;
  if (size.slots > team.slots)
    return `team ${job.team} has ${team.slots} slots and the job takes ${size.slots}`;
  return undefined;
}

function place(job: Job, vm: string, size: JobSize): ProposedRecord {
  const attempt = job.attempt + 1;
  return {
    record: {kind: RecordKind.JobPlaced, key: job.key, attempt, vm},
    decision: {
      subject: SubjectKind.Job,
      id: job.key,
      decision: `run job ${job.key} on VM ${vm}, attempt ${attempt}`,
      rule: 'job-placer: urgent teams first, then by weight; fullest VM that fits',
      cause: 'it is the next job of its team and fits',
      evidence: {
        team: job.team,
        processors: size.processors,
        memoryGigabytes: size.memoryGigabytes,
        declaredProcessors: job.size.processors,
      },
      turnedDown: job.failedOn.map(failed => ({
        choice: `VM ${failed}`,
        because: 'the job failed there',
      })),
    },
  };
}

function setAside(job: Job, reason: string): ProposedRecord {
  return {
    record: {kind: RecordKind.JobSetAside, key: job.key, reason},
    decision: {
      subject: SubjectKind.Job,
      id: job.key,
      decision: `set job ${job.key} aside`,
      rule: 'job-placer: a job that can never run does not wait',
      cause: reason,
      evidence: {pool: job.pool, team: job.team},
    },
  };
}
