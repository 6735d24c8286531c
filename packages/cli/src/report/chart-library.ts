import {readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {dirname, join} from 'node:path';

const CHART_PACKAGE = 'chart.js';
const CHART_SCRIPT = 'chart.umd.js';

/** Reads the script of the chart library, which is embedded so that pages need no network. */
export function readChartLibrary(): string {
  // The package exports modules only; its browser script is in the folder of its main file.
  const main = createRequire(import.meta.url).resolve(CHART_PACKAGE);
  return readFileSync(join(dirname(main), CHART_SCRIPT), 'utf8');
}
