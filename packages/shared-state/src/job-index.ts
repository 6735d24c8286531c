import {JobState, type Job} from './planning-state.js';
import type {FleetState} from './fleet-state.js';

/** Teams of one pool with their queued keys, in order of submission. */
export type PoolQueue = Map<string, Set<string>>;

/**
 * Queues and counts over the jobs. A cancellation takes its key out of a Set; without this
 * a wave of 10,000 cancellations would scan the queue 10,000 times. Derived from the folded
 * state alone, so it is no part of the state's hash.
 */
export class JobIndex {
  /** Queued keys by pool and team. */
  readonly queues = new Map<string, PoolQueue>();
  /** Placed keys by VM. */
  readonly placedKeysByVm = new Map<string, Set<string>>();
  private readonly queuedCountByTeam = new Map<string, number>();
  private readonly slotsByTeam = new Map<string, number>();
  private readonly slotsByVm = new Map<string, number>();
  /** Placed jobs that somebody cancelled. */
  readonly cancelledPlacedKeys = new Set<string>();
  /** Rises with each job that enters a queue: tells a planner that there is something to place. */
  enqueueCount = 0;
  private indexedJobsHash: bigint;

  constructor(private readonly state: FleetState) {
    for (const job of state.jobs.values()) this.add(job);
    this.indexedJobsHash = state.jobs.hash;
  }

  /** Slots that a team's placed jobs hold. */
  teamSlots(team: string): number {
    return this.slotsByTeam.get(team) ?? 0;
  }

  /** Slots that placed jobs hold on a VM. */
  vmSlots(vm: string): number {
    return this.slotsByVm.get(vm) ?? 0;
  }

  /** Jobs of a team that wait, in all pools. */
  queuedCountOfTeam(team: string): number {
    return this.queuedCountByTeam.get(team) ?? 0;
  }

  queuedCountOfPool(pool: string): number {
    let count = 0;
    for (const keys of this.queues.get(pool)?.values() ?? [])
      count += keys.size;
    return count;
  }

  /** Writes a job and keeps queues and counts right. */
  put(job: Job): void {
    const {jobs} = this.state;
    const before = jobs.get(job.key);
    if (before) this.remove(before);
    // Put at the end again, so that the order of the Map is the order of the queue.
    if (before && job.state === JobState.Queued) jobs.delete(job.key);
    jobs.set(job.key, job);
    this.add(job);
    this.indexedJobsHash = jobs.hash;
  }

  /** Takes out an ended job. */
  deleteEnded(key: string): void {
    this.state.jobs.delete(key);
    this.indexedJobsHash = this.state.jobs.hash;
  }

  /** Whether the index belongs to what the state holds now. */
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

/** The queues and counts of a state. */
export function jobIndexOf(state: FleetState): JobIndex {
  const cached = INDEXES.get(state);
  if (cached?.isCurrent()) return cached;
  const index = new JobIndex(state);
  INDEXES.set(state, index);
  return index;
}
