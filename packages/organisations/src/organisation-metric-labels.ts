const MAXIMUM_LABELS = 50;
const OTHER = 'other';

/**
 * Maps names of organisations to labels of metrics.
 * Load: a configuration of thousands of organisations. Each label adds a line to every
 * read of the metrics and stays for the lifetime of the process, so only the first
 * organisations that send anything get a label of their own.
 */
export class OrganisationMetricLabels {
  private readonly names = new Set<string>();

  /** Returns the label of an organisation; `other` once all labels are in use. */
  labelFor(name: string): string {
    if (this.names.size < MAXIMUM_LABELS) this.names.add(name);
    return this.names.has(name) ? name : OTHER;
  }
}
