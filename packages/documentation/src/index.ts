export {markdownTable} from './markdown-table.js';
export * from './page-parts.js';
export * from './reference-pages.js';
