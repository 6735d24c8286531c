import {
  LogEvent,
  MetricName,
  type Logger,
  type Metrics,
} from '@gentiandoor/kernel';
import type {KeyedRecord} from '@gentiandoor/jobs';
import type {RecordFormats} from './record-formats.js';
import type {WorkerEntry} from './worker-gateway.js';
import {reportsStart, startedEarlier} from './worker-incarnation.js';

/** Why an entry is not used. */
export enum EntryRejection {
  /** It cannot be decoded, or lacks a field that earlier entries had. */
  Invalid = 'invalid',
  /** It describes an incarnation that is over, or seems to. */
  Outdated = 'outdated',
  /** The configuration does not name its service. */
  UnknownService = 'unknown_service',
}

/** Dependencies of the entries of workers. */
export interface WorkerEntryParts {
  readonly formats: RecordFormats;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Decodes the entries of workers and tells those apart that must not be used. */
export class WorkerEntries {
  private readonly endedIncarnations = new Set<string>();
  private readonly rejections = new Map<string, EntryRejection>();

  constructor(
    private readonly parts: WorkerEntryParts,
    private readonly isServiceKnown: (service: string) => boolean,
  ) {}

  /** Returns the entry in a record, or why it is not used; `current` is the entry in use. */
  read(
    record: KeyedRecord,
    current: WorkerEntry | undefined,
  ): WorkerEntry | EntryRejection {
    const entry = this.decode(record, current);
    if (!entry) return EntryRejection.Invalid;
    const isOutdated =
      this.endedIncarnations.has(entry.id) ||
      (current !== undefined && isLateWrite(entry, current));
    if (isOutdated) {
      this.reject(record.key, EntryRejection.Outdated, entry.id);
      return EntryRejection.Outdated;
    }
    this.noteService(record.key, entry.service);
    return entry;
  }

  /** Updates which entries are of a service that the configuration does not name. */
  noteService(key: string, service: string): void {
    if (this.isServiceKnown(service)) this.rejections.delete(key);
    else this.reject(key, EntryRejection.UnknownService, service);
  }

  /** Called when a key has no entry any more. */
  noteRemoved(key: string): void {
    this.rejections.delete(key);
  }

  /** Ignores all further entries of an incarnation that is over. */
  noteEnded(entry: WorkerEntry): void {
    if (reportsStart(entry)) this.endedIncarnations.add(entry.id);
  }

  private decode(
    record: KeyedRecord,
    current: WorkerEntry | undefined,
  ): WorkerEntry | undefined {
    try {
      const entry = this.parts.formats.workerEntry(record);
      if (current && reportsStart(current) && !reportsStart(entry))
        throw new TypeError('the start time is missing');
      return entry;
    } catch (error) {
      this.reject(record.key, EntryRejection.Invalid, String(error));
      return undefined;
    }
  }

  /** Logs and counts a rejection once until the entry is usable or the reason changes. */
  private reject(key: string, reason: EntryRejection, detail: string): void {
    if (this.rejections.get(key) === reason) return;
    this.rejections.set(key, reason);
    const event =
      reason === EntryRejection.Outdated
        ? LogEvent.WorkerEntryOutdated
        : LogEvent.WorkerEntryInvalid;
    this.parts.logger.warn(event, {worker: key, reason, detail});
    this.parts.metrics.increment(MetricName.WorkerEntriesRejected, {reason});
  }
}

/**
 * Returns whether an entry was written before the one in use. The store may execute a write seconds
 * after later ones.
 */
function isLateWrite(entry: WorkerEntry, current: WorkerEntry): boolean {
  if (startedEarlier(entry, current)) return true;
  return (
    entry.id === current.id && (entry.sequence ?? 0) < (current.sequence ?? 0)
  );
}
