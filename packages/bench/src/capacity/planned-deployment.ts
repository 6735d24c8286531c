/** The deployment size to design for. */
export const PLANNED_DEPLOYMENT = {
  vms: 31_000,
  pools: 239,
  teams: 210,
  regions: 5,
  dataCentres: 12,
  changesADay: 10_000,
  failuresADay: 210,
  restartsADay: 10_000,
  maintenanceDays: 35,
} as const;

/** Limits for the control plane at a node. */
export const NODE_BOUNDS = {
  coreShare: 0.032,
  bytes: 128e6,
  bytesPerSecond: 7000,
} as const;

/** Seconds per day and per hour. */
export const SECONDS_A_DAY = 86_400;
export const SECONDS_AN_HOUR = 3600;

/**
 * 16 links that a daemon dials (default of the [peers] settings) and about as many that it accepts.
 */
export const LINKS_OF_A_DAEMON = 32;

/** The log accepts "several hundred appends a second"; this is the low end. */
export const LOG_APPENDS_A_SECOND = 300;

/** VMs maintained per day. */
export const MAINTAINED_A_DAY =
  PLANNED_DEPLOYMENT.vms / PLANNED_DEPLOYMENT.maintenanceDays;

/** A number of entry VMs and its derivation. */
export interface EntryCount {
  readonly daemons: number;
  readonly why: string;
}

/** Numbers of entry VMs that the planned deployment may need. */
export const ENTRY_COUNTS: readonly EntryCount[] = [
  {
    daemons: 2 * PLANNED_DEPLOYMENT.dataCentres,
    why: '2 in each of 12 data centres, so that one may be away (Kingston today: 6 in 3)',
  },
  {
    daemons: 20 * PLANNED_DEPLOYMENT.dataCentres,
    why: '20 in each data centre, one for about 129 workers or one pool',
  },
  {
    daemons: Math.round((PLANNED_DEPLOYMENT.vms * 6) / 40),
    why: 'as many a worker as today at the least: 31,000 x 6 / 40',
  },
  {
    daemons: Math.round((PLANNED_DEPLOYMENT.vms * 7) / 35),
    why: 'as many a worker as today at the most: 31,000 x 7 / 35',
  },
];
