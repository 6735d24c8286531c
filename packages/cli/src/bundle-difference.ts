import {parse} from 'ini';

/** Kind of change to a key of a bundle. */
export enum ChangeKind {
  Added = 'added',
  Removed = 'removed',
  Changed = 'changed',
}

/** A changed key with its values before and after. */
export interface BundleChange {
  readonly kind: ChangeKind;
  /** Section and key, such as `service.admin.queue_limit`. */
  readonly key: string;
  readonly before?: string;
  readonly after?: string;
}

/** Returns the keys that differ between two bundle texts, sorted. */
export function bundleDifference(
  before: string,
  after: string,
): BundleChange[] {
  const left = flatten(parse(before));
  const right = flatten(parse(after));
  const keys = [...new Set([...left.keys(), ...right.keys()])].sort();
  return keys.flatMap(key => changeOf(key, left.get(key), right.get(key)));
}

function changeOf(
  key: string,
  before: string | undefined,
  after: string | undefined,
): BundleChange[] {
  if (before === after) return [];
  if (before === undefined) return [{kind: ChangeKind.Added, key, after}];
  if (after === undefined) return [{kind: ChangeKind.Removed, key, before}];
  return [{kind: ChangeKind.Changed, key, before, after}];
}

function flatten(value: unknown, prefix = ''): Map<string, string> {
  if (typeof value !== 'object' || value === null)
    return new Map([[prefix, String(value)]]);
  const entries = Object.entries(value).flatMap(([name, inner]) => [
    ...flatten(inner, prefix === '' ? name : `${prefix}.${name}`),
  ]);
  return new Map(entries);
}

/** Formats a change as the line that `bundle diff` prints. */
export function describeChange(change: BundleChange): string {
  switch (change.kind) {
    case ChangeKind.Added:
      return `+ ${change.key} = ${change.after}`;
    case ChangeKind.Removed:
      return `- ${change.key} = ${change.before}`;
    default:
      return `~ ${change.key}: ${change.before} -> ${change.after}`;
  }
}
