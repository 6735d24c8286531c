import type {EntrySettings} from '../index.js';

/** Returns the settings of a daemon that uses stand-ins and listens on no address. */
export function simulatedSettings(node: string): EntrySettings {
  return {
    node,
    dataCentre: 'one',
    isFirstStart: false,
    size: {cores: 1, megabitsPerSecond: 1_000},
    callerAddress: '',
    readinessAddress: '',
    storeAddress: '',
    machineListAddress: '',
    adviceAddress: '',
    limits: {
      maximumLease: 10_000,
      configurationInForce: 2_000,
      stretch: 5_000,
      cancel: 3_000,
      notice: 4_500,
      holderChange: 3_000,
      grace: 6_000,
      stateKept: 120_000,
      move: 1_500,
      maintenance: 2_000,
      stop: 900,
      harm: 4_000,
    },
  };
}
