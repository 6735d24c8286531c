import type {ProcessLimits} from '@gentiandoor/coordinator';

/** Limits of one HTTP server against clients that ask for too much. */
export interface ServerLimits {
  readonly connections: number;
  /** Requests of one connection that are not answered, or whose answers are not taken. */
  readonly requestsPerConnection: number;
  /** Requests of all connections that are being worked on. */
  readonly requests: number;
}

/** Descriptors that a VM keeps for files. */
const FILE_DESCRIPTORS = 200;
/** The others are for the store and the workers. */
const CALLER_CONNECTION_SHARE = 0.5;
const CALLER_REQUESTS_PER_CONNECTION = 64;
const CALLER_REQUEST_MEMORY_SHARE = 0.15;
/** Memory of a small request while it is worked on. */
const REQUEST_BYTES = 32_768;
const BODY_MEMORY_SHARE = 0.1;

/** A probe a second, or a read of all metrics every few, is all that these servers have to answer. */
export const OWN_SERVER_LIMITS: ServerLimits = {
  connections: 32,
  requestsPerConnection: 4,
  requests: 16,
};

/** Returns the limits of the server for callers for a process with the given limits. */
export function callerServerLimits(process: ProcessLimits): ServerLimits {
  const sockets = Math.max(0, process.descriptors - FILE_DESCRIPTORS);
  return {
    connections: Math.floor(CALLER_CONNECTION_SHARE * sockets),
    requestsPerConnection: CALLER_REQUESTS_PER_CONNECTION,
    requests: Math.floor(
      (CALLER_REQUEST_MEMORY_SHARE * process.memoryBytes) / REQUEST_BYTES,
    ),
  };
}

/** Returns the bytes that the bodies of all requests together may use. */
export function bodyBudgetBytes(process: ProcessLimits): number {
  return Math.floor(BODY_MEMORY_SHARE * process.memoryBytes);
}
