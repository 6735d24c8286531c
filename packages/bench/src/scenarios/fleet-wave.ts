import {RecordKind, WaveState} from '@gentiandoor/shared-state';
import {
  KINGSTON,
  SWAN_COAST,
  largeDeployment,
  type ExampleDeployment,
} from '@gentiandoor/stand-ins';
import type {Scenario, ScenarioRow} from '../scenario.js';
import {FleetSimulator} from './fleet-simulator.js';

const STEP_MILLISECONDS = 5000;
const HOUR_MILLISECONDS = 3_600_000;
const LONGEST_HOURS = 96;
/** Maintenance time of a VM in the simulator: drain 20 s, boot 120 s, trial 60 s. */
const VM_MILLISECONDS = 200_000;
const MINUTES_A_VM = VM_MILLISECONDS / 60_000;

function measure(label: string, deployment: ExampleDeployment): ScenarioRow {
  const simulator = new FleetSimulator(deployment);
  simulator.write({
    kind: RecordKind.WaveStarted,
    wave: 'wave-1',
    reason: 'kernel update',
    scope: {},
  });
  let most = 0;
  while (simulator.now < LONGEST_HOURS * HOUR_MILLISECONDS) {
    simulator.step(STEP_MILLISECONDS);
    most = Math.max(most, simulator.state.work.size);
    if (simulator.state.waves.get('wave-1')?.state === WaveState.Finished)
      break;
  }
  const wave = simulator.state.waves.get('wave-1');
  const minutes = simulator.now / 60_000;
  const bound = budgetBound(deployment);
  return {
    label,
    values: {
      vms: simulator.state.vms.size,
      done: wave?.done ?? 0,
      minutes: Math.round(minutes),
      budget_bound_minutes: Math.round(bound),
      times_the_bound: Math.round((minutes / bound) * 100) / 100,
      most_at_once: most,
      records: simulator.totals.records,
      violations: simulator.totals.violations,
    },
  };
}

/** Returns the slowest pool's time if it always used its whole `leavingAtOnce` limit. */
function budgetBound(deployment: ExampleDeployment): number {
  return Math.max(
    ...deployment.pools.map(
      pool => Math.ceil(pool.vms / pool.leavingAtOnce) * MINUTES_A_VM,
    ),
  );
}

/** Measures the duration of a wave over every VM. */
export const FLEET_WAVE: Scenario = {
  name: 'wave',
  description:
    'a wave over every VM without failures, against the time that the budgets allow at best',
  async run() {
    const rows = [
      measure('swan-coast', SWAN_COAST),
      measure('kingston', KINGSTON),
      measure('2000 VMs, 16 pools', largeDeployment(2000, 16)),
    ];
    return {
      rows,
      checks: rows.map(({label, values}) => ({
        name: `${label}: every VM once, no budget broken`,
        passed: values.done === values.vms && values.violations === 0,
        detail: `${values.done} of ${values.vms}, ${values.violations} violations`,
      })),
    };
  },
};
