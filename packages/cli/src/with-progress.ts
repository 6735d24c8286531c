import type {CommandContext} from './command-context.js';

const REPORT_INTERVAL_MILLISECONDS = 2000;

/** Waits for `work`; reports every two seconds what it is still waiting for. */
export async function withProgress<Result>(
  context: CommandContext,
  waitingFor: string,
  work: Promise<Result>,
): Promise<Result> {
  let seconds = 0;
  let timer = context.clock.schedule(
    REPORT_INTERVAL_MILLISECONDS,
    reportProgress,
  );
  function reportProgress(): void {
    seconds += REPORT_INTERVAL_MILLISECONDS / 1000;
    context.printDiagnostic(`${waitingFor}: ${seconds} s`);
    timer = context.clock.schedule(
      REPORT_INTERVAL_MILLISECONDS,
      reportProgress,
    );
  }
  try {
    return await work;
  } finally {
    timer.cancel();
  }
}
