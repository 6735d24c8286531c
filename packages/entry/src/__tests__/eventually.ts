const MAXIMUM_POLLS = 400;
const POLL_INTERVAL_MILLISECONDS = 50;

/** Asks again until the answer is as wanted: daemons work in real time here. Returns the last answer. */
export async function eventually<Answer>(
  ask: () => Promise<Answer>,
  wanted: (answer: Answer) => boolean,
): Promise<Answer> {
  for (let round = 0; ; round++) {
    const answer = await ask();
    if (wanted(answer) || round === MAXIMUM_POLLS) return answer;
    await new Promise(resolve => {
      setTimeout(resolve, POLL_INTERVAL_MILLISECONDS);
    });
  }
}
