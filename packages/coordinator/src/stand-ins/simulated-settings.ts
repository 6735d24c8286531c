import type {EntrySettings} from '../index.js';

/** Returns the settings of a daemon that uses stand-ins and listens on no address. */
export function simulatedSettings(node: string): EntrySettings {
  return {
    node,
    dataCentre: 'one',
    isFirstStart: false,
    size: {cores: 1, megabitsPerSecond: 1_000},
    processLimits: {memoryBytes: 350_000_000, descriptors: 4_100},
    callerAddress: '',
    readinessAddress: '',
    storeAddress: '',
    storeRecordBytes: Infinity,
    machineListAddress: '',
    adviceAddress: '',
    limits: {
      maximumLeaseMilliseconds: 10_000,
      configurationInForceMilliseconds: 2_000,
      extensionMilliseconds: 5_000,
      cancelMilliseconds: 3_000,
      noticeMilliseconds: 4_500,
      holderChangeMilliseconds: 3_000,
      gracePeriodMilliseconds: 6_000,
      stateRetentionMilliseconds: 120_000,
      moveMilliseconds: 1_500,
      maintenanceMilliseconds: 2_000,
      stopMilliseconds: 900,
      maximumTargetMissMilliseconds: 4_000,
      checkpointIntervalMilliseconds: 500,
      restoreMilliseconds: 250,
    },
    features: {admissionControl: false, preemption: false},
  };
}
