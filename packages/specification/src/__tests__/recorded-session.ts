import {
  ClaimsFleet,
  answerOf,
  type ClaimsFleetDaemon,
  type ClaimsFleetOptions,
  type KeyedRequestOutcome,
} from './claims-fleet.js';

/** A fleet whose requests and events are written down, line by line. */
export class RecordedSession {
  readonly fleet: ClaimsFleet;
  readonly lines: string[] = [];

  constructor(title: string, settings: ClaimsFleetOptions = {}) {
    this.fleet = new ClaimsFleet(settings);
    this.lines.push(`# ${title}`);
  }

  recordLine(text: string): void {
    const at = Math.round(this.fleet.clock.monotonicMilliseconds());
    this.lines.push(`${String(at).padStart(8)} ms  ${text}`);
  }

  async start(name: string, dataCentre?: string): Promise<ClaimsFleetDaemon> {
    const daemon = await this.fleet.start(name, dataCentre);
    this.recordLine(`${name} starts in ${daemon.dataCentre}`);
    return daemon;
  }

  /** Asks and waits for the decision. */
  async ask(
    daemon: ClaimsFleetDaemon,
    key: string,
  ): Promise<KeyedRequestOutcome> {
    return this.fleet.settle(this.askInBackground(daemon, key));
  }

  /** Asks; the decision is written when it comes. */
  async askInBackground(
    daemon: ClaimsFleetDaemon,
    key: string,
    fingerprint?: string,
  ): Promise<KeyedRequestOutcome> {
    const name = key.startsWith('gd1-') ? 'issued key' : key;
    this.recordLine(`${daemon.name} <- ${name}`);
    const decided = await this.fleet.ask(daemon, key, fingerprint);
    this.recordLine(`${daemon.name} -> ${name}: ${describeOutcome(decided)}`);
    return decided;
  }

  finish(told: KeyedRequestOutcome, text: string): void {
    this.recordLine(`the target answers "${text}"`);
    told.claim!.finish(answerOf(text));
  }
}

function describeOutcome({
  decision: said,
  runStatement: run,
  answer,
  retryAfterSeconds,
}: KeyedRequestOutcome): string {
  if (said === 'run') return 'run it';
  const body = answer ? ` "${Buffer.from(answer.body).toString()}"` : '';
  const retry =
    retryAfterSeconds === undefined
      ? ''
      : `, retry after ${retryAfterSeconds} s`;
  return `${said}${body}, run: ${run}${retry}`;
}
