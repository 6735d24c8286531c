import type {ReportInput, ReportScenario} from './report-input.js';

const STYLE = `
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 70rem; padding: 0 1rem; color: #222; }
h2 { margin-top: 2.5rem; border-bottom: 1px solid #ccc; }
table { border-collapse: collapse; font-variant-numeric: tabular-nums; }
th, td { padding: .2rem .7rem; text-align: right; border-bottom: 1px solid #eee; }
th:first-child, td:first-child { text-align: left; }
.charts { display: grid; grid-template-columns: repeat(auto-fill, minmax(20rem, 1fr)); gap: 1rem; margin: 1rem 0; }
.chart { height: 16rem; }
.broken { color: #a00; font-weight: bold; }
`;

const DRAW_CHARTS_SCRIPT = `
for (const canvas of document.querySelectorAll('canvas')) {
  const {title, labels, values} = JSON.parse(canvas.dataset.chart);
  new Chart(canvas, {
    type: 'bar',
    data: {labels, datasets: [{data: values, backgroundColor: '#4a7ba6'}]},
    options: {
      animation: false,
      maintainAspectRatio: false,
      plugins: {legend: {display: false}, title: {display: true, text: title}},
      scales: {y: {beginAtZero: true}},
    },
  });
}
`;

/** One table of a page, with a chart for each column. */
export interface PageSection {
  readonly rows: ReadonlyArray<{
    readonly label: string;
    readonly values: Readonly<Record<string, number>>;
  }>;
  /** Seed of the bench scenario; like `checks`, undefined if the rows do not come from one. */
  readonly seed?: number;
  readonly checks?: ReportScenario['checks'];
}

/** Title and remark above the sections of a page. */
export interface PageHeading {
  readonly title: string;
  readonly remark: string;
}

/**
 * Renders bench results as a self-contained HTML page; `chartLibrary` is the script of the chart
 * library.
 */
export function renderReport(input: ReportInput, chartLibrary: string): string {
  const remark = `${Object.keys(input).length} scenarios; ${countFailedChecks(input)} checks broken.`;
  return renderPage({title: 'gentiandoor report', remark}, input, chartLibrary);
}

/** Renders tables with charts as a self-contained HTML page. */
export function renderPage(
  {title, remark}: PageHeading,
  input: Readonly<Record<string, PageSection>>,
  chartLibrary: string,
): string {
  const sections = Object.entries(input).map(([name, content]) =>
    renderSection(name, content),
  );
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>${escapeHtml(title)}</title>
<style>${STYLE}</style>
</head>
<body>
<h1>${escapeHtml(title)}</h1>
<p>${escapeHtml(remark)}</p>
${sections.join('\n')}
<script>${chartLibrary.replaceAll('</script', '<\\/script')}</script>
<script>${DRAW_CHARTS_SCRIPT}</script>
</body>
</html>
`;
}

function countFailedChecks(input: ReportInput): number {
  return Object.values(input)
    .flatMap(scenario => scenario.checks)
    .filter(check => !check.passed).length;
}

function renderSection(name: string, scenario: PageSection): string {
  const columns = [
    ...new Set(scenario.rows.flatMap(row => Object.keys(row.values))),
  ];
  return `<section>
<h2>${escapeHtml(name)}</h2>
${scenario.seed === undefined ? '' : `<p>seed ${scenario.seed}</p>`}
${scenario.checks ? renderChecks(scenario.checks) : ''}
<div class="charts">${columns.map(column => renderChart(column, scenario)).join('')}</div>
${renderTable(columns, scenario)}
</section>`;
}

function renderChecks(checks: ReportScenario['checks']): string {
  const items = checks.map(check => {
    const result = check.passed ? 'held' : '<span class="broken">BROKEN</span>';
    return `<li>${result}: ${escapeHtml(check.name)}: ${escapeHtml(check.detail)}</li>`;
  });
  return `<ul>${items.join('')}</ul>`;
}

function renderChart(column: string, scenario: PageSection): string {
  const rows = scenario.rows.filter(row => column in row.values);
  const data = JSON.stringify({
    title: column,
    labels: rows.map(row => row.label),
    values: rows.map(row => row.values[column]),
  });
  return `<div class="chart"><canvas data-chart="${escapeHtml(data)}"></canvas></div>`;
}

function renderTable(
  columns: readonly string[],
  scenario: PageSection,
): string {
  const head = columns.map(column => `<th>${escapeHtml(column)}</th>`).join('');
  const body = scenario.rows.map(row => {
    const cells = columns.map(
      column => `<td>${formatValue(row.values[column])}</td>`,
    );
    return `<tr><td>${escapeHtml(row.label)}</td>${cells.join('')}</tr>`;
  });
  return `<table><tr><th></th>${head}</tr>${body.join('')}</table>`;
}

function formatValue(value: number | undefined): string {
  if (value === undefined) return '';
  return Number.isInteger(value)
    ? String(value)
    : String(Number(value.toPrecision(4)));
}

function escapeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}
