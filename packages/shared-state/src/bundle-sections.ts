import {z} from 'zod';
import {integerSetting, listSetting, numberSetting} from '@gentiandoor/kernel';
import {
  FailureDomain,
  KeyRule,
  WorkClass,
  type CallerEntry,
  type CostWeights,
  type OperatorEntry,
  type PoolEntry,
  type RackEntry,
  type ServiceEntry,
  type TeamEntry,
} from './bundle.js';

const MAXIMUM_MILLISECONDS = 86_400_000;
const MAXIMUM_COUNT = 1_000_000;
/** Pattern for the names of sections and VMs. */
export const NAME_PATTERN = /^[a-z0-9][a-z0-9_-]{0,62}$/;
/**
 * Maximum VMs in one list: three times the size of the planned fleet. Without this limit a
 * range of a few bytes could name any number of VMs.
 */
const MAXIMUM_VMS_PER_LIST = 100_000;
/** Maximum length of a range such as `a-[1-4]`; the names that it expands to are shorter. */
const MAXIMUM_RANGE_CHARACTERS = 100;

const yesNo = z
  .union([z.boolean(), z.enum(['yes', 'no'])], {error: 'expected yes or no'})
  .transform(value => value === true || value === 'yes');
const vmNames = listSetting().transform((names, context) => {
  const expanded = expandRanges(names);
  if (expanded === undefined) {
    context.addIssue({
      code: 'custom',
      message: `expected up to ${MAXIMUM_VMS_PER_LIST} VM names`,
    });
    return [];
  }
  const invalidName = expanded.find(name => !NAME_PATTERN.test(name));
  if (invalidName !== undefined) {
    context.addIssue({
      code: 'custom',
      message: `expected VM names, found "${invalidName.slice(0, MAXIMUM_RANGE_CHARACTERS)}"`,
    });
  }
  return expanded;
});

const bundleSection = z.strictObject({
  version: integerSetting(1, Number.MAX_SAFE_INTEGER),
  base: integerSetting(0, Number.MAX_SAFE_INTEGER),
  author: z.string(),
  sign_offs: integerSetting(0, 20).default(1),
});
const weightsSection = z.strictObject({
  buffer: numberSetting(0, 1000).default(1),
  move: numberSetting(0, 1000).default(1),
});
const operatorSection = z.strictObject({
  public_key: z.string(),
  revoked: yesNo.default(false),
});
const rackSection = z.strictObject({data_centre: z.string(), vms: vmNames});
const poolSection = z.strictObject({
  vms: vmNames,
  slots: integerSetting(1, 10_000).default(8),
  connections: integerSetting(1, 10_000).default(64),
  processors: integerSetting(1, 10_000).default(32),
  memory_gigabytes: integerSetting(1, 100_000).default(128),
  accelerators: integerSetting(0, 1000).default(0),
});
const serviceSection = z.strictObject({
  pool: z.string(),
  class: z.enum(WorkClass).default(WorkClass.Short),
  deadline_milliseconds: integerSetting(1, MAXIMUM_MILLISECONDS).default(
    30_000,
  ),
  wait_milliseconds: integerSetting(0, MAXIMUM_MILLISECONDS).default(1000),
  queue_limit: integerSetting(0, MAXIMUM_COUNT).default(64),
  idempotency_key: z.enum(KeyRule).default(KeyRule.Optional),
  callers_only: yesNo.default(false),
  available_vms: integerSetting(0, MAXIMUM_COUNT).default(1),
  survive: z.enum(FailureDomain).default(FailureDomain.None),
  leaving_at_once: integerSetting(1, MAXIMUM_COUNT).default(1),
});
const teamSection = z.strictObject({
  weight: integerSetting(1, 1000).default(1),
  slots: integerSetting(1, MAXIMUM_COUNT).default(MAXIMUM_COUNT),
  urgent: yesNo.default(false),
});
const callerSection = z.strictObject({
  team: z.string(),
  key_digest: z
    .string()
    .regex(/^[0-9a-f]{64}$/, {error: 'expected 64 hexadecimal digits'}),
});

/** Kinds of bundle sections that appear at most once. */
export enum SingleSectionKind {
  Bundle = 'bundle',
  Weights = 'weights',
}

/** Kinds of bundle sections that have a name, as in `[pool.counter-preview]`. */
export enum NamedSectionKind {
  Operator = 'operator',
  Rack = 'rack',
  Pool = 'pool',
  Service = 'service',
  Team = 'team',
  Caller = 'caller',
}

/** Values of the section `[bundle]`. */
export interface BundleHeader {
  readonly version: number;
  readonly base: number;
  readonly author: string;
  readonly signOffs: number;
}

/** Schemas of the sections that appear at most once. */
export const SINGLE_SECTION_SCHEMAS = {
  [SingleSectionKind.Bundle]: bundleSection.transform((entry): BundleHeader => {
    const {sign_offs: signOffs, ...head} = entry;
    return {...head, signOffs};
  }),
  [SingleSectionKind.Weights]: weightsSection.transform(
    (entry): CostWeights => entry,
  ),
};

/** Schemas of the sections that have a name. */
export const NAMED_SECTION_SCHEMAS = {
  [NamedSectionKind.Operator]: operatorSection.transform(
    (entry): OperatorEntry => ({
      publicKey: entry.public_key,
      revoked: entry.revoked,
    }),
  ),
  [NamedSectionKind.Rack]: rackSection.transform((entry): RackEntry => ({
    dataCentre: entry.data_centre,
    vms: entry.vms,
  })),
  [NamedSectionKind.Pool]: poolSection.transform((entry): PoolEntry => {
    const {memory_gigabytes: memoryGigabytes, ...shape} = entry;
    return {...shape, memoryGigabytes};
  }),
  [NamedSectionKind.Service]: serviceSection.transform(
    (entry): ServiceEntry => ({
      pool: entry.pool,
      workClass: entry.class,
      deadlineMilliseconds: entry.deadline_milliseconds,
      waitMilliseconds: entry.wait_milliseconds,
      queueLimit: entry.queue_limit,
      keyRule: entry.idempotency_key,
      callersOnly: entry.callers_only,
      budget: {
        availableVms: entry.available_vms,
        survive: entry.survive,
        leavingAtOnce: entry.leaving_at_once,
      },
    }),
  ),
  [NamedSectionKind.Team]: teamSection.transform((entry): TeamEntry => entry),
  [NamedSectionKind.Caller]: callerSection.transform((entry): CallerEntry => ({
    team: entry.team,
    keyDigest: entry.key_digest,
  })),
};

/** Expands a range such as `hall-a-r1-[1-4]` to its names; returns other names as they are. */
export function expandRange(name: string): string[] {
  if (name.length > MAXIMUM_RANGE_CHARACTERS) return [name];
  const range = /^(.*)\[(\d+)-(\d+)\](.*)$/.exec(name);
  if (!range) return [name];
  const [, before, from, to, after] = range;
  const count = Number(to) - Number(from) + 1;
  if (count < 1 || count > MAXIMUM_VMS_PER_LIST) return [name];
  return Array.from({length: count}, (_, index) => {
    const digits = String(Number(from) + index).padStart(from.length, '0');
    return `${before}${digits}${after}`;
  });
}

/**
 * Expands all names of a list; returns undefined, after at most one range too many, if the
 * limit is exceeded.
 */
function expandRanges(names: readonly string[]): string[] | undefined {
  const expanded: string[] = [];
  for (const name of names) {
    for (const vm of expandRange(name)) expanded.push(vm);
    if (expanded.length > MAXIMUM_VMS_PER_LIST) return undefined;
  }
  return expanded;
}
