/** Formats rows under headings, with each column as wide as its widest cell. */
export function formatColumns(
  headings: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string[] {
  const lines = [headings, ...rows];
  const widths = headings.map((_, column) =>
    Math.max(...lines.map(line => (line[column] ?? '').length)),
  );
  return lines.map(line =>
    line
      .map((cell, column) => cell.padEnd(widths[column]))
      .join('  ')
      .trimEnd(),
  );
}
