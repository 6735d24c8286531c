import {
  ClaimsFleet,
  answerOf,
  type ClaimsFleetDaemon,
  type ClaimsFleetOptions,
  type KeyedRequestOutcome,
} from './claims-fleet.js';

/** A fleet whose requests and events are recorded, one line each. */
export class RecordedSession {
  readonly fleet: ClaimsFleet;
  readonly lines: string[] = [];

  constructor(title: string, settings: ClaimsFleetOptions = {}) {
    this.fleet = new ClaimsFleet(settings);
    this.lines.push(`# ${title}`);
  }

  recordLine(text: string): void {
    const milliseconds = Math.round(this.fleet.clock.monotonicMilliseconds());
    this.lines.push(`${String(milliseconds).padStart(8)} ms  ${text}`);
  }

  async start(name: string, dataCentre?: string): Promise<ClaimsFleetDaemon> {
    const daemon = await this.fleet.start(name, dataCentre);
    this.recordLine(`${name} starts in ${daemon.dataCentre}`);
    return daemon;
  }

  /** Sends a keyed request and waits for the decision. */
  async ask(
    daemon: ClaimsFleetDaemon,
    key: string,
  ): Promise<KeyedRequestOutcome> {
    return this.fleet.settle(this.askInBackground(daemon, key));
  }

  /** Sends a keyed request; the decision is recorded when it arrives. */
  async askInBackground(
    daemon: ClaimsFleetDaemon,
    key: string,
    fingerprint?: string,
  ): Promise<KeyedRequestOutcome> {
    const name = key.startsWith('gd1-') ? 'issued key' : key;
    this.recordLine(`${daemon.name} <- ${name}`);
    const outcome = await this.fleet.ask(daemon, key, fingerprint);
    this.recordLine(`${daemon.name} -> ${name}: ${describeOutcome(outcome)}`);
    return outcome;
  }

  finish(outcome: KeyedRequestOutcome, text: string): void {
    this.recordLine(`the target answers "${text}"`);
    outcome.claim!.finish(answerOf(text));
  }
}

function describeOutcome({
  decision,
  runStatement,
  answer,
  retryAfterSeconds,
}: KeyedRequestOutcome): string {
  if (decision === 'run') return 'run it';
  const body = answer ? ` "${Buffer.from(answer.body).toString()}"` : '';
  const retry =
    retryAfterSeconds === undefined
      ? ''
      : `, retry after ${retryAfterSeconds} s`;
  return `${decision}${body}, run: ${runStatement}${retry}`;
}
