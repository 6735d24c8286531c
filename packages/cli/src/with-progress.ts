import type {CommandContext} from './command-context.js';

const FIRST_WORD_MILLISECONDS = 2000;

/** Waits for `work`; says every two seconds that it still waits and for what. */
export async function withProgress<Result>(
  context: CommandContext,
  waitingFor: string,
  work: Promise<Result>,
): Promise<Result> {
  let seconds = 0;
  let timer = context.clock.schedule(FIRST_WORD_MILLISECONDS, tell);
  function tell(): void {
    seconds += FIRST_WORD_MILLISECONDS / 1000;
    context.note(`${waitingFor}: ${seconds} s`);
    timer = context.clock.schedule(FIRST_WORD_MILLISECONDS, tell);
  }
  try {
    return await work;
  } finally {
    timer.cancel();
  }
}
