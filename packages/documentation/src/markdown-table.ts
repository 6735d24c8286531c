/** Returns a Markdown table; cells must not contain line breaks. */
export function markdownTable(
  headings: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string {
  const lines = [headings, headings.map(() => '---'), ...rows];
  return lines
    .map(cells => `| ${cells.map(escapeCell).join(' | ')} |`)
    .join('\n');
}

function escapeCell(cell: string): string {
  return cell.replaceAll('|', '\\|');
}
