export * from './page-parts.js';
export * from './reference-pages.js';
