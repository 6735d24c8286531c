/** A row of a scenario's result: one policy, size or phase. */
export interface ScenarioRow {
  readonly label: string;
  /** Measured values by name; the name includes the unit. */
  readonly values: Readonly<Record<string, number>>;
}

/** A guarantee or target value that a run was checked against. */
export interface ScenarioCheck {
  readonly name: string;
  readonly passed: boolean;
  readonly detail: string;
}

/** Measured rows and checks of a scenario. */
export interface ScenarioResult {
  readonly rows: readonly ScenarioRow[];
  readonly checks: readonly ScenarioCheck[];
}

/** Parameters of a scenario run. */
export interface ScenarioContext {
  readonly seed: number;
  /** Multiplier for the duration of the load; 1 is the documented run. */
  readonly scale: number;
}

/** A named, repeatable measurement. */
export interface Scenario {
  readonly name: string;
  /** The simulated load and what is compared. */
  readonly description: string;
  run(context: ScenarioContext): Promise<ScenarioResult>;
}
