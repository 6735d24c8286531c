import {NODE_BOUNDS, PLANNED_DEPLOYMENT} from './planned-deployment.js';
import {quantity, type Estimate, type Estimates} from './estimates.js';
import {MeasuredLine} from './measured-line.js';
import {Unit} from './measurement.js';
import {BoundStatus, compareWithBound, type RoleLine} from './role-line.js';

/** Defaults of the [once-only] settings. */
const DEFAULT_CLAIMS = 200_000;
const DEFAULT_HELD_BYTES = 16e6;

interface MemoryPart extends Estimate {
  readonly what: string;
  readonly mechanism: string;
}

function memoryParts(
  estimates: Estimates,
  daemons: number,
  processBytes: number,
): MemoryPart[] {
  const {vms, pools} = PLANNED_DEPLOYMENT;
  const at = (line: MeasuredLine, size: number) => estimates.at(line, size);
  return [
    {
      what: 'process with all packages loaded',
      value: processBytes,
      text: 'resident size at the start of this run',
      mechanism: 'Node.js 20 and libraries',
    },
    {
      what: 'folded state',
      ...at(MeasuredLine.StateMemory, vms),
      mechanism: 'fold over the fleet stream (shared-state)',
    },
    {
      what: 'list of VMs',
      ...at(MeasuredLine.ListMemory, vms),
      mechanism: 'one whole answer, then changes (plugin-platform-list)',
    },
    {
      what: `members, ${daemons} daemons`,
      ...at(MeasuredLine.MemberMemory, daemons),
      mechanism: 'fold of joins and leaves',
    },
    {
      what: 'router with every pool in use',
      ...at(MeasuredLine.RouterMemory, pools),
      mechanism: 'a pool is made at its first request (PoolTable)',
    },
    {
      what: 'claims remembered',
      ...at(MeasuredLine.ClaimMemory, DEFAULT_CLAIMS),
      mechanism: 'setting keys of [once-only], oldest forgotten first',
    },
    {
      what: 'answers held for replay, at most',
      value: DEFAULT_HELD_BYTES,
      text: 'setting held_bytes of [once-only]',
      mechanism: 'oldest dropped first',
    },
  ];
}

/** Returns lines for the memory of an entry daemon. */
export function entryMemoryLines(
  estimates: Estimates,
  daemons: number,
  processBytes: number,
): RoleLine[] {
  const parts = memoryParts(estimates, daemons, processBytes);
  const sum = parts.reduce((total, {value}) => total + value, 0);
  return [
    ...parts.map(({what, text, value, mechanism}) => ({
      what: `memory: ${what}`,
      arithmetic: text,
      result: quantity(value, Unit.Bytes),
      boundComparison: BoundStatus.NoBound,
      mechanism,
    })),
    {
      what: `memory: sum without the process, ${daemons} daemons`,
      arithmetic: 'sum of the lines above but for the first',
      result: quantity(sum - processBytes, Unit.Bytes),
      boundComparison: compareWithBound(sum - processBytes, NODE_BOUNDS.bytes),
      mechanism: 'bounds of claims and answers are settings',
    },
    {
      what: `memory: sum, ${daemons} daemons`,
      arithmetic: 'sum of the lines above',
      result: quantity(sum, Unit.Bytes),
      boundComparison: compareWithBound(sum, NODE_BOUNDS.bytes),
      mechanism: 'no pool or VM is left out of the fold: see open work',
    },
  ];
}
