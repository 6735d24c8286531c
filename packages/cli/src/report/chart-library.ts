import {readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {dirname, join} from 'node:path';

const CHART_PACKAGE = 'chart.js';
const CHART_SCRIPT = 'chart.umd.js';

/** Script text of the plot library, for pages that need no network. */
export function readChartLibrary(): string {
  // The package exports modules only; its browser script lies beside its main file.
  const main = createRequire(import.meta.url).resolve(CHART_PACKAGE);
  return readFileSync(join(dirname(main), CHART_SCRIPT), 'utf8');
}
