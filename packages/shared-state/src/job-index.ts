import {JobState, type Job} from './planning-state.js';
import type {FleetState} from './fleet-state.js';

/** Queued keys of one pool by team, in queue order. */
export type PoolQueue = Map<string, Set<string>>;

/**
 * Maintains queues and counters of the jobs. A cancellation deletes its key from a Set; without
 * this, 10,000 cancellations at once would scan the queue 10,000 times. The index is derived
 * from the folded state alone, so it is not part of its hash.
 */
export class JobIndex {
  /** Queued keys by pool and team. */
  readonly queues = new Map<string, PoolQueue>();
  /** Placed keys by VM. */
  readonly placedKeysByVm = new Map<string, Set<string>>();
  private readonly queuedCountByTeam = new Map<string, number>();
  private readonly slotsByTeam = new Map<string, number>();
  private readonly slotsByVm = new Map<string, number>();
  /** Keys of placed jobs whose cancellation was requested. */
  readonly cancelledPlacedKeys = new Set<string>();
  /**
   * Incremented for each job that enters a queue, which tells a planner that there are jobs to
   * place.
   */
  enqueueCount = 0;
  private indexedJobsHash: bigint;

  constructor(private readonly state: FleetState) {
    for (const job of state.jobs.values()) this.add(job);
    this.indexedJobsHash = state.jobs.hash;
  }

  /** Returns the slots that the placed jobs of a team hold. */
  teamSlots(team: string): number {
    return this.slotsByTeam.get(team) ?? 0;
  }

  /** Returns the slots that placed jobs hold on a VM. */
  vmSlots(vm: string): number {
    return this.slotsByVm.get(vm) ?? 0;
  }

  /** Returns the number of queued jobs of a team in all pools. */
  queuedCountOfTeam(team: string): number {
    return this.queuedCountByTeam.get(team) ?? 0;
  }

  /** Returns the number of queued jobs of all teams in a pool. */
  queuedCountOfPool(pool: string): number {
    let count = 0;
    for (const keys of this.queues.get(pool)?.values() ?? [])
      count += keys.size;
    return count;
  }

  /** Adds or replaces a job and updates the queues and counters. */
  put(job: Job): void {
    const {jobs} = this.state;
    const before = jobs.get(job.key);
    if (before) this.remove(before);
    // Moved to the end, so that the order of the Map is the order of the queue.
    if (before && job.state === JobState.Queued) jobs.delete(job.key);
    jobs.set(job.key, job);
    this.add(job);
    this.indexedJobsHash = jobs.hash;
  }

  /** Deletes an ended job. */
  deleteEnded(key: string): void {
    this.state.jobs.delete(key);
    this.indexedJobsHash = this.state.jobs.hash;
  }

  /** Whether the index matches the current state. */
  isCurrent(): boolean {
    return this.indexedJobsHash === this.state.jobs.hash;
  }

  private add(job: Job): void {
    if (job.state === JobState.Queued) this.enqueue(job);
    if (job.state !== JobState.Placed || job.vm === undefined) return;
    const keys = this.placedKeysByVm.get(job.vm) ?? new Set();
    this.placedKeysByVm.set(job.vm, keys.add(job.key));
    this.addHeldSlots(job, job.vm, job.size.slots);
    if (job.cancelRequested) this.cancelledPlacedKeys.add(job.key);
  }

  private remove(job: Job): void {
    if (job.state === JobState.Queued) {
      this.queues.get(job.pool)?.get(job.team)?.delete(job.key);
      this.queuedCountByTeam.set(
        job.team,
        this.queuedCountOfTeam(job.team) - 1,
      );
    }
    if (job.state !== JobState.Placed || job.vm === undefined) return;
    const keys = this.placedKeysByVm.get(job.vm);
    keys?.delete(job.key);
    if (keys?.size === 0) this.placedKeysByVm.delete(job.vm);
    this.addHeldSlots(job, job.vm, -job.size.slots);
    this.cancelledPlacedKeys.delete(job.key);
  }

  private enqueue(job: Job): void {
    const teams = this.queues.get(job.pool) ?? new Map<string, Set<string>>();
    const keys = teams.get(job.team) ?? new Set();
    this.queues.set(job.pool, teams.set(job.team, keys.add(job.key)));
    this.queuedCountByTeam.set(job.team, this.queuedCountOfTeam(job.team) + 1);
    this.enqueueCount++;
  }

  private addHeldSlots(job: Job, vm: string, slots: number): void {
    this.slotsByTeam.set(job.team, this.teamSlots(job.team) + slots);
    this.slotsByVm.set(vm, this.vmSlots(vm) + slots);
  }
}

const INDEXES = new WeakMap<FleetState, JobIndex>();

/** Returns the cached index of a state; rebuilds it if it is out of date. */
export function jobIndexOf(state: FleetState): JobIndex {
  const cached = INDEXES.get(state);
  if (cached?.isCurrent()) return cached;
  const index = new JobIndex(state);
  INDEXES.set(state, index);
  return index;
}
