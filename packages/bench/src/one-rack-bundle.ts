/** Parameters of a bundle with one rack, one pool and one service. */
export interface OneRackPlan {
  /** Public key of the operator `kerry`, who signs off. */
  readonly publicKey: string;
  /** Name of the service and of its pool. */
  readonly service: string;
  /** VMs in bundle syntax, such as `hall-a-r1-[1-2]`. */
  readonly vms: string;
}

/** Returns the text of a first bundle for a small deployment. */
export function oneRackBundle({publicKey, service, vms}: OneRackPlan): string {
  return `
[bundle]
version = 1
base = 0
author = moana
sign_offs = 1
[operator.kerry]
public_key = ${publicKey}
[rack.hall-a-r1]
data_centre = hall-a
vms = ${vms}
[pool.${service}]
vms = ${vms}
[service.${service}]
pool = ${service}
`;
}
