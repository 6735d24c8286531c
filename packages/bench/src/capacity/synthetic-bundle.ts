/** Size of a synthetic deployment. */
export interface DeploymentSize {
  readonly vms: number;
  readonly pools: number;
  readonly dataCentres: number;
  readonly teams: number;
}

const VMS_PER_RACK = 16;

/** Returns the planned size scaled to `vms` workers. */
export function proportionalSize(vms: number): DeploymentSize {
  const share = vms / 31_000;
  return {
    vms,
    pools: Math.max(1, Math.round(239 * share)),
    dataCentres: 12,
    teams: Math.max(1, Math.round(210 * share)),
  };
}

/** Returns the bundle of a synthetic deployment with full racks and pools spread over racks. */
export function syntheticBundle(
  size: DeploymentSize,
  publicKey: string,
  version = 1,
): string {
  const racks = Math.ceil(size.vms / VMS_PER_RACK);
  const lines = [
    '[bundle]',
    `version = ${version}`,
    `base = ${version - 1}`,
    'author = moana',
    'sign_offs = 1',
    '[operator.kerry]',
    `public_key = ${publicKey}`,
  ];
  const names: string[] = [];
  for (let rack = 0; rack < racks; rack++) {
    const count = Math.min(VMS_PER_RACK, size.vms - rack * VMS_PER_RACK);
    lines.push(
      `[rack.r${rack}]`,
      `data_centre = dc-${rack % size.dataCentres}`,
    );
    lines.push(`vms = r${rack}-[1-${count}]`);
    for (let vm = 1; vm <= count; vm++) names.push(`r${rack}-${vm}`);
  }
  for (let pool = 0; pool < size.pools; pool++) {
    const vms = names.filter((_, index) => index % size.pools === pool);
    lines.push(`[pool.p${pool}]`, `vms = ${vms.join(', ')}`);
    lines.push(`[service.s${pool}]`, `pool = p${pool}`);
  }
  for (let team = 0; team < size.teams; team++)
    lines.push(`[team.t${team}]`, 'slots = 100');
  return `${lines.join('\n')}\n`;
}
