import {FailureDomain, type Bundle, type ServiceEntry} from './bundle.js';

/**
 * Returns the problems of a bundle; empty if it is valid. Parts that are unchanged from
 * `before`, a bundle that was already validated, are not checked again, so that changing a
 * quota does not iterate over 31,000 VMs.
 */
export function validateBundle(bundle: Bundle, before?: Bundle): string[] {
  const sameRacks = bundle.racks === before?.racks;
  const samePools = sameRacks && bundle.pools === before?.pools;
  return [
    ...checkVersion(bundle),
    ...(sameRacks ? [] : checkRacks(bundle)),
    ...(samePools ? [] : checkPools(bundle)),
    ...checkServices(bundle, sameRacks ? before : undefined),
    ...checkCallers(bundle),
    ...checkOperators(bundle),
  ];
}

function checkVersion(bundle: Bundle): string[] {
  if (bundle.version > bundle.base) return [];
  return [
    `bundle: version ${bundle.version} must be above base ${bundle.base}`,
  ];
}

function checkRacks(bundle: Bundle): string[] {
  const seen = new Map<string, string>();
  const problems: string[] = [];
  for (const [rack, entry] of Object.entries(bundle.racks)) {
    for (const vm of entry.vms) {
      const other = seen.get(vm);
      if (other !== undefined)
        problems.push(`rack.${rack}: VM ${vm} is in rack ${other} too`);
      seen.set(vm, rack);
    }
  }
  return problems;
}

function checkPools(bundle: Bundle): string[] {
  const racks = rackByVm(bundle);
  const owner = new Map<string, string>();
  const problems: string[] = [];
  for (const [pool, entry] of Object.entries(bundle.pools)) {
    for (const vm of entry.vms) {
      const other = owner.get(vm);
      if (other !== undefined)
        problems.push(`pool.${pool}: VM ${vm} is in pool ${other} too`);
      if (!racks.has(vm)) problems.push(`pool.${pool}: VM ${vm} is in no rack`);
      owner.set(vm, pool);
    }
  }
  return problems;
}

function checkServices(bundle: Bundle, before: Bundle | undefined): string[] {
  const losses = new Map<string, number>();
  return Object.entries(bundle.services).flatMap(([name, service]) => {
    const pool = bundle.pools[service.pool];
    if (!pool)
      return [`service.${name}: pool ${service.pool} is not in the bundle`];
    const isSame =
      before?.services[name] === service && before.pools[service.pool] === pool;
    if (isSame) return [];
    return checkBudget(name, service, bundle, losses);
  });
}

function checkBudget(
  name: string,
  service: ServiceEntry,
  bundle: Bundle,
  losses: Map<string, number>,
): string[] {
  const {vms} = bundle.pools[service.pool];
  const {survive} = service.budget;
  // Computed once per pool: thousands of services that each iterated over the VMs of the pool
  // would block the event loop.
  const key = `${survive} ${service.pool}`;
  const lost =
    losses.get(key) ?? largestFailureDomainSize(bundle, vms, survive);
  losses.set(key, lost);
  const left = vms.length - lost;
  if (left >= service.budget.availableVms) return [];
  return [
    `service.${name}: available_vms ${service.budget.availableVms} cannot be met: pool ${service.pool} has ${vms.length} VMs and keeps ${left} after the loss of its largest ${service.budget.survive}`,
  ];
}

function checkCallers(bundle: Bundle): string[] {
  return Object.entries(bundle.callers)
    .filter(([, caller]) => !(caller.team in bundle.teams))
    .map(
      ([name, caller]) =>
        `caller.${name}: team ${caller.team} is not in the bundle`,
    );
}

function checkOperators(bundle: Bundle): string[] {
  const active = Object.values(bundle.operators).filter(
    entry => !entry.revoked,
  );
  const others =
    bundle.author in bundle.operators ? active.length - 1 : active.length;
  if (others >= bundle.signOffs) return [];
  return [
    `bundle: sign_offs ${bundle.signOffs} cannot be met by ${others} operators besides the author`,
  ];
}

const racksByBundle = new WeakMap<
  Bundle['racks'],
  ReadonlyMap<string, string>
>();

/**
 * Returns the rack of each VM of the bundle. Cached for the lifetime of the bundle's racks: 239
 * services that each iterated over 31,000 VMs would block the event loop for seconds.
 */
export function rackByVm(bundle: Bundle): ReadonlyMap<string, string> {
  const cached = racksByBundle.get(bundle.racks);
  if (cached) return cached;
  const racks = new Map<string, string>();
  for (const [rack, entry] of Object.entries(bundle.racks)) {
    for (const vm of entry.vms) racks.set(vm, rack);
  }
  racksByBundle.set(bundle.racks, racks);
  return racks;
}

/** Returns the largest number of `vms` that a single failure of the given domain takes out. */
export function largestFailureDomainSize(
  bundle: Bundle,
  vms: readonly string[],
  domain: FailureDomain,
): number {
  if (domain === FailureDomain.None || vms.length === 0) return 0;
  if (domain === FailureDomain.Vm) return 1;
  const racks = rackByVm(bundle);
  const counts = new Map<string, number>();
  for (const vm of vms) {
    const rack = racks.get(vm) ?? '';
    const name =
      domain === FailureDomain.Rack
        ? rack
        : (bundle.racks[rack]?.dataCentre ?? '');
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return Math.max(...counts.values());
}
