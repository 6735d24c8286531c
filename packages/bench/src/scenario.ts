/** A measured line of a scenario: one policy, size or phase. */
export interface ScenarioRow {
  readonly label: string;
  /** Figures by name, units in the name. */
  readonly values: Readonly<Record<string, number>>;
}

/** A promise or aim that the run was held against. */
export interface ScenarioCheck {
  readonly name: string;
  readonly passed: boolean;
  readonly detail: string;
}

/** What a scenario measured. */
export interface ScenarioResult {
  readonly rows: readonly ScenarioRow[];
  readonly checks: readonly ScenarioCheck[];
}

/** What a scenario is given. */
export interface ScenarioContext {
  readonly seed: number;
  /** Multiplies lengths of load; 1 is the documented run. */
  readonly scale: number;
}

/** A repeatable measurement, by name. */
export interface Scenario {
  readonly name: string;
  /** What it plays and what it compares. */
  readonly description: string;
  run(context: ScenarioContext): Promise<ScenarioResult>;
}
