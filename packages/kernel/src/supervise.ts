import {sleep, type Clock} from './clock.js';
import {LogEvent} from './log-events.js';
import type {LogFields, Logger} from './logger.js';

/** Pause before a task that failed unexpectedly runs again. */
const FAILURE_PAUSE_MILLISECONDS = 1_000;

/** A task that is to run until it is stopped. */
export interface SupervisedTask {
  readonly name: string;
  /** Further fields of the log line about a failure. */
  readonly fields?: LogFields;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly isStopped: () => boolean;
  /** Runs the task until it is stopped; called again after a failure. */
  readonly run: () => Promise<void>;
}

/** Logs that a task failed unexpectedly; `fields` say what it was about. */
export function logTaskFailure(
  logger: Logger,
  task: string,
  fields: LogFields,
  error: unknown,
): void {
  logger.error(LogEvent.TaskFailed, {
    task,
    ...fields,
    error: error instanceof Error ? error.stack : String(error),
  });
}

/**
 * Runs a task in the background and again after each unexpected failure, which would otherwise end
 * the process with everything else that it does.
 */
export async function supervise(task: SupervisedTask): Promise<void> {
  while (!task.isStopped())
    try {
      await task.run();
      return;
    } catch (error) {
      logTaskFailure(task.logger, task.name, task.fields ?? {}, error);
      await sleep(task.clock, FAILURE_PAUSE_MILLISECONDS);
    }
}
