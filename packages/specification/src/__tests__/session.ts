import {
  ClaimsFleet,
  answerOf,
  type FleetDaemon,
  type FleetSettings,
  type Told,
} from './claims-fleet.js';

/** A fleet whose requests and events are written down, line by line. */
export class Session {
  readonly fleet: ClaimsFleet;
  readonly lines: string[] = [];

  constructor(title: string, settings: FleetSettings = {}) {
    this.fleet = new ClaimsFleet(settings);
    this.lines.push(`# ${title}`);
  }

  note(text: string): void {
    const at = Math.round(this.fleet.clock.monotonicMilliseconds());
    this.lines.push(`${String(at).padStart(8)} ms  ${text}`);
  }

  async start(name: string, dataCentre?: string): Promise<FleetDaemon> {
    const daemon = await this.fleet.start(name, dataCentre);
    this.note(`${name} starts in ${daemon.dataCentre}`);
    return daemon;
  }

  /** Asks and waits for the decision. */
  async ask(daemon: FleetDaemon, key: string): Promise<Told> {
    return this.fleet.settle(this.asking(daemon, key));
  }

  /** Asks; the decision is written when it comes. */
  async asking(
    daemon: FleetDaemon,
    key: string,
    fingerprint?: string,
  ): Promise<Told> {
    const name = key.startsWith('gd1-') ? 'issued key' : key;
    this.note(`${daemon.name} <- ${name}`);
    const decided = await this.fleet.ask(daemon, key, fingerprint);
    this.note(`${daemon.name} -> ${name}: ${describeTold(decided)}`);
    return decided;
  }

  finish(told: Told, text: string): void {
    this.note(`the target answers "${text}"`);
    told.claim!.finish(answerOf(text));
  }
}

function describeTold({said, run, answer, retryAfterSeconds}: Told): string {
  if (said === 'run') return 'run it';
  const body = answer ? ` "${Buffer.from(answer.body).toString()}"` : '';
  const retry =
    retryAfterSeconds === undefined
      ? ''
      : `, retry after ${retryAfterSeconds} s`;
  return `${said}${body}, run: ${run}${retry}`;
}
