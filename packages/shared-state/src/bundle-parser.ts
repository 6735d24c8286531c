import {parse} from 'ini';
import {z} from 'zod';
import {
  BundleError,
  integerSetting,
  listSetting,
  numberSetting,
  rejectDoubles,
  toError,
} from '@gentiandoor/kernel';
import {FailureDomain, KeyRule, WorkClass, type Bundle} from './bundle.js';
import {checkBundle} from './bundle-checks.js';

const MAXIMUM_MILLISECONDS = 86_400_000;
const MAXIMUM_COUNT = 1_000_000;
const NAME = /^[a-z0-9][a-z0-9_-]{0,62}$/;
const LARGEST_RANGE = 100_000;

const yesNo = z
  .union([z.boolean(), z.enum(['yes', 'no'])], {error: 'expected yes or no'})
  .transform(value => value === true || value === 'yes');
const vmNames = listSetting().transform((names, context) => {
  const expanded = names.flatMap(name => expandRange(name));
  const bad = expanded.find(name => !NAME.test(name));
  if (bad !== undefined) {
    context.addIssue({
      code: 'custom',
      message: `expected VM names, found "${bad}"`,
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
const bundleFile = z.strictObject({
  bundle: bundleSection,
  weights: weightsSection.prefault({}),
  operator: named(operatorSection),
  rack: named(rackSection),
  pool: named(poolSection),
  service: named(serviceSection),
  team: named(teamSection),
  caller: named(callerSection),
});
type BundleFile = z.output<typeof bundleFile>;

function named<Schema extends z.ZodType>(schema: Schema) {
  const name = z
    .string()
    .regex(NAME, {error: 'expected a name of a-z, 0-9, _ and -'});
  return z.record(name, schema).prefault({});
}

/** Reads a bundle from INI text; throws `BundleError` listing every problem found. */
export function parseBundle(text: string): Bundle {
  const bundle = toBundle(readFile(text));
  const problems = checkBundle(bundle);
  if (problems.length > 0) throw new BundleError(problems.join('\n'));
  return bundle;
}

function readFile(text: string): BundleFile {
  try {
    rejectDoubles(text, 'bundle');
  } catch (error) {
    throw new BundleError(toError(error).message);
  }
  const result = bundleFile.safeParse(parse(text));
  if (result.success) return result.data;
  const problems = result.error.issues.map(
    issue => `bundle: ${issue.path.join('.')}: ${issue.message}`,
  );
  throw new BundleError(problems.join('\n'));
}

function toBundle(file: BundleFile): Bundle {
  return {
    version: file.bundle.version,
    base: file.bundle.base,
    author: file.bundle.author,
    signOffs: file.bundle.sign_offs,
    weights: file.weights,
    operators: mapValues(file.operator, entry => ({
      publicKey: entry.public_key,
      revoked: entry.revoked,
    })),
    racks: mapValues(file.rack, entry => ({
      dataCentre: entry.data_centre,
      vms: entry.vms,
    })),
    pools: mapValues(file.pool, entry => ({
      vms: entry.vms,
      slots: entry.slots,
      connections: entry.connections,
      processors: entry.processors,
      memoryGigabytes: entry.memory_gigabytes,
      accelerators: entry.accelerators,
    })),
    services: mapValues(file.service, entry => ({
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
    })),
    teams: file.team,
    callers: mapValues(file.caller, entry => ({
      team: entry.team,
      keyDigest: entry.key_digest,
    })),
  };
}

function mapValues<From, To>(
  from: Readonly<Record<string, From>>,
  convert: (value: From) => To,
): Record<string, To> {
  return Object.fromEntries(
    Object.entries(from).map(([name, value]) => [name, convert(value)]),
  );
}

/** Expands `hall-a-r1-[1-4]` into four names; another name stands for itself. */
export function expandRange(name: string): string[] {
  const range = /^(.*)\[(\d+)-(\d+)\](.*)$/.exec(name);
  if (!range) return [name];
  const [, before, from, to, after] = range;
  const count = Number(to) - Number(from) + 1;
  if (count < 1 || count > LARGEST_RANGE) return [name];
  return Array.from({length: count}, (_, index) => {
    const digits = String(Number(from) + index).padStart(from.length, '0');
    return `${before}${digits}${after}`;
  });
}
