const MAXIMUM_LABELS = 50;
const OTHER = 'other';

/**
 * Names of organisations as labels of metrics.
 * Load: a configuration of thousands of organisations. Each label is a line in every reading of the metrics
 * and stays for the life of the process, so only the first ones that send anything get one of their own.
 */
export class OrganisationMetricLabels {
  private readonly names = new Set<string>();

  labelFor(name: string): string {
    if (this.names.size < MAXIMUM_LABELS) this.names.add(name);
    return this.names.has(name) ? name : OTHER;
  }
}
