import type {CommandContext} from './command-context.js';

const REPORT_INTERVAL_MILLISECONDS = 2000;

/** Waits for `work`; says every two seconds that it still waits and for what. */
export async function withProgress<Result>(
  context: CommandContext,
  waitingFor: string,
  work: Promise<Result>,
): Promise<Result> {
  let seconds = 0;
  let timer = context.clock.schedule(REPORT_INTERVAL_MILLISECONDS, tell);
  function tell(): void {
    seconds += REPORT_INTERVAL_MILLISECONDS / 1000;
    context.printDiagnostic(`${waitingFor}: ${seconds} s`);
    timer = context.clock.schedule(REPORT_INTERVAL_MILLISECONDS, tell);
  }
  try {
    return await work;
  } finally {
    timer.cancel();
  }
}
